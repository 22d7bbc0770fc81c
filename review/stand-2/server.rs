//! Stand-in of a server: it has slots and a short queue, and records what it runs.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Message},
    record::Record,
};

/// Requests that wait for a slot; further ones are turned away.
const QUEUE: usize = 12;

struct State {
    running: usize,
    waiting: usize,
}

/// A server of a service; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    zone: String,
    slots: usize,
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    /// How long the server pauses between the head and the body of a request.
    read_pause: Duration,
}

impl Server {
    /// Starts a server. Each request takes as long, and has an answer as large, as its path says:
    /// `/ROUTE/WORK_MS/ANSWER_BYTES/`. The second number may be left out.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        record: &Record,
    ) -> io::Result<Self> {
        Self::start_reader(id, service, zone, slots, record, Duration::ZERO)
    }

    /// Starts a server that pauses between the head and the body of each request.
    pub fn start_reader(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        record: &Record,
        read_pause: Duration,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: listener.local_addr()?,
            shared: Arc::new((
                Mutex::new(State {
                    running: 0,
                    waiting: 0,
                }),
                Condvar::new(),
            )),
            record: record.clone(),
            read_pause,
        };
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = shared.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        Ok(server)
    }

    /// Returns the `spec` of the server's entry.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":1765000000000,\"info\":{{\"service\":\"{}\",\
             \"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":1,\"cold_remaining\":\"0ms\"}}}}",
            self.address, self.service, self.zone, self.slots
        )
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(mut req)) = connection.read_head() {
            let id = req.field("request-id").to_owned();
            if let Err(e) = self.answer(&mut connection, &mut req) {
                self.record
                    .line(&format!("{} loses the connection of {id}: {e}", self.id));
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, req: &mut Message) -> io::Result<()> {
        let (id, path) = (req.field("request-id").to_owned(), req.word(1).to_owned());
        let refused = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
        if req.field("expect-instance") != self.id {
            connection.read_body(req)?;
            return connection.write("HTTP/1.1 421 Misdirected Request", &refused, b"");
        }
        let (state, changed) = &*self.shared;
        let load = {
            let mut s = state.lock().expect("no panic holds the lock");
            if s.running >= self.slots && s.waiting >= QUEUE {
                drop(s);
                connection.read_body(req)?;
                return connection.write("HTTP/1.1 503 Service Unavailable", &refused, b"");
            }
            s.waiting += 1;
            while s.running >= self.slots {
                s = changed.wait(s).expect("no panic holds the lock");
            }
            s.waiting -= 1;
            s.running += 1;
            format!("{},{},{}", s.running, s.waiting, self.slots)
        };
        self.record.ran(&self.service, &self.id, &id, &path);
        thread::sleep(self.read_pause);
        let body = connection.read_body(req);
        let number = |index| path.split('/').nth(index).and_then(|n| n.parse().ok());
        if body.is_ok() {
            thread::sleep(Duration::from_millis(number(2).unwrap_or(0)));
        }
        state.lock().expect("no panic holds the lock").running -= 1;
        changed.notify_one();
        body?;
        self.record.line(&format!("{} has finished {id}", self.id));
        let fields = [
            ("Request-Id", id.as_str()),
            ("Server-Stamp", self.id.as_str()),
            ("Server-Load", load.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        let mut body = format!("ran {id}").into_bytes();
        body.resize(number(3).unwrap_or(body.len() as u64) as usize, b'.');
        connection.write("HTTP/1.1 200 OK", &fields, &body)
    }
}
