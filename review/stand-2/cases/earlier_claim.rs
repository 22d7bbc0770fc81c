//! A host is killed while its requests wait for slots that another host manages, and starts again.
//! The slot that was asked for by the ended process is granted to the new one.

use std::{
    io,
    path::Path,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{configuration, pause};
use crate::{
    Outcome,
    fleet::{Host, SIGKILL, Settings},
    http::Connection,
    record::Record,
    server::Server,
    store::Store,
};

const ZONES: &[(&str, &str)] = &[("north-a", "north")];
/// Requests that one service runs at once: two servers with four slots.
const SLOTS: usize = 8;
/// Requests that wait at once for a service.
const WAITING: usize = 8;
/// Time from the kill to the next requests, in which the new process finds the other host.
const RESTART_MS: u64 = 600;

/// Sends a request on a connection of its own and records its answer.
fn send(host: &Host, path: &str, id: &str, record: &Record) -> JoinHandle<()> {
    let (address, name) = (host.frontend(), host.name.clone());
    let (path, id, record) = (path.to_owned(), id.to_owned(), record.clone());
    thread::spawn(move || {
        record.line(&format!("a client sends {id} POST {path} to {name}"));
        let fields = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "8000"),
        ];
        let answer = Connection::open(address)
            .and_then(|mut c| c.call(&format!("POST {path} HTTP/1.1"), &fields, b"order"));
        let text = match answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.field("server-stamp")),
            Err(e) => format!("no answer: {e}"),
        };
        record.line(&format!("the client of {id} gets {text}"));
    })
}

pub fn run(folder: &Path, with_trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::start()?;
    store.put(
        "config",
        "main",
        &configuration(1, &[("desk", "unsafe"), ("bench", "unsafe")], "8s"),
    );
    let mut servers = Vec::new();
    for service in ["desk", "bench"] {
        for n in 0..2 {
            let server = Server::start(&format!("i-{service}-{n}"), service, "north-a", 4, record)?;
            store.put("servers", &server.id, &server.entry("ready"));
            servers.push(server);
        }
    }
    let settings = |name, cpu_share| Settings {
        name,
        zone: "north-a",
        zones: ZONES,
        cpu_share,
        grace: "6s",
        bootstrap: false,
        memory_mb: 260,
        store: store.address,
    };
    let first = Host::start(folder, 1, &settings("edge-north-a-1", "0.4"), record)?;
    let mut second = Host::start(folder, 2, &settings("edge-north-a-2", "0.2"), record)?;
    for host in [&first, &second] {
        host.wait_ready(Duration::from_secs(20))?;
    }
    pause(6000);
    let mut clients = Vec::new();
    // Requests of other clients keep all slots of both services busy.
    for n in 0..SLOTS {
        clients.push(send(
            &first,
            "/desk/1100/",
            &format!("busy-desk-{n}"),
            record,
        ));
        clients.push(send(
            &first,
            "/bench/1100/",
            &format!("busy-bench-{n}"),
            record,
        ));
    }
    pause(60);
    for n in 0..WAITING {
        clients.push(send(&second, "/desk/200/", &format!("early-{n}"), record));
    }
    pause(60);
    let killed = Instant::now();
    if with_trouble {
        second.signal(SIGKILL);
        second.start_again()?;
    }
    pause(RESTART_MS.saturating_sub(killed.elapsed().as_millis() as u64));
    for n in 0..WAITING {
        clients.push(send(&second, "/bench/200/", &format!("late-{n}"), record));
    }
    for client in clients {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    let runs = record.runs();
    let strays: Vec<_> = runs
        .iter()
        .filter(|run| !run.path.starts_with(&format!("/{}/", run.service)))
        .collect();
    for run in &strays {
        record.line(&format!(
            "ROUTE: {} of {} has run {} {}",
            run.server, run.service, run.id, run.path
        ));
    }
    Ok(match strays.is_empty() {
        true => Outcome::Held(format!(
            "all {} runs were at the route's service",
            runs.len()
        )),
        false => Outcome::Broken(format!(
            "{} of {} runs were at another service than the route's",
            strays.len(),
            runs.len()
        )),
    })
}
