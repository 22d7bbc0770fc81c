//! A server reads a long upload slowly while the host that sends it stops as planned. The host gives
//! the upload up, although server and client have time left.

use std::{
    io,
    path::Path,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{configuration, pause};
use crate::{
    Outcome,
    fleet::{Host, SIGTERM, Settings},
    http::Connection,
    record::Record,
    server::Server,
    store::Store,
};

/// Size of an upload.
const UPLOAD_BYTES: usize = 360_000;
/// How long the server pauses after the head of an upload.
const READ_PAUSE: Duration = Duration::from_millis(3600);
const CLIENTS: usize = 4;

/// A client that sends an upload; returns its id and the status that it got, 0 for none.
fn upload(host: &Host, n: usize, record: &Record) -> JoinHandle<(String, u16)> {
    let (address, record) = (host.frontend(), record.clone());
    thread::spawn(move || {
        let id = format!("upload-{n}");
        record.line(&format!("a client sends {id}"));
        let fields = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", "7000"),
        ];
        let start = Instant::now();
        let body = vec![b'v'; UPLOAD_BYTES];
        let answer = Connection::open(address)
            .and_then(|mut c| c.call("POST /video/600/ HTTP/1.1", &fields, &body));
        let (status, text) = match answer {
            Ok(answer) => {
                let stamp = answer.field("server-stamp");
                (answer.status(), format!("{} {stamp}", answer.status()))
            }
            Err(e) => (0, format!("no answer: {e}")),
        };
        let seconds = start.elapsed().as_secs_f64();
        record.line(&format!(
            "the client of {id} gets {text} after {seconds:.3} s"
        ));
        (id, status)
    })
}

pub fn run(folder: &Path, with_trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::start()?;
    store.put(
        "config",
        "main",
        &configuration(1, &[("video", "upload")], "8s"),
    );
    let read_pause = match with_trouble {
        true => READ_PAUSE,
        false => Duration::ZERO,
    };
    for n in 0..2 {
        let id = format!("i-video-{n}");
        let server = Server::start_reader(&id, "video", "north-a", 4, record, read_pause)?;
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
    pause(5000);
    let clients: Vec<_> = (0..CLIENTS).map(|n| upload(&host, n, record)).collect();
    pause(300);
    host.signal(SIGTERM);
    let mut cut = Vec::new();
    for client in clients {
        let (id, status) = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?;
        if status != 200 && record.runs().iter().any(|run| run.id == id) {
            cut.push(format!("{id} ({status})"));
        }
    }
    // What the servers see of uploads that were broken off.
    pause(2000);
    Ok(match cut.is_empty() {
        true => Outcome::Held(format!(
            "all {CLIENTS} uploads were answered by their server"
        )),
        false => Outcome::Broken(format!("uploads that were broken off: {}", cut.join(", "))),
    })
}
