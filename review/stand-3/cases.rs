//! The cases. Each returns whether the rule held, as written and with its bounds.

use std::{
    collections::{BTreeSet, HashMap},
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Outcome, Record,
    host::{Host, SIGTERM},
    http::Reader,
    server::{Server, sound, work},
    store::Store,
};

pub fn run(case: &str, trouble: bool, record: &mut Record) -> Outcome {
    match case {
        "11" => replaced_machines(trouble, record),
        "12" => cut_watches(trouble, record),
        "13" => admitted_again(trouble, record),
        "14" => incomplete_entries(trouble, record),
        _ => Outcome::CouldNotRun,
    }
}

const KEY: &str = "stationkey1";
const ONE_ZONE: [(&str, &str); 1] = [("bac-a", "bac")];
const THREE_ZONES: [(&str, &str); 3] = [("bac-a", "bac"), ("trung-a", "trung"), ("nam-a", "nam")];
const SIX_ZONES: [(&str, &str); 6] = [
    ("bac-a", "bac"),
    ("trung-a", "trung"),
    ("nam-a", "nam"),
    ("bac-b", "bac"),
    ("trung-b", "trung"),
    ("nam-b", "nam"),
];
/// `bounds.drain` of the settings.
const DRAIN: Duration = Duration::from_millis(2500);
/// `bounds.stability_window` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);
/// How many retries of a request that crashes servers may reach servers later than
/// [`STABILITY_WINDOW`] after it has crashed the third.
const LATE_RETRIES_MAX: usize = 3;
/// How long the hosts may take to become ready.
const READY_MAX: Duration = Duration::from_secs(20);

fn route(prefix: &str, kind: &str) -> String {
    format!(
        "{{\"name\":\"{prefix}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout\":\"2s\",\
         \"target_latency\":\"400ms\",\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\
         \"public\":false,\"session_affinity\":true,\"allowed_regions\":[]}}"
    )
}

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{{\"name\":\"desk\",\"health_check_path\":\"/health\",\
         \"max_connections\":390,\"cold_start\":\"1s\",\"cold_per_s\":16.0}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":1000000,\"header_timeout\":\"3000ms\",\
         \"idle_timeout\":\"15000ms\"}},\"tenants\":[{{\"name\":\"stations\",\"api_keys\":[\"{KEY}\"],\
         \"rate_per_s\":5000,\"burst\":5000,\"allowed_regions\":[]}}],\"virtual_hosts\":[{{\
         \"host\":\"desk.example\",\"paths\":[{},{}]}}]}}",
        route("/look/", "safe"),
        route("/book/", "unsafe")
    )
}

/// A booking, which must not run twice.
fn booking(id: &str, path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         X-Api-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A lookup of an object.
fn lookup(id: &str, object: usize) -> String {
    format!(
        "GET /look/{object} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n\
         Affinity-Key: {object}\r\nX-Api-Key: {KEY}\r\n\r\n"
    )
}

/// Reads an answer; returns its status, or 0 if there is none that is complete.
fn status(reader: &mut Reader) -> u16 {
    match reader.head() {
        Ok(Some(head)) => reader.body(&head, true).map_or(0, |_| head.status()),
        Ok(None) | Err(_) => 0,
    }
}

/// Sends a request on a new connection; returns the answer's status.
fn send(address: SocketAddr, request: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let mut reader = Reader::new(stream);
    match reader.stream.write_all(request.as_bytes()) {
        Ok(()) => status(&mut reader),
        Err(_) => 0,
    }
}

fn all_ready(hosts: &[Host], record: &mut Record) -> bool {
    let late = hosts.iter().find(|host| !host.wait_ready(READY_MAX));
    if let Some(host) = late {
        record.note(&format!("a host is not ready; its log:\n{}", host.log()));
    }
    late.is_none()
}

/// A request of the load, as its client saw it.
#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    status: u16,
    host: usize,
}

/// Clients that send lookups or bookings to hosts on kept connections until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<HashMap<String, Sent>>>,
}

impl Load {
    fn start(hosts: &[Host], lookups_per_host: usize, bookings_per_host: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut clients = Vec::new();
        for (n, host) in hosts.iter().enumerate() {
            for client in 0..lookups_per_host + bookings_per_host {
                let (address, stop) = (host.frontend(), stop.clone());
                clients.push(thread::spawn(move || {
                    Self::client(n, address, client, client >= lookups_per_host, &stop)
                }));
            }
        }
        Self { stop, clients }
    }

