//! The system's own processes, one for each entry host, each on a loopback address of its own.

use std::{
    fs, io,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// The program that the deploy file starts, relative to the root of the repository.
const PROGRAM: &str = "target/release/cardamomroad-platform";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals, as the system numbers them.
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// One entry host and its process, which ends when this is dropped.
pub struct Host {
    pub name: String,
    ip: IpAddr,
    settings: PathBuf,
    child: Child,
    record: Record,
}

/// What the settings of a host say.
#[derive(Clone)]
pub struct Settings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// All zones, each with its region.
    pub zones: &'a [(&'a str, &'a str)],
    pub cpu_share: &'a str,
    pub grace: &'a str,
    pub bootstrap: bool,
    pub memory_mb: u32,
    pub store: SocketAddr,
}

impl Settings<'_> {
    fn text(&self, ip: IpAddr) -> String {
        let region = self
            .zones
            .iter()
            .find(|(z, _)| *z == self.zone)
            .map_or("", |(_, r)| r);
        let mut text = format!(
            "node_name={}\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip={ip}\n\
             zone={}\nregion={region}\n",
            self.name, self.zone
        );
        for (zone, region) in self.zones {
            text.push_str(&format!("zones.{zone}={region}\n"));
        }
        text.push_str(&format!(
            "bind_addresses.frontend={ip}:8388\nbind_addresses.ready={ip}:8384\n\
             bind_addresses.control_plane={ip}:8381\nbind_addresses.directory={ip}:8383\n\
             internal_port_range=7560,7575\nseed_nodes=\nbootstrap={}\nfault_counted=false\n\
             limits.cpu_share={}\nlimits.cores=1\nlimits.memory_mb={}\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=directory\n\
             heartbeat=1500ms\ncontracts=base,drain,config,cost,retry,recover,places,tenants,\
             quota,platform\nfault_tolerance.machines=2\nfault_tolerance.zones=1\n\
             fault_tolerance.regions=1\nbounds.seed_lag=3s\nbounds.reuse_delay=2s\n\
             bounds.stability_window=3000ms\nbounds.ack=4000ms\nbounds.catch_up=4s\n\
             bounds.drain=2500ms\nbounds.grace={}\nbounds.loss_slack=200ms\n\
             bounds.config_apply=2500ms\nbounds.rollback_slack=250ms\nbounds.max_stretch=5000ms\n\
             bounds.strict_revocation=true\nbounds.revoke=5000ms\nbounds.retry_budget_ratio=0.2\n\
             bounds.budget_window=10s\nbounds.retry_budget_slack=60\nbounds.quota_window=5s\n\
             bounds.quota_overage=0.1\nbounds.quota_slack=20\nbounds.cold_overage=1.5\n\
             bounds.cold_slack=5\nbounds.evacuation=5000ms\nbounds.recovery=15s\n\
             bounds.ttl_max=5s\nbounds.max_shift=0.15\nplatform.address={}\n\
             platform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
             platform.history=20s\nplatform.value_bytes=1048576\nplatform.min_ttl=1000ms\n",
            self.bootstrap, self.cpu_share, self.memory_mb, self.grace, self.store
        ));
        text
    }
}

/// Returns a loopback address whose ports for hosts are free. The process's id spreads cases that
/// run at the same time.
fn free_ip(number: u8) -> io::Result<IpAddr> {
    let spread = (std::process::id() % 200) as u8;
    for third in (1..=250).map(|i: u8| spread.wrapping_add(i)) {
        let ip = IpAddr::from([127, 11, third, number]);
        let are_free = [8388, 8384, 8381, 8383, 7560]
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok());
        if are_free {
            return Ok(ip);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Host {
    /// Writes a host's settings and starts its process.
    pub fn start(
        folder: &Path,
        number: u8,
        settings: &Settings<'_>,
        record: &Record,
    ) -> io::Result<Self> {
        let ip = free_ip(number)?;
        let path = folder.join(format!("{}.conf", settings.name));
        fs::write(&path, settings.text(ip))?;
        let child = spawn(&path)?;
        record.line(&format!("{} starts at {ip}", settings.name));
        Ok(Self {
            name: settings.name.to_owned(),
            ip,
            settings: path,
            child,
            record: record.clone(),
        })
    }

    /// Replaces the settings file of the running process.
    pub fn write_settings(&self, settings: &Settings<'_>) -> io::Result<()> {
        self.record
            .line(&format!("the settings of {} change", self.name));
        let new = self.settings.with_extension("new");
        fs::write(&new, settings.text(self.ip))?;
        fs::rename(&new, &self.settings)
    }

    /// Starts the process again after its end.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child.wait()?;
        self.child = spawn(&self.settings)?;
        self.record.line(&format!("{} starts again", self.name));
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        self.record
            .line(&format!("{} gets signal {signal}", self.name));
        let pid = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: the call takes two numbers, and the process has not been waited for.
        unsafe { kill(pid, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the memory of the process that is in use, in kilobytes; 0 if it has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(status).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Returns the address for clients.
    pub fn frontend(&self) -> SocketAddr {
        (self.ip, 8388).into()
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = http::once(
            (self.ip, 8384).into(),
            "GET /cardamomroad/ready HTTP/1.1",
            &[("Host", "ready")],
        );
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, at_most: Duration) -> io::Result<()> {
        let end = Instant::now() + at_most;
        while !self.is_ready() {
            if Instant::now() > end {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(&format!("{} is ready", self.name));
        Ok(())
    }
}

fn spawn(settings: &Path) -> io::Result<Child> {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    let mut command = Command::new(PROGRAM);
    command.env_clear().env("CARDAMOMROAD_SETTINGS", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            command.env(name, value);
        }
    }
    command
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

impl Drop for Host {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.child.kill().ok();
            self.child.wait().ok();
        }
    }
}
