//! A crowd of clients sends several downloads on each connection and reads the answers slowly. What
//! the host holds for them exceeds the memory of its machine, and the platform kills the process. The
//! requests of other clients that were at work are lost.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::pause;
use crate::{
    Outcome,
    fleet::{Host, SIGKILL, Settings},
    http::Connection,
    record::Record,
    server::Server,
    store::Store,
};

/// Memory of the machine.
const MEMORY_MB: u32 = 112;
/// Servers of the services `vault` and `finder`, each with nine slots.
const VAULTS: usize = 20;
const FINDERS: usize = 80;
/// Clients that read slowly, and the requests that each sends on its connection.
const CROWD: usize = 700;
const REQUESTS_EACH: usize = 16;
/// Size of a download.
const ANSWER_BYTES: usize = 250_000;
/// How fast a slow client reads, in bytes per 100 ms.
const READ_BYTES: usize = 2_000;
/// Other clients, each with one unsafe request at a time on a kept connection.
const OTHERS: usize = 16;
/// How long such a request runs.
const BOOK_MS: u64 = 400;
/// How long the case runs from the crowd on.
const LENGTH: Duration = Duration::from_secs(8);
/// A process that has exceeded its memory is started again after this time.
const RESTART_MS: u64 = 500;
/// Lost requests that the rule allows.
const LOST_MAX: usize = 3;

fn configuration() -> String {
    super::configuration(1, &[("vault", "download"), ("finder", "safe"), ("book", "unsafe")], "6s")
        .replacen(
            "\"service\":\"vault\"",
            "\"traffic_split\":[{\"service\":\"vault\",\"weight\":20},{\"service\":\"finder\",\"weight\":80}]",
            1,
        )
}

/// A client that sends downloads and reads their answers slowly.
fn read_slowly(address: SocketAddr, n: usize) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
    let mut requests = String::new();
    for i in 0..REQUESTS_EACH {
        requests.push_str(&format!(
            "GET /vault/300/{ANSWER_BYTES}/ HTTP/1.1\r\nHost: shop.example\r\n\
             Request-Id: slow-{n}-{i}\r\nDeadline-Ms: 6000\r\n\r\n"
        ));
    }
    stream.write_all(requests.as_bytes())?;
    thread::spawn(move || {
        let mut buf = vec![0; READ_BYTES];
        while !matches!(stream.read(&mut buf), Ok(0) | Err(_)) {
            pause(100);
        }
    });
    Ok(())
}

/// A client that sends one unsafe request after the other on a kept connection. Returns the ids of
/// those that got no answer although the connection had been used before.
fn book(
    address: SocketAddr,
    n: usize,
    stop: &AtomicBool,
    lost: &Mutex<Vec<String>>,
    record: &Record,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut connection) = Connection::open(address) else {
            pause(50);
            continue;
        };
        for answered in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            number += 1;
            let id = format!("book-{n}-{number}");
            let fields = [
                ("Host", "shop.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "6000"),
            ];
            if let Err(e) =
                connection.call(&format!("POST /book/{BOOK_MS}/ HTTP/1.1"), &fields, b"slot")
            {
                record.line(&format!("the client of {id} gets no answer: {e}"));
                if answered > 0 {
                    lost.lock().expect("no panic holds the lock").push(id);
                }
                break;
            }
        }
    }
}

pub fn run(folder: &Path, with_trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::start()?;
    store.put("config", "main", &configuration());
    for (service, count) in [("vault", VAULTS), ("finder", FINDERS), ("book", 4)] {
        for n in 0..count {
            let server = Server::start(&format!("i-{service}-{n}"), service, "pier", 9, record)?;
            store.put("servers", &server.id, &server.entry("ready"));
        }
    }
    let settings = Settings {
        name: "edge-pier-1",
        zone: "pier",
        zones: &[("pier", "port")],
        cpu_share: "0.07",
        grace: "6s",
        bootstrap: false,
        memory_mb: MEMORY_MB,
        store: store.address,
    };
    let mut host = Host::start(folder, 1, &settings, record)?;
    host.wait_ready(Duration::from_secs(20))?;
    pause(4000);
    let (stop, lost) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
    let address = host.frontend();
    let others: Vec<_> = (0..OTHERS)
        .map(|n| {
            let (stop, lost, record) = (stop.clone(), lost.clone(), record.clone());
            // The requests of different clients end at different times.
            pause(BOOK_MS / OTHERS as u64);
            thread::spawn(move || book(address, n, &stop, &lost, &record))
        })
        .collect();
    pause(2000);
    let crowd = thread::spawn(move || {
        let clients = (0..CROWD).filter(|_| with_trouble);
        clients.filter(|n| read_slowly(address, *n).is_ok()).count()
    });
    let (end, mut peak, mut kills) = (Instant::now() + LENGTH, 0, 0);
    while Instant::now() < end {
        let memory = host.memory_kb();
        peak = peak.max(memory);
        if memory > u64::from(MEMORY_MB) * 1024 {
            record.line(&format!(
                "the process uses {memory} kB, more than {MEMORY_MB} MB"
            ));
            host.signal(SIGKILL);
            pause(RESTART_MS);
            host.start_again()?;
            kills += 1;
        }
        pause(10);
    }
    stop.store(true, Ordering::Relaxed);
    for client in others {
        client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
    }
    let clients = crowd
        .join()
        .map_err(|_| io::Error::other("the crowd failed"))?;
    let runs = record.runs();
    let lost = lost.lock().expect("no panic holds the lock");
    let lost: Vec<_> = lost
        .iter()
        .filter(|id| runs.iter().any(|run| run.id == **id))
        .collect();
    let text = format!(
        "{clients} slow clients, peak {peak} kB of {MEMORY_MB} MB, {kills} ends of the process, \
         {} requests of others that were at work are lost",
        lost.len()
    );
    Ok(match lost.len() > LOST_MAX {
        true => Outcome::Broken(text),
        false => Outcome::Held(text),
    })
}