    fn client(
        host: usize,
        address: SocketAddr,
        client: usize,
        books: bool,
        stop: &AtomicBool,
    ) -> HashMap<String, Sent> {
        let mut sent = HashMap::new();
        while !stop.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                sleep(Duration::from_millis(50));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
            let mut reader = Reader::new(stream);
            while !stop.load(Ordering::Relaxed) {
                let n = sent.len();
                let id = format!("h{host}c{client}n{n}");
                let text = match books {
                    true => booking(&id, &format!("/book/{id}"), "visit"),
                    false => lookup(&id, (n * 7 + client * 13) % 97),
                };
                let at = Instant::now();
                if reader.stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
                let status = status(&mut reader);
                sent.insert(id, Sent { at, status, host });
                if status == 0 {
                    break;
                }
                sleep(Duration::from_millis(15));
            }
        }
        sent
    }

    /// Stops the clients; returns what they have sent, by request id.
    fn end(self, record: &mut Record) -> HashMap<String, Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sent = HashMap::new();
        for client in self.clients {
            sent.extend(client.join().expect("a client ends"));
        }
        let mut statuses: HashMap<u16, usize> = HashMap::new();
        for request in sent.values() {
            *statuses.entry(request.status).or_default() += 1;
        }
        record.note(&format!(
            "{} requests of the load; how often each status came: {statuses:?}",
            sent.len()
        ));
        sent
    }
}

/// Counts the requests that reached servers later than `drain` after their leaving was acknowledged.
fn requests_after_drain(
    left: &[(Server, Instant)],
    sent: &HashMap<String, Sent>,
    record: &mut Record,
) -> usize {
    let (mut late_count, mut lost_count) = (0, 0);
    for (server, left_at) in left {
        let arrivals = server.arrivals();
        let after: Vec<_> = arrivals.iter().filter(|a| a.at > *left_at).collect();
        let late: Vec<_> = after.iter().filter(|a| a.at > *left_at + DRAIN).collect();
        let hosts: BTreeSet<_> = late
            .iter()
            .filter_map(|a| Some(sent.get(&a.id)?.host))
            .collect();
        record.note(&format!(
            "{}: {} requests in all, {} after it left, of these the last one {:?} after; {} later \
             than {DRAIN:?} after, sent by hosts {hosts:?}",
            server.id,
            arrivals.len(),
            after.len(),
            after.last().map(|a| a.at - *left_at),
            late.len()
        ));
        for a in late.iter().take(3) {
            let at = sent
                .get(&a.id)
                .map(|s| s.at.saturating_duration_since(*left_at));
            record.note(&format!(
                "  {} is sent by its client {at:?} after, and reaches the server {:?} after",
                a.id,
                a.at - *left_at
            ));
        }
        late_count += late.len();
        lost_count += late
            .iter()
            .filter(|a| sent.get(&a.id).is_some_and(|s| s.status != 200))
            .count();
    }
    record.note(&format!(
        "{late_count} requests reached servers later than {DRAIN:?} after they left; {lost_count} of \
         them got no answer of a server"
    ));
    late_count
}

/// A crash: when, which server, and the id of the request that it ran.
type Crash = (Instant, String, String);

/// Starts servers in the zones by turns. They crash when they run a booking of `/book/poison`.
fn crashing_servers(store: &Store, zones: &[(&str, &str)], count: usize) -> Arc<Mutex<Vec<Crash>>> {
    let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
    for (n, (zone, _)) in zones.iter().cycle().take(count).enumerate() {
        let server = Server::start(&format!("i-{n}"));
        store.put("servers", &server.id, &server.registration(zone, "ready"));
        let (crashes, own) = (crashes.clone(), server.clone());
        server.set_script(Arc::new(move |head, _, out| {
            if !head.line.contains("/book/poison") {
                work(head);
                return out.write_all(&sound(head, &own.id)).is_ok();
            }
            let id = head.get("request-id").unwrap_or("").to_owned();
            let crash = (Instant::now(), own.id.clone(), id);
            crashes.lock().expect("no panic holds the lock").push(crash);
            own.crash();
            // The crash closes the connection.
            sleep(Duration::from_millis(500));
            false
        }));
    }
    crashes
}

