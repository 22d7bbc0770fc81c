//! A host stops as planned while clients download large answers. Each client has sent its next
//! request already, which the host has not read when it closes the connection: the close becomes a
//! reset, and what the client has not received of its answer yet is lost.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{configuration, pause};
use crate::{
    Outcome,
    fleet::{Host, SIGTERM, Settings},
    record::Record,
    server::Server,
    store::Store,
};

/// Size of an answer.
const ANSWER_BYTES: usize = 6_000_000;
/// How fast a client reads, in bytes per second.
const READ_PER_SECOND: usize = 3_000_000;
/// Bytes that a client reads at once.
const READ_AT_ONCE: usize = 30_000;
const CLIENTS: usize = 4;

/// How a download ended.
struct Download {
    id: String,
    got: usize,
    is_complete: bool,
}

/// A client that downloads an answer and sends its next request before it has all of it.
fn download(address: SocketAddr, n: usize, record: &Record) -> JoinHandle<io::Result<Download>> {
    let record = record.clone();
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let request = |id: &str| {
            format!(
                "GET /files/20/{ANSWER_BYTES}/ HTTP/1.1\r\nHost: shop.example\r\n\
                 Request-Id: {id}\r\nDeadline-Ms: 6000\r\n\r\n"
            )
        };
        let [id, next, last] = ["download", "next", "last"].map(|word| format!("{word}-{n}"));
        record.line(&format!("a client sends {id} and {next}"));
        stream.write_all(format!("{}{}", request(&id), request(&next)).as_bytes())?;
        let start = Instant::now();
        let (mut bytes, mut has_sent_last) = (Vec::new(), false);
        let (mut whole, mut status) = (usize::MAX, String::new());
        let end = loop {
            if !has_sent_last && start.elapsed() > Duration::from_millis(150) {
                has_sent_last = true;
                record.line(&format!(
                    "the client of {id} sends {last} on the same connection"
                ));
                stream.write_all(request(&last).as_bytes())?;
            }
            let mut buf = [0; READ_AT_ONCE];
            let wanted = READ_AT_ONCE.min(whole - bytes.len());
            match stream.read(&mut buf[..wanted]) {
                Ok(0) => break "the connection ends".to_owned(),
                Ok(len) => bytes.extend_from_slice(&buf[..len]),
                Err(e) => break e.to_string(),
            }
            if whole == usize::MAX
                && let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n")
            {
                whole = head + 4 + ANSWER_BYTES;
                status = String::from_utf8_lossy(&bytes[..12]).into_owned();
            }
            if bytes.len() >= whole {
                break "all of it".to_owned();
            }
            let due = start + Duration::from_secs_f64(bytes.len() as f64 / READ_PER_SECOND as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        };
        let got = bytes.len();
        record.line(&format!(
            "the client of {id} gets {status:?}, {got} bytes, then: {end}"
        ));
        Ok(Download {
            id,
            got,
            is_complete: got >= whole,
        })
    })
}

pub fn run(folder: &Path, with_trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::start()?;
    store.put(
        "config",
        "main",
        &configuration(1, &[("files", "download")], "8s"),
    );
    for n in 0..2 {
        let server = Server::start(&format!("i-files-{n}"), "files", "north-a", 4, record)?;
        store.put("servers", &server.id, &server.entry("ready"));
    }
    let settings = Settings {
        name: "edge-north-a-1",
        zone: "north-a",
        zones: &[("north-a", "north")],
        cpu_share: "0.2",
        grace: "6s",
        bootstrap: false,
        memory_mb: 260,
        store: store.address,
    };
    let host = Host::start(folder, 1, &settings, record)?;
    host.wait_ready(Duration::from_secs(20))?;
    pause(4000);
    if with_trouble {
        host.signal(SIGTERM);
    }
    pause(2600);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| download(host.frontend(), n, record))
        .collect();
    let mut cut = Vec::new();
    for client in clients {
        let download = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        if !download.is_complete {
            cut.push(format!("{} ({} bytes)", download.id, download.got));
        }
    }
    let run = record.runs();
    let passed_on = |id: &str| run.iter().any(|r| id.starts_with(&format!("{} ", r.id)));
    cut.retain(|id| passed_on(id));
    Ok(match cut.is_empty() {
        true => Outcome::Held(format!("all {CLIENTS} answers were complete")),
        false => Outcome::Broken(format!("answers that were cut: {}", cut.join(", "))),
    })
}
