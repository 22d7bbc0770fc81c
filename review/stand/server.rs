//! One of the platform's servers, as a process of its own. It prints what it does as lines
//! `EVENT REQUEST-ID PATH DETAIL` and reads commands from its standard input.

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Message};

/// Requests that wait beyond the slots before the server sheds.
const QUEUE: u32 = 12;

struct Server {
    id: String,
    slots: u32,
    work: Duration,
    /// A request with this in its path crashes the server that begins to run it.
    poison: String,
    running: AtomicU32,
    leaving: AtomicBool,
    out: Mutex<std::io::Stdout>,
}

impl Server {
    fn say(&self, event: &str, req: &Message, detail: &str) {
        let mut out = self.out.lock().unwrap();
        let id = req.header("request-id").unwrap_or("-");
        let _ = writeln!(out, "{event} {id} {} {detail}", req.word(1));
        let _ = out.flush();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read() {
            let closes = self.leaving.load(Ordering::SeqCst);
            let bytes = self.answer(&req, closes);
            if conn.write(&bytes).is_err() || closes {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, closes: bool) -> Vec<u8> {
        let mut headers = vec![
            ("Instance-Id", self.id.clone()),
            ("Keep-Alive", "timeout=10".to_owned()),
        ];
        if closes {
            headers.push(("Connection", "close".to_owned()));
        }
        if req.word(1) == "/health" {
            let start = if closes { "HTTP/1.1 503 Leaving" } else { "HTTP/1.1 200 OK" };
            return http::format(start, &headers, b"");
        }
        let Some(id) = req.header("request-id") else {
            headers.push(("Not-Executed", "1".to_owned()));
            return http::format("HTTP/1.1 400 Bad Request", &headers, b"");
        };
        headers.push(("Request-Id", id.to_owned()));
        if req.header("expect-instance").is_some_and(|e| e != self.id) {
            self.say("misdirected", req, "-");
            return http::format("HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let ahead = self.running.fetch_add(1, Ordering::SeqCst);
        if ahead >= self.slots + QUEUE {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.say("shed", req, "-");
            headers.push(("Not-Executed", "1".to_owned()));
            return http::format("HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        self.say("run", req, &format!("tenant={} bytes={}", req.header("tenant").unwrap_or("-"), req.body.len()));
        if !self.poison.is_empty() && req.word(1).contains(&self.poison) {
            exit(3);
        }
        // The path may name the work's length: a segment `takes-MS`.
        let own = req.word(1).split('/').find_map(|s| s.strip_prefix("takes-")?.parse().ok());
        thread::sleep(own.map_or(self.work, Duration::from_millis));
        let running = self.running.fetch_sub(1, Ordering::SeqCst);
        headers.push(("Server-Stamp", format!("{}.{id}", self.id)));
        headers.push(("Server-Load", format!("{},0,{}", running, self.slots)));
        let body = format!("{{\"ran\":\"{id}\",\"by\":\"{}\"}}", self.id);
        self.say("answered", req, "200");
        http::format("HTTP/1.1 200 OK", &headers, body.as_bytes())
    }
}

/// Arguments: `name=value` pairs `listen`, `id`, `slots`, `work_ms`, `poison`.
pub fn main(args: &[String]) {
    let pairs: HashMap<&str, &str> = args.iter().filter_map(|a| a.split_once('=')).collect();
    let get = |name: &str| pairs.get(name).copied().unwrap_or_default();
    let address: SocketAddr = get("listen").parse().expect("an address");
    let end = Instant::now() + Duration::from_secs(5);
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) if Instant::now() < end => thread::sleep(Duration::from_millis(20)),
            Err(e) => {
                eprintln!("cannot listen on {address}: {e}");
                exit(2);
            }
        }
    };
    let server = Arc::new(Server {
        id: get("id").to_owned(),
        slots: get("slots").parse().unwrap_or(4),
        work: Duration::from_millis(get("work_ms").parse().unwrap_or(50)),
        poison: get("poison").to_owned(),
        running: AtomicU32::new(0),
        leaving: AtomicBool::new(false),
        out: Mutex::new(std::io::stdout()),
    });
    println!("listening - {address} -");
    let commands = server.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if line == "leave" {
                commands.leaving.store(true, Ordering::SeqCst);
            }
        }
        // The case has ended.
        exit(0);
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(Conn::new(stream)));
    }
}