/// Checks how many retries of the crashing request, sent at the given times, reached servers late.
fn check_late_retries(
    crashes: &[Crash],
    sent: &HashMap<String, Instant>,
    load: &HashMap<String, Sent>,
    record: &mut Record,
) -> Outcome {
    let Some((third, ..)) = crashes.get(2) else {
        record.note("fewer than three servers crashed");
        return Outcome::CouldNotRun;
    };
    let is_late = |id: &String| {
        sent.get(id)
            .is_some_and(|at| *at > *third + STABILITY_WINDOW)
    };
    let late: Vec<&String> = crashes
        .iter()
        .map(|(_, _, id)| id)
        .filter(|id| is_late(id))
        .collect();
    record.note(&format!(
        "{} servers crashed; {} retries sent later than {STABILITY_WINDOW:?} after the third crash \
         reached a server: {late:?}; allowed {LATE_RETRIES_MAX}",
        crashes.len(),
        late.len()
    ));
    let lost = load
        .values()
        .filter(|s| s.at > *third + STABILITY_WINDOW && s.status == 502);
    record.note(&format!(
        "{} bookings of other clients, sent later than that, ended with 502",
        lost.count()
    ));
    match late.len() > LATE_RETRIES_MAX {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// BUDGET: machines are removed for good and others are added; then a request that crashes each
/// server that runs it comes again at any machine.
fn replaced_machines(trouble: bool, record: &mut Record) -> Outcome {
    let store = Store::start();
    store.put("config", "main", &configuration(1));
    let crashes = crashing_servers(&store, &THREE_ZONES, 18);
    if trouble {
        let zones = THREE_ZONES.iter().cycle().take(6).zip(11..);
        let mut first: Vec<Host> = zones
            .map(|((zone, _), n)| Host::start(n, zone, &THREE_ZONES, &store))
            .collect();
        if !all_ready(&first, record) {
            return Outcome::CouldNotRun;
        }
        record.note("six machines are ready, two in each zone");
        for host in &first {
            host.signal(SIGTERM);
        }
        for host in &mut first {
            host.wait();
        }
        record.note("they have been removed for good, with SIGTERM");
    }
    let zones = THREE_ZONES.iter().zip([44, 35, 31]);
    let hosts: Vec<Host> = zones
        .map(|((zone, _), n)| Host::start(n, zone, &THREE_ZONES, &store))
        .collect();
    if !all_ready(&hosts, record) {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(8));
    record.note("three machines, one in each zone, have been ready for 8 s");
    let load = Load::start(&hosts, 0, 3);
    let known: Vec<_> = hosts
        .iter()
        .map(|host| host.resolve("trung-a", "trung"))
        .collect();
    record.note(&format!(
        "the directory's answers for zone trung-a, by machine: {known:?}"
    ));
    let mut sent = HashMap::new();
    for (k, host) in hosts.iter().enumerate() {
        for _ in 0..4 {
            let id = format!("p{}", sent.len() + 1);
            sent.insert(id.clone(), Instant::now());
            let status = send(host.frontend(), &booking(&id, "/book/poison", "killer"));
            let crashes = crashes.lock().expect("no panic holds the lock").clone();
            let crashed = crashes
                .iter()
                .find(|(_, _, i)| *i == id)
                .map(|(_, server, _)| server);
            record.note(&format!(
                "{id} at machine {k}: answer {status}, crashed {crashed:?}"
            ));
            sleep(Duration::from_millis(1000));
        }
        sleep(STABILITY_WINDOW);
    }
    let load = load.end(record);
    let crashes = crashes.lock().expect("no panic holds the lock").clone();
    check_late_retries(&crashes, &sent, &load, record)
}

/// DRAIN: a server leaves without reporting it, as the store cuts off the watches that wait.
fn cut_watches(trouble: bool, record: &mut Record) -> Outcome {
    const LEAVING: usize = 8;
    /// How long a server serves after its entry is removed: `drain` and a little longer.
    const SERVES_ON: Duration = Duration::from_millis(2800);
    let store = Store::start();
    store.put("config", "main", &configuration(1));
    let mut servers = Vec::new();
    for n in 0..6 {
        let server = Server::start(&format!("i-{n}"));
        store.put(
            "servers",
            &server.id,
            &server.registration("bac-a", "ready"),
        );
        servers.push(server);
    }
    let hosts: Vec<Host> = (1..=3)
        .map(|n| Host::start(n, "bac-a", &ONE_ZONE, &store))
        .collect();
    if !all_ready(&hosts, record) {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(5));
    record.note("three machines have been ready for 5 s");
    let load = Load::start(&hosts, 4, 4);
    sleep(Duration::from_secs(2));
    let mut left: Vec<(Server, Instant)> = Vec::new();
    for n in 0..LEAVING {
        // A new server takes the place of the one that leaves.
        let new = Server::start(&format!("i-new-{n}"));
        store.put("servers", &new.id, &new.registration("bac-a", "ready"));
        servers.push(new);
        sleep(Duration::from_millis(1500));
        if trouble {
            store.cut_watches();
            sleep(Duration::from_millis(50));
        }
        let old = servers.remove(0);
        store.remove("servers", &old.id);
        left.push((old.clone(), Instant::now()));
        let leaving = old.clone();
        thread::spawn(move || {
            sleep(SERVES_ON);
            leaving.exit();
        });
        if trouble {
            sleep(Duration::from_millis(200));
            store.cut_watches();
        }
        let cut = store.watches_cut();
        record.note(&format!(
            "the entry of {} is removed; watches cut off so far: {cut}",
            old.id
        ));
        sleep(Duration::from_millis(4000));
    }
    let sent = load.end(record);
    match requests_after_drain(&left, &sent, record) {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// BUDGET: a request that crashes each server that runs it comes again and again at all machines.
fn admitted_again(trouble: bool, record: &mut Record) -> Outcome {
    const LENGTH: Duration = Duration::from_secs(72);
    const ALONE: Duration = Duration::from_secs(6);
    let store = Store::start();
    store.put("config", "main", &configuration(1));
    let crashes = crashing_servers(&store, &SIX_ZONES, 24);
    let zones = SIX_ZONES.iter().cycle().take(12).zip(1..);
    let hosts: Vec<Host> = zones
        .map(|((zone, _), n)| Host::start(n, zone, &SIX_ZONES, &store))
        .collect();
    if !all_ready(&hosts, record) {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(6));
    record.note("twelve machines have been ready for 6 s");
    let load = Load::start(&hosts, 0, 2);
    let start = Instant::now();
    let mut clients = Vec::new();
    for (k, host) in hosts.iter().enumerate() {
        let address = host.frontend();
        let path = if trouble { "/book/poison" } else { "/book/1" };
        clients.push(thread::spawn(move || {
            let mut sent = Vec::new();
            if k > 0 {
                // The first client sends it alone for a while.
                sleep(ALONE + Duration::from_millis(40 * k as u64));
            }
            while start.elapsed() < LENGTH {
                let id = format!("m{k}n{}", sent.len());
                let at = Instant::now();
                let status = send(address, &booking(&id, path, "killer"));
                sent.push((id, at, status));
                let is_alone = start.elapsed() < ALONE;
                sleep(Duration::from_millis(if is_alone { 1000 } else { 400 }));
            }
            sent
        }));
    }
    let (mut sent, mut statuses) = (HashMap::new(), HashMap::<u16, usize>::new());
    for client in clients {
        for (id, at, status) in client.join().expect("a client ends") {
            sent.insert(id, at);
            *statuses.entry(status).or_default() += 1;
        }
    }
    let load = load.end(record);
    record.note(&format!(
        "{} times the request was sent; how often each status came: {statuses:?}",
        sent.len()
    ));
    let crashes = crashes.lock().expect("no panic holds the lock").clone();
    for (at, server, id) in &crashes {
        let at = (*at - start).as_secs_f64();
        record.note(&format!(
            "{at:.3} s after the first booking, {id} crashes {server}"
        ));
    }
    if !trouble {
        return match crashes.is_empty() {
            true => Outcome::Held,
            false => Outcome::CouldNotRun,
        };
    }
    check_late_retries(&crashes, &sent, &load, record)
}

/// DRAIN: another writer overwrites the entry of a draining server by one without `born` and
/// `sequence`, until the server's next heartbeat.
fn incomplete_entries(trouble: bool, record: &mut Record) -> Outcome {
    const LEAVING: usize = 6;
    const HEARTBEAT: Duration = Duration::from_millis(1500);
    let store = Store::start();
    store.put("config", "main", &configuration(1));
    let mut servers = Vec::new();
    for n in 0..6 {
        let server = Server::start(&format!("i-{n}"));
        store.put(
            "servers",
            &server.id,
            &server.registration("bac-a", "ready"),
        );
        servers.push(server);
    }
    let hosts: Vec<Host> = (1..=3)
        .map(|n| Host::start(n, "bac-a", &ONE_ZONE, &store))
        .collect();
    if !all_ready(&hosts, record) {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(5));
    record.note("three machines have been ready for 5 s");
    let load = Load::start(&hosts, 6, 0);
    sleep(Duration::from_secs(2));
    let mut left: Vec<(Server, Instant)> = Vec::new();
    for n in 0..LEAVING {
        let new = Server::start(&format!("i-new-{n}"));
        store.put("servers", &new.id, &new.registration("bac-a", "ready"));
        servers.push(new);
        sleep(Duration::from_millis(1500));
        let old = servers.remove(0);
        store.put("servers", &old.id, &old.registration("bac-a", "draining"));
        left.push((old.clone(), Instant::now()));
        record.note(&format!("{} reports that it is draining", old.id));
        sleep(Duration::from_millis(4500));
        if trouble {
            store.put("servers", &old.id, &old.incomplete_registration("bac-a"));
            record.note(&format!(
                "another writer overwrites the entry of {}",
                old.id
            ));
        }
        sleep(HEARTBEAT);
        store.put("servers", &old.id, &old.registration("bac-a", "draining"));
        sleep(Duration::from_millis(500));
        store.remove("servers", &old.id);
    }
    let sent = load.end(record);
    match requests_after_drain(&left, &sent, record) {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
