//! Stand-in for one of the platform's servers, whose answers a script writes.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Head, Reader};

/// How long a server is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// How long a server works on a booking.
const BOOKING_WORK: Duration = Duration::from_millis(150);

/// A request that reached the server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub line: String,
    pub body: Vec<u8>,
}

/// Answers a request on its stream; returns whether the connection stays open.
pub type Script = Arc<dyn Fn(&Head, &[u8], &mut TcpStream) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    script: Arc<Mutex<Script>>,
    crashed: Arc<AtomicBool>,
    /// Whether the server does not start again after its process has ended.
    is_gone: Arc<AtomicBool>,
}

/// Works on a request: a booking takes a while.
pub fn work(head: &Head) {
    if head.line.starts_with("POST") {
        thread::sleep(BOOKING_WORK);
    }
}

/// A sound answer: 200 with the stamp and a body that tells the request's id.
pub fn sound(head: &Head, stamp: &str) -> Vec<u8> {
    let id = head.get("request-id").unwrap_or("");
    let body = format!("whole answer to {id}");
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\nServer-Load: 1,0,4\r\n\
         Keep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

impl Server {
    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let stamp = id.to_owned();
        let script: Script = Arc::new(move |head, _, out| {
            work(head);
            out.write_all(&sound(head, &stamp)).is_ok()
        });
        let server = Self {
            id: id.to_owned(),
            address,
            arrivals: Arc::default(),
            script: Arc::new(Mutex::new(script)),
            crashed: Arc::default(),
            is_gone: Arc::default(),
        };
        let shared = server.clone();
        thread::spawn(move || shared.listen(listener));
        server
    }

    /// Accepts connections until the server crashes; it starts again after [`DOWN_TIME`].
    fn listen(&self, listener: TcpListener) {
        let address = self.address;
        let mut listener = Some(listener);
        loop {
            let Some(open) = listener.take() else {
                if self.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(DOWN_TIME);
                self.crashed.store(false, Ordering::SeqCst);
                listener = TcpListener::bind(address).ok();
                continue;
            };
            open.set_nonblocking(true).expect("a socket option");
            let mut streams: Vec<TcpStream> = Vec::new();
            while !self.crashed.load(Ordering::SeqCst) {
                match open.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        streams.extend(stream.try_clone());
                        let server = self.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(open);
            for stream in streams {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Ends the server's process: nothing listens any more, and all connections close.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
    }

    /// Ends the server's process for good.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        self.crash();
    }

    pub fn set_script(&self, script: Script) {
        *self.script.lock().expect("no panic holds the lock") = script;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals
            .lock()
            .expect("no panic holds the lock")
            .clone()
    }

    /// Returns the `spec` of the server's registration.
    pub fn registration(&self, zone: &str, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":1700000000000,\"info\":{{\"service\":\"desk\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":4}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":1,\"cold_remaining\":\"0ms\"}}}}",
            self.address
        )
    }

    /// Returns a `spec` of another writer, without `born` and `sequence`, that says `ready`.
    pub fn incomplete_registration(&self, zone: &str) -> String {
        let spec = self.registration(zone, "ready");
        spec.replace("\"born\":1700000000000,", "")
            .replace("\"sequence\":1,", "")
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            let id = head.get("request-id").unwrap_or("").to_owned();
            if head.get("expect-instance").is_some_and(|i| i != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if reader.stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let arrival = Arrival {
                at: Instant::now(),
                id,
                line: head.line.clone(),
                body: body.clone(),
            };
            self.arrivals
                .lock()
                .expect("no panic holds the lock")
                .push(arrival);
            let script = self.script.lock().expect("no panic holds the lock").clone();
            if !script(&head, &body, &mut reader.stream) {
                return;
            }
        }
    }
}
