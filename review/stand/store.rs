//! The platform's object store, as PROTOCOL.md describes it. Objects are kept as the JSON text
//! that their writer sent.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Conn, Message};
use crate::json;

const PAGE_OBJECTS: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
    status: String,
}

struct Event {
    kind: String,
    revision: u64,
    removed: bool,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created_at\":1,\"finalizers\":[],\
         \"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.spec, object.status
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str, status: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let same = |o: &Object| o.spec == spec && o.status == status;
        if self.objects.get(&key).is_some_and(same) {
            return;
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            spec: spec.to_owned(),
            status: status.to_owned(),
        };
        self.history.push(Event {
            kind: kind.to_owned(),
            revision: self.revision,
            removed: false,
            text: text(name, &object),
        });
        self.objects.insert(key, object);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.history.push(Event {
                kind: kind.to_owned(),
                revision: self.revision,
                removed: true,
                text: text(name, &object),
            });
        }
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Writes an object, as the operator or a server would. Returns once the store has accepted it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.0.lock().unwrap().put(kind, name, spec, "null");
        self.state.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().remove(kind, name);
        self.state.1.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read() {
            let (status, body) = self.answer(&req);
            let reason = if status < 300 { "OK" } else { "Refused" };
            let headers = [("Content-Type", "application/json".to_owned())];
            let bytes = http::format(&format!("HTTP/1.1 {status} {reason}"), &headers, body.as_bytes());
            if conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let target = req.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(path) = path.strip_prefix("/cardamomroad/objects/") else {
            return (404, "{}".to_owned());
        };
        let option = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next()
        };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let is_status = parts.next() == Some("status");
        let body = String::from_utf8_lossy(&req.body).into_owned();
        match (req.word(0), name) {
            ("GET", None) => match option("watch").and_then(|w| w.parse().ok()) {
                Some(after) => {
                    let wait = option("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => self.list(kind, &option("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => {
                let name = json::field(&body, "metadata").and_then(|m| json::string(m, "name"));
                let Some(name) = name else {
                    return (400, "{}".to_owned());
                };
                self.write(kind, name, &body, false, false)
            }
            ("PUT", Some(name)) => self.write(kind, name, &body, true, is_status),
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str, exists: bool, is_status: bool) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let known = match (known, exists) {
            (Some(object), false) => return (409, text(name, &object)),
            (None, true) => return (404, "{}".to_owned()),
            (known, _) => known,
        };
        let given = json::field(body, "metadata").and_then(|m| json::field(m, "revision"));
        if let (Some(object), Some(given)) = (&known, given)
            && given != object.revision.to_string()
        {
            return (409, text(name, object));
        }
        let spec = json::field(body, "spec").unwrap_or("null");
        let status = json::field(body, "status").unwrap_or("null");
        let known_or = |part: fn(&Object) -> &str| known.as_ref().map_or("null", part).to_owned();
        match is_status {
            true => state.put(kind, name, &known_or(|o| &o.spec), status),
            false => state.put(kind, name, spec, &known_or(|o| &o.status)),
        }
        self.state.1.notify_all();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, text(name, object)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let matching = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let all: Vec<String> = matching.map(|((_, n), o)| text(n, o)).collect();
        let items = &all[..all.len().min(PAGE_OBJECTS)];
        let more = all.len() > PAGE_OBJECTS;
        let as_of = state.revision;
        (200, format!("{{\"items\":[{}],\"more\":{more},\"as_of\":{as_of}}}", items.join(",")))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let later = state.history.iter().filter(|e| e.kind == kind && e.revision > after);
            let events: Vec<String> = later
                .map(|e| format!("{{\"removed\":{},\"object\":{}}}", e.removed, e.text))
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let as_of = state.revision;
                return (200, format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")));
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }
}
