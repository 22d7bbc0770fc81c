//! Entry hosts: the project's own program, started with the command of the deploy file.

use std::{
    fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{http::Reader, store::Store};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Sends a GET; returns the status and body of the answer.
fn get(address: SocketAddr, target: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream
        .write_all(format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
        .ok()?;
    let mut reader = Reader::new(stream);
    let head = reader.head().ok()??;
    let body = reader.body(&head, false).ok()?;
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// One machine and its process. Dropping it kills the process.
pub struct Host {
    pub ip: Ipv4Addr,
    folder: PathBuf,
    child: Child,
}

/// Returns the command of the deploy file's only role.
fn deploy_command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let run = text
        .lines()
        .find_map(|l| l.strip_prefix("run = "))
        .expect("a command");
    run.trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect()
}

impl Host {
    /// Starts a host in a zone. `number` makes its address and folder unique in this process.
    pub fn start(number: u8, zone: &str, zones: &[(&str, &str)], store: &Store) -> Self {
        let ip = Ipv4Addr::new(127, 20, (std::process::id() % 250) as u8 + 1, number);
        let folder = std::env::temp_dir().join(format!(
            "cardamomroad-review-3-{}-{number}",
            std::process::id()
        ));
        fs::create_dir_all(&folder).expect("a folder");
        let region = zones
            .iter()
            .find(|(z, _)| *z == zone)
            .expect("a known zone")
            .1;
        let mut text = format!(
            "node_name=edge-{zone}-{number}\nrole=entry\nmachine_class=edge\n\
             serves=edge,directory\nip={ip}\nzone={zone}\nregion={region}\n\
             bind_addresses.frontend={ip}:8388\nbind_addresses.ready={ip}:8384\n\
             bind_addresses.directory={ip}:8383\ninternal_port_range=7560,7575\n\
             bootstrap=false\nfault_counted=false\nlimits.cpu_share=0.2\nlimits.cores=1\n\
             limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=directory\nheartbeat=1500ms\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=1\n\
             bounds.seed_lag=3s\nbounds.reuse_delay=2s\nbounds.stability_window=4000ms\n\
             bounds.ack=4000ms\nbounds.catch_up=4s\nbounds.drain=2500ms\nbounds.grace=6s\n\
             bounds.loss_slack=200ms\nbounds.config_apply=2500ms\nbounds.rollback_slack=250ms\n\
             bounds.max_stretch=6000ms\nbounds.strict_revocation=true\nbounds.revoke=5000ms\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window=10s\nbounds.retry_budget_slack=62\n\
             bounds.quota_window=5s\nbounds.quota_overage=0.1\nbounds.quota_slack=20\n\
             bounds.cold_overage=1.5\nbounds.cold_slack=5\nbounds.evacuation=5000ms\n\
             bounds.recovery=15s\nbounds.ttl_max=5s\nbounds.max_shift=0.15\n\
             platform.address={}\nplatform.form=objects\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.history=20s\nplatform.value_bytes=1048576\n\
             platform.min_ttl=1000ms\n",
            store.address
        );
        for (zone, region) in zones {
            text.push_str(&format!("zones.{zone}={region}\n"));
        }
        fs::write(folder.join("node.conf"), text).expect("a settings file");
        let child = Self::spawn(&folder);
        Self { ip, folder, child }
    }

    fn spawn(folder: &PathBuf) -> Child {
        let command = deploy_command();
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))
            .expect("a log");
        Command::new(&command[0])
            .args(&command[1..])
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
            )
            .env("CARDAMOMROAD_SETTINGS", folder.join("node.conf"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log"))
            .stderr(log)
            .spawn()
            .expect("the entry host starts")
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    pub fn frontend(&self) -> SocketAddr {
        (self.ip, 8388).into()
    }

    /// Asks the host's directory for the addresses for a zone; returns the answer's body.
    pub fn resolve(&self, zone: &str, region: &str) -> String {
        let address = (self.ip, 8383).into();
        let target = format!("/cardamomroad/resolve?name=desk.example&region={region}&zone={zone}");
        get(address, &target).map_or_else(|| "no answer".to_owned(), |(_, body)| body)
    }

    pub fn is_ready(&self) -> bool {
        let address = (self.ip, 8384).into();
        get(address, "/cardamomroad/ready").is_some_and(|(status, _)| status == 200)
    }

    /// Waits until the host is ready; false if it is not in `max`.
    pub fn wait_ready(&self, max: Duration) -> bool {
        let end = Instant::now() + max;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
