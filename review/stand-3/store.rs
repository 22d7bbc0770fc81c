//! Stand-in for the platform's metadata store.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::Reader;

#[derive(Default)]
struct State {
    revision: u64,
    /// Object by kind and name: its revision and `spec`.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Changes: kind, name, revision, and the `spec`, or `None` if the object was removed.
    history: Vec<(String, String, u64, Option<String>)>,
    /// Rises when all waiting watches are cut off.
    cuts: u64,
    /// Number of watches that were cut off.
    watches_cut: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_at\":1,\
         \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            state: Arc::default(),
            address,
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let (state, changed) = &*self.state;
        let result = f(&mut state.lock().expect("no panic holds the lock"));
        changed.notify_all();
        result
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.with(|s| {
            s.revision += 1;
            let revision = s.revision;
            let key = (kind.to_owned(), name.to_owned());
            s.objects.insert(key, (revision, spec.to_owned()));
            s.history.push((
                kind.to_owned(),
                name.to_owned(),
                revision,
                Some(spec.to_owned()),
            ));
        });
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.with(|s| {
            if s.objects
                .remove(&(kind.to_owned(), name.to_owned()))
                .is_some()
            {
                s.revision += 1;
                s.history
                    .push((kind.to_owned(), name.to_owned(), s.revision, None));
            }
        });
    }

    /// Cuts off the watches that are waiting now: their connections end without an answer.
    pub fn cut_watches(&self) {
        self.with(|s| s.cuts += 1);
    }

    pub fn watches_cut(&self) -> u64 {
        self.with(|s| s.watches_cut)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            let mut words = head.line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let answer = self.answer(method, target, &String::from_utf8_lossy(&body));
            let Some((status, body)) = answer else { return };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and body of an answer; `None` if the call is cut off.
    fn answer(&self, method: &str, target: &str, body: &str) -> Option<(u16, String)> {
        let path = target.split('?').next().unwrap_or_default();
        let path = path
            .strip_prefix("/cardamomroad/objects/")
            .unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if method == "GET" {
            return match query(target, "watch").and_then(|w| w.parse().ok()) {
                Some(after) => {
                    let wait = query(target, "wait_ms")
                        .and_then(|w| w.parse().ok())
                        .unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => Some((200, self.list(kind, query(target, "after").unwrap_or("")))),
            };
        }
        let body_name = body
            .split("\"name\":\"")
            .nth(1)
            .and_then(|t| t.split('"').next());
        let name = if method == "POST" {
            body_name.unwrap_or("")
        } else {
            name
        };
        let exists = self.with(|s| s.objects.contains_key(&(kind.to_owned(), name.to_owned())));
        match (method, exists) {
            ("POST", true) => return Some((409, "{}".to_owned())),
            ("PUT", false) | ("DELETE", false) => return Some((404, "{}".to_owned())),
            ("DELETE", true) => {
                self.remove(kind, name);
                return Some((200, "{}".to_owned()));
            }
            _ => {}
        }
        let spec = body
            .split_once("\"spec\":")
            .map_or("null}", |(_, s)| s)
            .trim_end();
        let spec = spec.strip_suffix('}').unwrap_or(spec).to_owned();
        self.put(kind, name, &spec);
        Some((200, body.to_owned()))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        self.with(|s| {
            let all = s
                .objects
                .iter()
                .filter(|((k, n), _)| k == kind && n.as_str() > after);
            let items: Vec<String> = all.map(|((_, n), (r, spec))| object(n, *r, spec)).collect();
            let more = items.len() > 500;
            let page = items.into_iter().take(500).collect::<Vec<_>>().join(",");
            format!(
                "{{\"items\":[{page}],\"more\":{more},\"as_of\":{}}}",
                s.revision
            )
        })
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut s = state.lock().expect("no panic holds the lock");
        let cuts = s.cuts;
        loop {
            if s.cuts != cuts {
                s.watches_cut += 1;
                return None;
            }
            if after > s.revision {
                return Some((410, "{}".to_owned()));
            }
            let later = s
                .history
                .iter()
                .filter(|(k, _, r, _)| k == kind && *r > after);
            let events: Vec<String> = later
                .map(|(_, n, r, spec)| {
                    let text = object(n, *r, spec.as_deref().unwrap_or("null"));
                    format!("{{\"removed\":{},\"object\":{text}}}", spec.is_none())
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    s.revision
                );
                return Some((200, body));
            }
            s = changed
                .wait_timeout(s, left)
                .expect("no panic holds the lock")
                .0;
        }
    }
}
