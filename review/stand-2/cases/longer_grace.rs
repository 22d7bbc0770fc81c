//! The settings file of a running host changes its grace period from 6 s to 10 s, and the host is
//! told by SIGHUP. At its next planned stop it still ends after less than 6 s, and cuts requests that
//! had time left.

use std::{
    io,
    path::Path,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{configuration, pause};
use crate::{
    Outcome,
    fleet::{Host, SIGHUP, SIGTERM, Settings},
    http::Connection,
    record::Record,
    server::Server,
    store::Store,
};

const CLIENTS: usize = 6;
/// When the clients send their requests, after SIGTERM.
const SENT_AFTER_MS: u64 = 2500;
/// How long a request runs. It ends 7 s after SIGTERM, before the last sixth of 10 s.
const WORK_MS: u64 = 4500;

/// A client that sends a request on a kept connection; returns its id and whether it was answered.
fn send(mut kept: Connection, n: usize, record: &Record) -> JoinHandle<(String, bool)> {
    let record = record.clone();
    thread::spawn(move || {
        let id = format!("order-{n}");
        let fields = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "7500"),
        ];
        record.line(&format!("a client sends {id}"));
        let start = Instant::now();
        let answer = kept.call(
            &format!("POST /desk/{WORK_MS}/ HTTP/1.1"),
            &fields,
            b"order",
        );
        let text = match &answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.field("server-stamp")),
            Err(e) => format!("no answer: {e}"),
        };
        let seconds = start.elapsed().as_secs_f64();
        record.line(&format!(
            "the client of {id} gets {text} after {seconds:.3} s"
        ));
        let is_answered = answer.is_ok_and(|answer| answer.status() == 200);
        (id, is_answered)
    })
}

pub fn run(folder: &Path, with_trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::start()?;
    store.put(
        "config",
        "main",
        &configuration(1, &[("desk", "unsafe")], "8s"),
    );
    for n in 0..2 {
        let server = Server::start(&format!("i-desk-{n}"), "desk", "north-a", 4, record)?;
        store.put("servers", &server.id, &server.entry("ready"));
    }
    let settings = |grace| Settings {
        name: "edge-north-a-1",
        zone: "north-a",
        zones: &[("north-a", "north")],
        cpu_share: "0.2",
        grace,
        bootstrap: false,
        memory_mb: 260,
        store: store.address,
    };
    let first = match with_trouble {
        true => "6s",
        false => "10s",
    };
    let host = Host::start(folder, 1, &settings(first), record)?;
    host.wait_ready(Duration::from_secs(20))?;
    pause(3000);
    if with_trouble {
        host.write_settings(&settings("10s"))?;
        host.signal(SIGHUP);
    }
    pause(8000);
    let mut kept = Vec::new();
    for n in 0..CLIENTS {
        let id = format!("before-{n}");
        let mut connection = Connection::open(host.frontend())?;
        let fields = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "7500"),
        ];
        connection.call("POST /desk/10/ HTTP/1.1", &fields, b"order")?;
        kept.push(connection);
    }
    host.signal(SIGTERM);
    pause(SENT_AFTER_MS);
    let clients: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(n, c)| send(c, n, record))
        .collect();
    let mut cut = Vec::new();
    for client in clients {
        let (id, is_answered) = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        if !is_answered && record.runs().iter().any(|run| run.id == id) {
            cut.push(id);
        }
    }
    pause(WORK_MS);
    Ok(match cut.is_empty() {
        true => Outcome::Held(format!("all {CLIENTS} requests were answered")),
        false => Outcome::Broken(format!("requests that were cut: {}", cut.join(", "))),
    })
}
