//! Stand-in of the platform's object store: lists, watches, creation, replacement and removal.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message};

#[derive(Default)]
struct State {
    revision: u64,
    /// The object's text, by kind and name.
    objects: BTreeMap<(String, String), String>,
    /// Changes: kind, revision, and the event's text.
    history: Vec<(String, u64, String)>,
    /// Whether the calls of the hosts are refused; the operator's are not.
    refuses: bool,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

const OK: &str = "HTTP/1.1 200 OK";
const BUSY: &str = "HTTP/1.1 503 Service Unavailable";

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            shared: Arc::default(),
            address: listener.local_addr()?,
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.shared;
        let mut s = state.lock().expect("no panic holds the lock");
        s.revision += 1;
        let revision = s.revision;
        let object = format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_at\":1,\
             \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let event = format!("{{\"removed\":false,\"object\":{object}}}");
        s.history.push((kind.to_owned(), revision, event));
        s.objects.insert((kind.to_owned(), name.to_owned()), object);
        changed.notify_all();
    }

    /// Refuses the calls of the hosts from now on, or serves them again.
    pub fn set_refuses(&self, refuses: bool) {
        let (state, changed) = &*self.shared;
        state.lock().expect("no panic holds the lock").refuses = refuses;
        changed.notify_all();
    }

    fn refuses(&self) -> bool {
        self.shared
            .0
            .lock()
            .expect("no panic holds the lock")
            .refuses
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(req)) = connection.read() {
            let (start, body) = match self.refuses() {
                true => (BUSY, "{}".to_owned()),
                false => self.answer(&req),
            };
            let json = [("Content-Type", "application/json")];
            if connection.write(start, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let target = req.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path
            .strip_prefix("/cardamomroad/objects/")
            .unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let value = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(k, _)| *k == key)
                .map(|(_, v)| v.to_owned())
                .next()
        };
        if req.word(0) == "GET" {
            if let Some(after) = value("watch").and_then(|v| v.parse().ok()) {
                let wait = value("wait_ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                return match self.watch(kind, after, Duration::from_millis(wait)) {
                    Some(events) => (OK, events),
                    None => (BUSY, "{}".to_owned()),
                };
            }
            return (OK, self.list(kind, &value("after").unwrap_or_default()));
        }
        let text = String::from_utf8_lossy(&req.body).into_owned();
        let is_create = req.word(0) == "POST";
        let name = match is_create {
            true => text_after(&text, "\"name\":\"").to_owned(),
            false => name.to_owned(),
        };
        let key = (kind.to_owned(), name.clone());
        let known = {
            let s = self.shared.0.lock().expect("no panic holds the lock");
            s.objects.get(&key).cloned()
        };
        match (is_create, known) {
            (true, Some(object)) => return ("HTTP/1.1 409 Conflict", object),
            (false, None) => return ("HTTP/1.1 404 Not Found", "{}".to_owned()),
            _ => {}
        }
        self.put(kind, &name, &object_after(&text, "\"spec\":"));
        (OK, text)
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let s = self.shared.0.lock().expect("no panic holds the lock");
        let items = s
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<&str> = items.map(|(_, object)| object.as_str()).collect();
        let (items, as_of) = (items.join(","), s.revision);
        format!("{{\"items\":[{items}],\"more\":false,\"as_of\":{as_of}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<String> {
        let (state, changed) = &*self.shared;
        let end = Instant::now() + wait;
        let mut s = state.lock().expect("no panic holds the lock");
        loop {
            if s.refuses {
                return None;
            }
            let later = s.history.iter().filter(|(k, r, _)| k == kind && *r > after);
            let events: Vec<&str> = later.map(|(.., event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), s.revision);
                return Some(format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            s = changed
                .wait_timeout(s, left)
                .expect("no panic holds the lock")
                .0;
        }
    }
}

/// Returns the text between `start` and the next quotation mark.
fn text_after<'a>(text: &'a str, start: &str) -> &'a str {
    let rest = text.split_once(start).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default()
}

/// Returns the JSON object that follows `start`. The objects written here have no braces in texts.
fn object_after(text: &str, start: &str) -> String {
    let rest = text.split_once(start).map_or("{}", |(_, rest)| rest);
    let mut depth = 0;
    for (i, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return rest[..=i].to_owned();
        }
    }
    "{}".to_owned()
}
