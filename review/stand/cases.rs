//! The cases. Each returns 1 if the rule was broken, 0 if it held and 2 if it couldn't run.

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, Record, ServerProcess, Work, unix_ms};
use crate::http;

/// No case may run for longer.
const CASE_LIMIT: Duration = Duration::from_secs(115);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

pub fn main(case: &str, dir: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        eprintln!("the case took too long");
        fleet::kill_all();
        exit(2);
    });
    let dir = Path::new(dir);
    let result = std::panic::catch_unwind(|| run(case, dir, trouble));
    fleet::kill_all();
    result.unwrap_or(2)
}

fn run(case: &str, dir: &Path, trouble: bool) -> i32 {
    match case {
        "odd-entry" => odd_entry(dir, trouble),
        "poison" => poison(dir, trouble),
        "odd-time" => odd_time(dir, trouble),
        "withdrawn" => withdrawn(dir, trouble),
        "storms" => storms(dir, trouble),
        "uploads" => uploads(dir, trouble),
        "innocent" => innocent(dir, trouble),
        _ => 2,
    }
}

/// Clients that send requests at an even rate, to the hosts in turn, until they are stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    answers: Arc<std::sync::Mutex<Vec<(String, f64, Result<u16, String>)>>>,
}

impl Traffic {
    fn start(fleet: &Fleet, tag: &str, per_s: f64, method: &str, path: &str, deadline_ms: u32, body: &[u8]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answers: Arc<std::sync::Mutex<Vec<_>>> = Arc::default();
        let hosts: Vec<_> = fleet.hosts.iter().map(|h| (h.name.clone(), h.callers)).collect();
        let record = fleet.record.clone();
        let (tag, method, path, body) = (tag.to_owned(), method.to_owned(), path.to_owned(), body.to_vec());
        let (stopped, results) = (stop.clone(), answers.clone());
        let thread = thread::spawn(move || {
            let start = Instant::now();
            let mut clients = Vec::new();
            for n in 0.. {
                let due = start + secs(f64::from(n) / per_s);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let id = format!("{tag}-{n}");
                let (name, address) = hosts[n as usize % hosts.len()].clone();
                let (record, method, path, body) = (record.clone(), method.clone(), path.clone(), body.clone());
                let results = results.clone();
                clients.push(thread::spawn(move || {
                    let at = record.now();
                    let got = fleet::send(&record, &name, address, &method, &path, &id, deadline_ms, &body);
                    results.lock().unwrap().push((id, at, got.map(|a| a.status())));
                }));
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Self { stop, thread, answers }
    }

    /// Stops the clients, waits for their answers and returns them with the times of sending.
    fn finish(self) -> Vec<(String, f64, Result<u16, String>)> {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
        let answers = self.answers.lock().unwrap().clone();
        answers
    }
}

fn statuses(record: &Record, what: &str, answers: &[(String, f64, Result<u16, String>)]) {
    let mut counts = std::collections::BTreeMap::new();
    for (_, _, got) in answers {
        let key = got.as_ref().map_or_else(|_| "no answer".to_owned(), u16::to_string);
        *counts.entry(key).or_insert(0) += 1;
    }
    record.line(&format!("{what}: {counts:?}"));
}

/// The verdict, written to the record.
fn verdict(fleet: &Fleet, broken: bool, text: &str) -> i32 {
    fleet.keep_logs();
    fleet.record.line(&format!("{}: {text}", if broken { "BROKEN" } else { "held" }));
    println!("{}: {text}", if broken { "BROKEN" } else { "held" });
    i32::from(broken)
}

const ZONES: [(&str, &str); 2] = [("bac-a", "bac"), ("bac-b", "bac")];

/// An entry of another writer with bytes that can't be read; then a server leaves.
fn odd_entry(dir: &Path, trouble: bool) -> i32 {
    const SLOTS: u32 = 4;
    const DRAIN_S: f64 = 2.5;
    let mut fleet = Fleet::new(dir, &ZONES);
    let work = Work::new(SLOTS, 400);
    let mut servers: Vec<ServerProcess> = Vec::new();
    for (i, zone) in ["bac-a", "bac-b", "bac-a", "bac-b"].iter().enumerate() {
        let server = fleet.start_server(&format!("i-{i}a3f91c2"), zone, fleet::free_address(), &work);
        fleet.register(&server, "ready", SLOTS, 0, unix_ms());
        servers.push(server);
    }
    fleet.configure("r5", &[("/pufi791/", fleet::route("unsafe", 3000, 2, false))]);
    fleet.start_hosts(&["bac-a", "bac-b", "bac-a"], 260);
    if !fleet.wait_ready(secs(20.0)) {
        return 2;
    }
    thread::sleep(secs(2.0));
    let traffic = Traffic::start(&fleet, "order", 15.0, "POST", "/pufi791/2f", 3000, b"{\"visit\":1}");
    thread::sleep(secs(4.0));
    if trouble {
        // The writer's bytes are no text; the store gives them back as the escapes of its JSON.
        let odd = std::env::var("ODD").unwrap_or_else(|_| "\"\\udcff\\udcfe\\udc80\"".to_owned());
        fleet.store.put(
            "servers",
            "i-9e4d20b7",
            &format!(
                "{{\"address\":{odd},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"bac-a\",\
                 \"slots\":4}},\"status\":{{\"state\":\"ready\",\"sequence\":1,\"cold_remaining\":\"0ms\"}}}}",
                fleet::SERVICE
            ),
        );
        fleet.record.line(&format!("store: entry servers/i-9e4d20b7 of another writer, address {odd}"));
    }
    thread::sleep(secs(6.0));
    // A release: the new server starts first, then the old one drains.
    let new = fleet.start_server("i-4c07be18", "bac-a", fleet::free_address(), &work);
    fleet.register(&new, "ready", SLOTS, 0, unix_ms());
    thread::sleep(secs(1.0));
    let acknowledged = fleet.register(&servers[0], "draining", SLOTS, 0, 0);
    servers[0].leave();
    // It serves on for `drain` and a little longer.
    thread::sleep(secs(DRAIN_S + 3.0));
    let leaving = servers.remove(0);
    let left = fleet.record.line(&format!("server {} ends", leaving.id));
    fleet.store.remove("servers", &leaving.id);
    drop(leaving.process);
    thread::sleep(secs(3.0));
    let answers = traffic.finish();
    statuses(&fleet.record, "answers", &answers);
    let seen = fleet.seen();
    let reached = |s: &&fleet::Seen| s.server == leaving.id && matches!(s.event.as_str(), "run" | "shed");
    let late: Vec<_> = seen.iter().filter(reached).filter(|s| s.at > acknowledged + DRAIN_S).collect();
    let done = |id: &str| seen.iter().any(|s| s.event == "answered" && s.id == id);
    let lost = late.iter().filter(|s| s.event == "run" && s.at < left && !done(&s.id)).count();
    let at_new = seen.iter().filter(|s| s.server == new.id && s.event == "run").count();
    let text = format!(
        "DRAIN: {} requests reached the leaving server later than {DRAIN_S} s after the store had accepted \
         that it is draining; {lost} of them were cut off when it ended; the new server ran {at_new}",
        late.len()
    );
    verdict(&fleet, !late.is_empty(), &text)
}

/// A change of the configuration takes a key away and adds a tenant.
fn withdrawn(dir: &Path, trouble: bool) -> i32 {
    const SLOTS: u32 = 4;
    const REVOKE_S: f64 = 5.0;
    const KEPT: &str = fleet::KEY;
    const TAKEN: &str = "wsjnbanfqasnmgkcuyj8";
    const ADDED: &str = "h4kq9zt0rmx3c7vd1w8e";
    let mut fleet = Fleet::new(dir, &ZONES);
    let work = Work::new(SLOTS, 50);
    let mut servers: Vec<ServerProcess> = Vec::new();
    for (i, zone) in ["bac-a", "bac-b", "bac-a", "bac-b"].iter().enumerate() {
        let server = fleet.start_server(&format!("i-{i}a3f91c2"), zone, fleet::free_address(), &work);
        fleet.register(&server, "ready", SLOTS, 0, unix_ms());
        servers.push(server);
    }
    let routes = [("/pufi791/", fleet::route("unsafe", 3000, 2, false))];
    fleet.configure_tenants("r5", &routes, &[(fleet::TENANT, &[KEPT, TAKEN])]);
    fleet.start_hosts(&["bac-a", "bac-b", "bac-a"], 260);
    if !fleet.wait_ready(secs(20.0)) {
        return 2;
    }
    thread::sleep(secs(2.0));
    let mut sent = Vec::new();
    let mut ask = |what: &str, key: &str, n: usize| {
        let host = &fleet.hosts[n % fleet.hosts.len()];
        let id = format!("{what}-{n}");
        let at = fleet.record.line(&format!("client sends {id} with the key {what} to {}", host.name));
        let bytes = fleet::request_with_key(key, "POST", "/pufi791/2f", &id, 3000, b"{\"visit\":1}");
        let got = http::call(host.callers, &bytes, secs(3.5));
        let status = got.map(|a| a.status()).unwrap_or(0);
        fleet.record.line(&format!("client gets {id} {status}"));
        sent.push((id, at, status));
    };
    for n in 0..6 {
        ask("kept", KEPT, n);
        ask("taken", TAKEN, n);
    }
    let tenant = if trouble { "Hue_Station" } else { "hue-station" };
    let acknowledged =
        fleet.configure_tenants("r7", &routes, &[(fleet::TENANT, &[KEPT]), (tenant, &[ADDED])]);
    fleet.record.line(&format!("r7 takes the key taken away and adds the tenant {tenant}"));
    for n in 6..66 {
        thread::sleep(secs(0.5));
        ask("kept", KEPT, n);
        ask("taken", TAKEN, n);
        ask("added", ADDED, n);
    }
    let seen = fleet.seen();
    let ran = |id: &str| seen.iter().any(|s| s.event == "run" && s.id == id);
    let later = |what: &str| {
        let of = sent.iter().filter(|(id, at, _)| id.starts_with(what) && *at > acknowledged + REVOKE_S);
        of.cloned().collect::<Vec<_>>()
    };
    let (taken, added) = (later("taken"), later("added"));
    let count = taken.iter().filter(|(id, ..)| ran(id)).count();
    let denied = added.iter().filter(|(_, _, status)| *status == 401).count();
    let ready = fleet.wait_ready(secs(1.0));
    let text = format!(
        "CONFIG: {count} of {} requests with a key that was taken away, sent later than {REVOKE_S} s after the \
         acknowledgement, ran; {denied} of {} requests with the added key got 401; hosts ready: {ready}",
        taken.len(),
        added.len()
    );
    verdict(&fleet, count > 0, &text)
}

/// A request that crashes the servers that run it comes again at one machine after the other.
fn poison(dir: &Path, trouble: bool) -> i32 {
    const SLOTS: u32 = 4;
    const ATTEMPTS: usize = 12;
    const PERIOD_S: f64 = 4.5;
    const WINDOW_S: f64 = 4.0;
    let mut fleet = Fleet::new(dir, &ZONES);
    let work = Work { poison: if trouble { "/crash" } else { "" }, ..Work::new(SLOTS, 700) };
    let mut servers: Vec<Option<ServerProcess>> = Vec::new();
    for (i, zone) in ["bac-a", "bac-b"].iter().enumerate() {
        let server = fleet.start_server(&format!("i-{i}000a3f9"), zone, fleet::free_address(), &work);
        fleet.register(&server, "ready", SLOTS, 0, unix_ms());
        servers.push(Some(server));
    }
    fleet.configure("r5", &[("/pufi791/", fleet::route("unsafe", 3000, 2, false))]);
    let zones: Vec<&str> = (0..10).map(|i| ZONES[i % 2].0).collect();
    fleet.start_hosts(&zones, 260);
    if !fleet.wait_ready(secs(25.0)) {
        return 2;
    }
    thread::sleep(secs(3.0));
    let traffic = Traffic::start(&fleet, "order", 4.0, "POST", "/pufi791/2f", 3000, b"{\"visit\":1}");
    let mut attempts: Vec<(String, f64)> = Vec::new();
    let mut restarts = 0;
    for n in 0..ATTEMPTS {
        let begin = Instant::now();
        let host = &fleet.hosts[n % fleet.hosts.len()];
        let id = format!("poison-{n}");
        let at = fleet.record.now();
        attempts.push((id.clone(), at));
        let _ = fleet::send(
            &fleet.record, &host.name, host.callers, "POST", "/pufi791/crash", &id, 3000, b"{\"visit\":666}",
        );
        // A crashed server is back after two seconds, at its address, as a new instance.
        thread::sleep((begin + secs(2.0)).saturating_duration_since(Instant::now()));
        for slot in &mut servers {
            let ended = slot.as_mut().is_some_and(|s| matches!(s.process.0.try_wait(), Ok(Some(_))));
            let Some(old) = slot.take_if(|_| ended) else {
                continue;
            };
            restarts += 1;
            fleet.record.line(&format!("server {} has crashed", old.id));
            let new = fleet.start_server(&format!("i-{restarts:x}77b20c"), &old.zone, old.address, &work);
            fleet.register(&new, "ready", SLOTS, 0, unix_ms());
            let (store, record, id) = (fleet.store.clone(), fleet.record.clone(), old.id.clone());
            // Three heartbeats after its last one.
            thread::spawn(move || {
                thread::sleep(secs(2.5));
                store.remove("servers", &id);
                record.line(&format!("store: entry servers/{id} removed after three silent heartbeats"));
            });
            *slot = Some(new);
        }
        thread::sleep((begin + secs(PERIOD_S)).saturating_duration_since(Instant::now()));
    }
    let answers = traffic.finish();
    statuses(&fleet.record, "answers to the other requests", &answers);
    let seen = fleet.seen();
    let reached = |id: &str| seen.iter().find(|s| s.id == id && matches!(s.event.as_str(), "run" | "shed"));
    let runs: Vec<f64> = attempts.iter().filter_map(|(id, _)| reached(id).map(|s| s.at)).collect();
    let third = match trouble {
        true => runs.get(2).copied(),
        false => None,
    };
    let late = attempts
        .iter()
        .filter(|(id, at)| reached(id).is_some() && third.is_some_and(|t| *at > t + WINDOW_S))
        .count();
    let lost = answers.iter().filter(|(_, _, got)| !matches!(got, Ok(200 | 503 | 429))).count();
    let text = format!(
        "BUDGET: the request reached servers {} times and crashed {restarts}; {late} of its retries were sent \
         later than {WINDOW_S} s after its third crash and reached a server (three are allowed); {lost} of {} \
         other requests, none of which may be repeated, were lost with the servers",
        runs.len(),
        answers.len()
    );
    verdict(&fleet, late > 3, &text)
}

/// An entry of another writer, for a service that isn't named, which is cold for ever. The day ends
/// with a final fault: all processes of the system are killed, and traffic goes on.
fn odd_time(dir: &Path, trouble: bool) -> i32 {
    const SLOTS: u32 = 4;
    const RECOVERY_S: f64 = 15.0;
    let mut fleet = Fleet::new(dir, &ZONES);
    let work = Work::new(SLOTS, 200);
    let mut servers: Vec<ServerProcess> = Vec::new();
    for (i, zone) in ["bac-a", "bac-b", "bac-a", "bac-b"].iter().enumerate() {
        let server = fleet.start_server(&format!("i-{i}a3f91c2"), zone, fleet::free_address(), &work);
        fleet.register(&server, "ready", SLOTS, 0, unix_ms());
        servers.push(server);
    }
    fleet.configure("r5", &[("/pufi791/", fleet::route("unsafe", 3000, 2, false))]);
    fleet.start_hosts(&["bac-a", "bac-b", "bac-a"], 260);
    if !fleet.wait_ready(secs(20.0)) {
        return 2;
    }
    thread::sleep(secs(2.0));
    let traffic = Traffic::start(&fleet, "order", 15.0, "POST", "/pufi791/2f", 3000, b"{\"visit\":1}");
    thread::sleep(secs(10.0));
    let mut entry = f64::INFINITY;
    if trouble {
        fleet.store.put(
            "servers",
            "i-9e4d20b7",
            "{\"address\":\"127.0.0.1:9\",\"born\":1,\"info\":{\"service\":\"elsewhere\",\"version\":\"v1\",\
             \"zone\":\"bac-a\",\"slots\":4},\"status\":{\"state\":\"ready\",\"sequence\":1,\
             \"cold_remaining\":\"9223372036854775807s\"}}",
        );
        entry = fleet.record.line("store: entry servers/i-9e4d20b7 of another writer, service elsewhere");
    }
    thread::sleep(secs(6.0));
    let fault = fleet.record.line("final fault: all processes of the system are killed");
    fleet.restart_all_hosts(secs(0.8));
    let back = fleet.record.line("they are back, as far as they start");
    thread::sleep(secs(RECOVERY_S + 15.0));
    let ready = fleet.wait_ready(secs(0.5));
    let answers = traffic.finish();
    statuses(&fleet.record, "answers", &answers);
    let share = |from: f64, to: f64| {
        let within: Vec<_> = answers.iter().filter(|(_, at, _)| *at >= from && *at < to).collect();
        let served = within.iter().filter(|(_, _, got)| matches!(got, Ok(200))).count();
        (served, within.len(), served as f64 / within.len().max(1) as f64)
    };
    let (before, after) = (share(0.0, fault), share(back + RECOVERY_S, f64::INFINITY));
    let between = share(entry + 0.5, fault);
    let text = format!(
        "RECOVER: {} of {} requests before the final fault were served, {} of {} between the entry and the fault, \
         and {} of {} sent later than {RECOVERY_S} s after the machines were back; hosts ready at the end: {ready}",
        before.0, before.1, between.0, between.1, after.0, after.1
    );
    verdict(&fleet, before.2 >= 0.25 && after.2 < 0.25, &text)
}

/// Three of twenty servers crash once. A kind of request that never harmed a server is refused from
/// then on.
fn innocent(dir: &Path, trouble: bool) -> i32 {
    const SLOTS: u32 = 8;
    let mut fleet = Fleet::new(dir, &ZONES);
    let work = Work::new(SLOTS, 20);
    let mut servers: Vec<ServerProcess> = Vec::new();
    for i in 0..20 {
        let zone = ZONES[i % 2].0;
        let server = fleet.start_server(&format!("i-{i:02}3f91c2"), zone, fleet::free_address(), &work);
        fleet.register(&server, "ready", SLOTS, 0, unix_ms());
        servers.push(server);
    }
    let routes = [
        ("/lohu930/", fleet::route("safe", 5000, 2, false)),
        ("/pufi791/", fleet::route("unsafe", 3000, 2, false)),
    ];
    fleet.configure("r5", &routes);
    fleet.start_hosts(&["bac-a", "bac-b", "bac-a", "bac-b"], 260);
    if !fleet.wait_ready(secs(20.0)) {
        return 2;
    }
    thread::sleep(secs(2.0));
    let reads = Traffic::start(&fleet, "look", 40.0, "GET", "/lohu930/2f/takes-2000", 5000, b"");
    let orders = Traffic::start(&fleet, "order", 160.0, "POST", "/pufi791/2f", 3000, b"{\"visit\":1}");
    thread::sleep(secs(6.0));
    let crash = fleet.record.line("three servers crash");
    if trouble {
        let crashed: Vec<ServerProcess> = servers.drain(..3).collect();
        let places: Vec<_> = crashed.iter().map(|s| (s.id.clone(), s.zone.clone(), s.address)).collect();
        drop(crashed);
        thread::sleep(secs(4.5));
        for (i, (old, zone, address)) in places.iter().enumerate() {
            fleet.store.remove("servers", old);
            let new = fleet.start_server(&format!("i-n{i}3f91c2"), zone, *address, &work);
            fleet.register(&new, "ready", SLOTS, 0, unix_ms());
            servers.push(new);
        }
        fleet.record.line("they are back");
    }
    thread::sleep(secs(60.0));
    let (reads, orders) = (reads.finish(), orders.finish());
    statuses(&fleet.record, "answers to look-ups", &reads);
    statuses(&fleet.record, "answers to orders", &orders);
    let served = |answers: &[(String, f64, Result<u16, String>)]| {
        answers.iter().filter(|(_, _, got)| matches!(got, Ok(200))).count()
    };
    let late: Vec<_> = reads.iter().filter(|(_, at, _)| *at > crash + 10.0).cloned().collect();
    let share = served(&reads) as f64 / reads.len().max(1) as f64;
    let all = (served(&reads) + served(&orders)) as f64 / (reads.len() + orders.len()).max(1) as f64;
    let text = format!(
        "Starved: {:.1}% of the look-ups and {:.1}% of all requests were served; of {} look-ups sent later than \
         10 s after the crash {} were served",
        share * 100.0,
        all * 100.0,
        late.len(),
        served(&late)
    );
    verdict(&fleet, share < all / 4.0, &text)
}

fn resident_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

/// A client that sends one request after the other on a kept connection, until `end`. Returns how
/// many requests were answered, and the ids of those whose connection ended without an answer
/// before the client gave up.
fn kept_client(
    record: &Record,
    address: std::net::SocketAddr,
    tag: &str,
    end: Instant,
) -> (usize, Vec<String>) {
    let (mut answered, mut cut) = (0, Vec::new());
    let mut kept: Option<http::Conn> = None;
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = format!("{tag}-{n}");
        let headers = [
            ("Host", fleet::HOST.to_owned()),
            ("Request-Id", id.clone()),
            ("Deadline-Ms", "3000".to_owned()),
            ("X-Api-Key", fleet::KEY.to_owned()),
        ];
        let bytes = http::format("POST /pufi791/2f HTTP/1.1", &headers, b"{\"visit\":1}");
        let conn = match kept.take() {
            Some(conn) => Ok(conn),
            None => http::Conn::connect(address, secs(1.0)),
        };
        let Ok(mut conn) = conn else {
            thread::sleep(secs(0.2));
            continue;
        };
        let _ = conn.stream.set_read_timeout(Some(secs(3.5)));
        record.line(&format!("client sends {id}"));
        let got = conn.write(&bytes).and_then(|()| conn.read());
        match got {
            Ok(Some(answer)) => {
                record.line(&format!("client gets {id} {}", answer.status()));
                answered += 1;
                if answer.status() == 503 {
                    thread::sleep(secs(0.3));
                }
                let closes = answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                kept = (!closes).then_some(conn);
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                record.line(&format!("client gives up {id}"));
            }
            other => {
                record.line(&format!("client gets {id} no answer, the connection ends: {:?}", other.err()));
                cut.push(id);
                thread::sleep(secs(0.2));
            }
        }
    }
    (answered, cut)
}

/// A large configuration, and storms of changes to it. The platform kills a process that exceeds
/// its memory, and starts it again.
fn storms(dir: &Path, trouble: bool) -> i32 {
    const MEMORY_MB: u32 = 260;
    const ROUTES: usize = 4300;
    const STORM_S: f64 = 4.0;
    const GAP_S: f64 = 0.33;
    const PAUSE_S: f64 = 0.3;
    const PLAY_S: f64 = 104.0;
    const CLIENTS: usize = 6;
    let mut fleet = Fleet::new(dir, &ZONES);
    let work = Work::new(8, 500);
    let mut servers = Vec::new();
    for i in 0..6 {
        let zone = ZONES[i % 2].0;
        let server = fleet.start_server(&format!("i-{i}a3f91c2"), zone, fleet::free_address(), &work);
        fleet.register(&server, "ready", 8, 0, unix_ms());
        servers.push(server);
    }
    let prefixes: Vec<String> = (0..ROUTES).map(|i| format!("/kopi{i:04}/")).collect();
    // Successive versions change the time-out of one route.
    let configure = |fleet: &Fleet, version: usize| {
        let mut routes = vec![("/pufi791/", fleet::route("unsafe", 3000, 2, false))];
        for (i, prefix) in prefixes.iter().enumerate() {
            let timeout = if i == 0 { 2000 + version as u32 } else { 2500 };
            routes.push((prefix.as_str(), fleet::route("safe", timeout, 2, false)));
        }
        fleet.configure(&format!("r{version}"), &routes)
    };
    configure(&fleet, 5);
    fleet.start_hosts(&["bac-a", "bac-b", "bac-a"], MEMORY_MB);
    if !fleet.wait_ready(secs(20.0)) {
        return 2;
    }
    thread::sleep(secs(2.0));
    let begin = Instant::now();
    let end = begin + secs(PLAY_S);
    let clients: Vec<_> = (0..CLIENTS * 3)
        .map(|n| {
            let (record, address) = (fleet.record.clone(), fleet.hosts[n % 3].callers);
            thread::spawn(move || kept_client(&record, address, &format!("order-{n}"), end))
        })
        .collect();
    let (mut most, mut kills, mut version) = ([0; 3], [0; 3], 5);
    let mut next_change = begin + secs(1.0);
    while Instant::now() < end {
        let phase = begin.elapsed().as_secs_f64() % (STORM_S + PAUSE_S);
        if trouble && phase < STORM_S && Instant::now() >= next_change {
            version += 2;
            configure(&fleet, version);
            next_change = (next_change + secs(GAP_S)).max(Instant::now());
        }
        for i in 0..3 {
            let used = resident_mb(fleet.hosts[i].process.id());
            if used / 20 > most[i] / 20 {
                fleet.record.line(&format!("{} uses {used} MB after {} changes", fleet.hosts[i].name, (version - 5) / 2));
            }
            most[i] = used.max(most[i]);
            if used > u64::from(MEMORY_MB) {
                kills[i] += 1;
                fleet.record.line(&format!("platform kills {}: {used} MB", fleet.hosts[i].name));
                fleet.restart_host(i, secs(0.2));
                most[i] = 0;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let (mut answered, mut cut) = (0, Vec::new());
    for client in clients {
        let (a, c) = client.join().unwrap_or_default();
        answered += a;
        cut.extend(c);
    }
    let seen = fleet.seen();
    let passed_on = cut.iter().filter(|id| seen.iter().any(|s| s.event == "run" && s.id == **id)).count();
    let text = format!(
        "LOST: the hosts were killed {kills:?} times for memory over {MEMORY_MB} MB, after {} changes in all; \
         {passed_on} requests that had been passed on to a sound server got no answer on a kept connection \
         (three are allowed); {answered} were answered",
        (version - 5) / 2
    );
    verdict(&fleet, passed_on > 3, &text)
}

/// Uploads one body in chunks at an even speed, and reads the answer.
fn upload(address: std::net::SocketAddr, id: &str, megabytes: usize, within: Duration) -> std::io::Result<u16> {
    let begin = Instant::now();
    let mut conn = http::Conn::connect(address, secs(1.0))?;
    conn.stream.set_write_timeout(Some(secs(5.0)))?;
    conn.stream.set_read_timeout(Some(secs(5.0)))?;
    let head = format!(
        "POST /pule252/2f HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: 8000\r\nX-Api-Key: {}\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        fleet::HOST,
        fleet::KEY
    );
    conn.write(head.as_bytes())?;
    let mut chunk = b"10000\r\n".to_vec();
    chunk.resize(chunk.len() + 65_536, b'v');
    chunk.extend_from_slice(b"\r\n");
    let chunks = megabytes * 16;
    for n in 0..chunks {
        let due = begin + within.mul_f64(n as f64 / chunks as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        conn.write(&chunk)?;
    }
    conn.write(b"0\r\n\r\n")?;
    let answer = conn.read()?;
    Ok(answer.map_or(0, |a| a.status()))
}

/// Uploads in chunks, each within the limits of the configuration, and bursts of them. The platform
/// kills a process that exceeds its memory, and starts it again.
fn uploads(dir: &Path, trouble: bool) -> i32 {
    const MEMORY_MB: u32 = 260;
    const BODY_MB: usize = 20;
    const CLIENTS: usize = 6;
    const BURST: f64 = 1.7;
    const BURSTS: [f64; 4] = [10.0, 25.0, 40.0, 55.0];
    const BURST_S: f64 = 3.0;
    let mut fleet = Fleet::new(dir, &ZONES);
    let work = Work::new(4, 100);
    let mut servers = Vec::new();
    for i in 0..8 {
        let zone = ZONES[i % 2].0;
        let server = fleet.start_server(&format!("i-{i}a3f91c2"), zone, fleet::free_address(), &work);
        fleet.register(&server, "ready", 4, 0, unix_ms());
        servers.push(server);
    }
    fleet.configure("r5", &[("/pule252/", fleet::route("upload", 8000, 2, false))]);
    fleet.start_hosts(&["bac-a", "bac-b"], MEMORY_MB);
    if !fleet.wait_ready(secs(20.0)) {
        return 2;
    }
    thread::sleep(secs(2.0));
    let begin = Instant::now();
    let end = begin + secs(70.0);
    let all = if trouble { (CLIENTS as f64 * BURST) as usize } else { CLIENTS };
    let clients: Vec<_> = (0..all * 2)
        .map(|n| {
            let (record, address) = (fleet.record.clone(), fleet.hosts[n % 2].callers);
            let name = fleet.hosts[n % 2].name.clone();
            thread::spawn(move || {
                let is_usual = n / 2 < CLIENTS;
                // The usual clients start at different times.
                thread::sleep(secs(if is_usual { (n / 2) as f64 * 0.4 } else { 0.0 }));
                let mut counts = (0, 0);
                for i in 0.. {
                    let now = begin.elapsed().as_secs_f64();
                    if Instant::now() >= end {
                        break;
                    }
                    if !is_usual && !BURSTS.iter().any(|b| now >= *b && now < b + BURST_S) {
                        thread::sleep(secs(0.02));
                        continue;
                    }
                    let id = format!("video-{n}-{i}");
                    record.line(&format!("client sends {id}, {BODY_MB} MB in chunks, to {name}"));
                    let got = upload(address, &id, BODY_MB, secs(2.0));
                    record.line(&format!("client gets {id} {got:?}"));
                    match got {
                        Ok(200) => counts.0 += 1,
                        _ => {
                            counts.1 += 1;
                            thread::sleep(secs(0.3));
                        }
                    }
                }
                counts
            })
        })
        .collect();
    let (mut most, mut kills) = ([0; 2], [0; 2]);
    while !clients.iter().all(JoinHandle::is_finished) {
        for i in 0..2 {
            let used = resident_mb(fleet.hosts[i].process.id());
            most[i] = used.max(most[i]);
            if used > u64::from(MEMORY_MB) {
                kills[i] += 1;
                fleet.record.line(&format!("platform kills {}: {used} MB", fleet.hosts[i].name));
                fleet.restart_host(i, secs(0.5));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let counts: Vec<(i32, i32)> = clients.into_iter().map(|c| c.join().unwrap_or_default()).collect();
    let (served, failed) = counts.iter().fold((0, 0), |(s, f), c| (s + c.0, f + c.1));
    let text = format!(
        "Fault: the two hosts were killed {} and {} times for memory over {MEMORY_MB} MB (three each are a fault); \
         most seen {most:?} MB; {served} uploads served, {failed} failed",
        kills[0], kills[1]
    );
    verdict(&fleet, kills.iter().all(|k| *k >= 3), &text)
}
