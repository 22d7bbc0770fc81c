//! A small deployment: the store, the project's hosts, servers and the record of what happened.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store::Store;

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";
/// The service of all routes.
pub const SERVICE: &str = "huvo11a";
/// API key of the only tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
pub const TENANT: &str = "huka270";

/// Time-stamped lines, written to `record.txt` as they come.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {text}");
        now
    }
}

/// What a server printed, with the time at which it was read.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: f64,
    pub server: String,
    pub event: String,
    pub id: String,
}

/// Kills its process when it is dropped.
pub struct Process(pub Child);

impl Process {
    fn new(child: Child) -> Self {
        RUNNING.lock().unwrap().insert(child.id());
        Self(child)
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        RUNNING.lock().unwrap().remove(&self.0.id());
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub process: Process,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

pub struct ServerProcess {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub process: Process,
    stdin: Option<std::process::ChildStdin>,
}

impl ServerProcess {
    pub fn leave(&mut self) {
        if let Some(stdin) = &mut self.stdin {
            let _ = writeln!(stdin, "leave");
        }
    }
}

/// What a server does, beside its id, zone and address.
#[derive(Clone)]
pub struct Work {
    pub slots: u32,
    pub work_ms: u32,
    /// A request with this in its path crashes the server that begins to run it.
    pub poison: &'static str,
}

impl Work {
    pub fn new(slots: u32, work_ms: u32) -> Self {
        Self { slots, work_ms, poison: "" }
    }
}

pub struct Fleet {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub record: Record,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub zones: Vec<(String, String)>,
    folder: PathBuf,
}

/// Ports that were handed out, and ids of the processes that run.
static PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address with a port that is free for TCP and UDP. It lies below the ports
/// that the system gives to outgoing connections, so that none of these takes it meanwhile.
pub fn free_address() -> SocketAddr {
    let mut at = unix_ms() as u32 ^ std::process::id().wrapping_mul(2_654_435_761);
    loop {
        at = at.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let port = 10_000 + (at >> 16) as u16 % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if is_free && PORTS.lock().unwrap().insert(port) {
            return address;
        }
    }
}

/// Kills all processes that are still running.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().iter() {
        // Each is a child that was not waited for, so that its id is still its own.
        let _ = Command::new("sh").args(["-c", &format!("kill -9 {id}")]).status();
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

impl Fleet {
    /// Starts the store. `zones` are pairs of a zone and its region.
    pub fn new(dir: &Path, zones: &[(&str, &str)]) -> Self {
        let file = File::create(dir.join("record.txt")).expect("a record");
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let zones = zones.iter().map(|(z, r)| ((*z).to_owned(), (*r).to_owned()));
        Self {
            store: Store::start(),
            hosts: Vec::new(),
            record,
            seen: Arc::default(),
            zones: zones.collect(),
            folder,
        }
    }

    /// Starts entry hosts: one for each zone that is named, with the command of the deploy file.
    pub fn start_hosts(&mut self, zones: &[&str], memory_mb: u32) {
        let addresses: Vec<SocketAddr> = (0..zones.len() * 4).map(|_| free_address()).collect();
        for (i, zone) in zones.iter().enumerate() {
            let own = &addresses[i * 4..i * 4 + 4];
            let region = &self.zones.iter().find(|(z, _)| z == zone).expect("a zone").1;
            let name = format!("edge-{zone}-{}", i + 1);
            let mut text = format!(
                "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip=127.0.0.1\n\
                 zone={zone}\nregion={region}\n"
            );
            for (z, r) in &self.zones {
                text.push_str(&format!("zones.{z}={r}\n"));
            }
            text.push_str(&format!(
                "bind_addresses.frontend={}\nbind_addresses.ready={}\nbind_addresses.directory={}\n\
                 internal_port_range={},{}\nseed_nodes=\nbootstrap=true\nfault_counted=false\n\
                 limits.cpu_share=0.2\nlimits.cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds=4100\n\
                 limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\n\
                 heartbeat=1500ms\ncontracts=base,drain,config,cost,retry,recover,places,tenants,quota,platform\n\
                 fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n",
                own[0], own[1], own[2], own[3].port(), own[3].port()
            ));
            text.push_str(
                "bounds.seed_lag=3s\nbounds.reuse_delay=2s\nbounds.stability_window=4000ms\n\
                 bounds.ack=4000ms\nbounds.catch_up=4s\nbounds.drain=2500ms\nbounds.grace=6s\n\
                 bounds.loss_slack=200ms\nbounds.config_apply=2500ms\nbounds.rollback_slack=250ms\n\
                 bounds.max_stretch=6000ms\nbounds.strict_revocation=true\nbounds.revoke=5000ms\n\
                 bounds.retry_budget_ratio=0.2\nbounds.budget_window=10s\nbounds.retry_budget_slack=62\n\
                 bounds.quota_window=5s\nbounds.quota_overage=0.1\nbounds.quota_slack=20\n\
                 bounds.cold_overage=1.5\nbounds.cold_slack=5\nbounds.evacuation=5000ms\n\
                 bounds.recovery=15s\nbounds.ttl_max=5s\nbounds.max_shift=0.15\n",
            );
            text.push_str(&format!(
                "platform.address={}\nplatform.form=objects\nplatform.writes_per_s=400\n\
                 platform.reads_per_s=2000\nplatform.history=20s\nplatform.value_bytes=1048576\n\
                 platform.min_ttl=1000ms\n",
                self.store.address
            ));
            let settings = self.folder.join(format!("{name}.conf"));
            fs::write(&settings, text).expect("a settings file");
            let log = self.folder.join(format!("{name}.log"));
            let process = start_host(&settings, &log);
            self.record.line(&format!("host {name} started, callers {}", own[0]));
            self.hosts.push(Host {
                name,
                callers: own[0],
                process,
                ready: own[1],
                settings,
                log,
            });
        }
    }

    /// Kills a host's process and starts it again after a delay.
    pub fn restart_host(&mut self, index: usize, after: Duration) {
        let host = &mut self.hosts[index];
        let _ = host.process.0.kill();
        let _ = host.process.0.wait();
        thread::sleep(after);
        host.process = start_host(&host.settings, &host.log);
        self.record.line(&format!("host {} started again", host.name));
    }

    /// Kills the processes of all hosts and starts them again after a delay.
    pub fn restart_all_hosts(&mut self, after: Duration) {
        for host in &mut self.hosts {
            let _ = host.process.0.kill();
            let _ = host.process.0.wait();
        }
        thread::sleep(after);
        for host in &mut self.hosts {
            host.process = start_host(&host.settings, &host.log);
        }
    }

    /// Waits until all hosts say that they are ready; `false` if they don't within the time.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let end = Instant::now() + within;
        let request = b"GET /cardamomroad/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < end {
            let is_ready = |host: &Host| {
                let answer = http::call(host.ready, request, Duration::from_secs(1));
                answer.is_ok_and(|a| a.status() == 200)
            };
            if self.hosts.iter().all(is_ready) {
                self.record.line("all hosts are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the hosts didn't become ready");
        false
    }

    /// Starts a server process. It is registered separately.
    pub fn start_server(&self, id: &str, zone: &str, address: SocketAddr, work: &Work) -> ServerProcess {
        let own = std::env::current_exe().expect("this program");
        let mut child = Command::new(own)
            .arg("server")
            .arg(format!("listen={address}"))
            .arg(format!("id={id}"))
            .arg(format!("slots={}", work.slots))
            .arg(format!("work_ms={}", work.work_ms))
            .arg(format!("poison={}", work.poison))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server process");
        let stdin = child.stdin.take();
        let stdout = child.stdout.take().expect("its output");
        let (record, seen, server) = (self.record.clone(), self.seen.clone(), id.to_owned());
        let (listening, is_listening) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let at = record.line(&format!("server {server}: {line}"));
                let mut words = line.splitn(4, ' ').map(str::to_owned);
                let mut next = || words.next().unwrap_or_default();
                let (event, id) = (next(), next());
                if event == "listening" {
                    let _ = listening.send(());
                }
                seen.lock().unwrap().push(Seen { at, server: server.clone(), event, id });
            }
            record.line(&format!("server {server}: its process has ended"));
        });
        let _ = is_listening.recv_timeout(Duration::from_secs(6));
        ServerProcess { id: id.to_owned(), zone: zone.to_owned(), address, process: Process::new(child), stdin }
    }

    /// Writes a server's entry and returns when the store had accepted it.
    pub fn register(&self, server: &ServerProcess, state: &str, slots: u32, cold_ms: u32, born: u128) -> f64 {
        let spec = format!(
            "{{\"address\":\"{}\",\"born\":{born},\"info\":{{\"service\":\"{SERVICE}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":4,\
             \"cold_remaining\":\"{cold_ms}ms\"}}}}",
            server.address, server.zone
        );
        self.store.put("servers", &server.id, &spec);
        self.record.line(&format!("store: entry servers/{} is {state}, cold for {cold_ms} ms", server.id))
    }

    /// Writes the configuration. `routes` are pairs of a prefix and the rest of the route.
    pub fn configure(&self, version: &str, routes: &[(&str, String)]) -> f64 {
        self.configure_tenants(version, routes, &[(TENANT, &[KEY])])
    }

    /// Writes the configuration with these tenants and their keys.
    pub fn configure_tenants(&self, version: &str, routes: &[(&str, String)], tenants: &[(&str, &[&str])]) -> f64 {
        let tenants: Vec<String> = tenants
            .iter()
            .map(|(name, keys)| {
                let keys: Vec<String> = keys.iter().map(|k| format!("\"{k}\"")).collect();
                format!(
                    "{{\"name\":\"{name}\",\"api_keys\":[{}],\"priority\":1,\"rate_per_s\":1000,\
                     \"burst\":1000,\"allowed_regions\":[]}}",
                    keys.join(",")
                )
            })
            .collect();
        let paths: Vec<String> = routes
            .iter()
            .map(|(prefix, rest)| {
                format!(
                    "{{\"name\":\"r-{}\",\"path_prefix\":\"{prefix}\",\"service\":\"{SERVICE}\",{rest}}}",
                    prefix.trim_matches('/')
                )
            })
            .collect();
        let spec = format!(
            "{{\"version\":\"{version}\",\"services\":[{{\"name\":\"{SERVICE}\",\"health_check_path\":\"/health\",\
             \"max_connections\":390,\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":7.0}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\
             \"idle_timeout\":\"15000ms\"}},\"tenants\":[{}],\
             \"virtual_hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{}]}}]}}",
            tenants.join(","),
            paths.join(",")
        );
        self.store.put("config", "main", &spec);
        self.record.line(&format!("store: config/main is {version}, {} bytes", spec.len()))
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Copies the hosts' logs into a folder, for a look at a failure.
    pub fn keep_logs(&self) {
        if let Ok(to) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&to);
            for host in &self.hosts {
                let name = format!("{}.log", host.name);
                let _ = fs::copy(self.folder.join(&name), Path::new(&to).join(&name));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts an entry host with the command of the deploy file.
fn start_host(settings: &Path, log: &Path) -> Process {
    let log = File::options().create(true).append(true).open(log).expect("a log");
    let child = Command::new("target/release/cardamomroad-platform")
        .env("CARDAMOMROAD_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("target/release/cardamomroad-platform");
    Process::new(child)
}

/// The rest of a route, as [`Fleet::configure`] takes it.
pub fn route(kind: &str, timeout_ms: u32, attempts: u32, public: bool) -> String {
    format!(
        "\"kind\":\"{kind}\",\"timeout\":\"{timeout_ms}ms\",\"target_latency\":\"400ms\",\"priority\":1,\
         \"max_attempts\":{attempts},\"public\":{public},\"session_affinity\":true,\"allowed_regions\":[]"
    )
}

/// Returns the bytes of a client's request with a fresh connection.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> Vec<u8> {
    request_with_key(KEY, method, path, id, deadline_ms, body)
}

/// Returns the bytes of a client's request with this key.
pub fn request_with_key(key: &str, method: &str, path: &str, id: &str, deadline_ms: u32, body: &[u8]) -> Vec<u8> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", deadline_ms.to_string()),
        ("X-Api-Key", key.to_owned()),
        ("Connection", "close".to_owned()),
    ];
    http::format(&format!("{method} {path} HTTP/1.1"), &headers, body)
}

/// Sends a client's request to a host, and writes it and its answer to the record.
pub fn send(
    record: &Record,
    host: &str,
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    body: &[u8],
) -> Result<Message, String> {
    record.line(&format!("client sends {id} {method} {path} to {host}"));
    let bytes = request(method, path, id, deadline_ms, body);
    let answer = http::call(address, &bytes, Duration::from_millis(u64::from(deadline_ms) + 500));
    match answer {
        Ok(answer) => {
            let shown = String::from_utf8_lossy(&answer.body[..answer.body.len().min(60)]).into_owned();
            record.line(&format!("client gets {id} {} {shown}", answer.status()));
            Ok(answer)
        }
        Err(e) => {
            record.line(&format!("client gets {id} no answer: {e}"));
            Err(e.to_string())
        }
    }
}
