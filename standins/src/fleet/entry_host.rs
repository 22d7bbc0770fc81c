//! Starts, signals and queries one entry host of a fleet.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitStatus,
    time::Duration,
};

use cardamomroad::{
    host::status::Status,
    util::id::{
        HostName,
        ZoneName, //
    },
};
use rustix::process::Signal;
use tokio::{
    process::Command,
    time::{
        Instant,
        sleep, //
    },
};

use super::{
    POLL_INTERVAL, //
    WAIT_MAX,
    process::{
        Process,
        binary, //
    },
};
use crate::{
    error::StandinError,
    http::get_json, //
};

/// The shared secret with which the entry hosts authenticate one another.
const FLEET_SECRET: &str = "stand-in-fleet-secret";

/// The address, peers and command-line options of an entry host.
#[derive(Clone, Debug)]
pub(super) struct HostOptions {
    pub(super) name: HostName,
    pub(super) zone: ZoneName,
    /// The loopback address, which no other host of the fleet uses.
    pub(super) ip: std::net::IpAddr,
    pub(super) store: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) args: Vec<String>,
    pub(super) log_level: String,
    pub(super) folder: PathBuf,
}

/// The process of an entry host and its addresses, which a restart keeps.
#[derive(Debug)]
pub struct EntryHost {
    options: HostOptions,
    process: Process,
    running: bool,
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

impl EntryHost {
    pub(super) async fn start(options: HostOptions) -> Result<Self, StandinError> {
        let ephemeral = SocketAddr::new(options.ip, 0);
        let process = start(&options, [ephemeral; 3]).await?;
        Ok(Self {
            callers: process.address("callers")?,
            peers: process.address("peers")?,
            operators: process.address("operators")?,
            options,
            process,
            running: true,
        })
    }

    /// Starts the host again at the same addresses after its process ended.
    pub async fn restart(&mut self) -> Result<(), StandinError> {
        let addresses = [self.callers, self.peers, self.operators];
        self.process = start(&self.options, addresses).await?;
        self.running = true;
        Ok(())
    }

    /// Returns the host name, `ZONE-N` with `N` from 1.
    pub fn name(&self) -> &HostName {
        &self.options.name
    }

    /// Returns the zone in which the host runs.
    pub fn zone(&self) -> &ZoneName {
        &self.options.zone
    }

    /// Returns the address at which the host accepts callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address at which the host accepts other entry hosts.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address of the operators' HTTP interface.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the id of the current process.
    pub fn pid(&self) -> i32 {
        self.process.pid()
    }

    /// Returns the path of the log file.
    pub fn log(&self) -> &Path {
        self.process.log()
    }

    /// Returns whether the host was started and has not been stopped or killed
    /// through this value. A crash is not detected.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub async fn stop(&mut self) -> Result<ExitStatus, StandinError> {
        self.running = false;
        self.process.stop().await
    }

    /// Sends SIGTERM without waiting for the process to exit.
    pub fn terminate(&mut self) -> Result<(), StandinError> {
        self.running = false;
        self.process.signal(Signal::TERM)
    }

    /// Waits for the process to exit.
    pub async fn wait(&mut self) -> Result<ExitStatus, StandinError> {
        self.running = false;
        self.process.wait().await
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub async fn kill(&mut self) -> Result<ExitStatus, StandinError> {
        self.running = false;
        self.process.kill().await
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) -> Result<(), StandinError> {
        self.process.signal(Signal::STOP)
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) -> Result<(), StandinError> {
        self.process.signal(Signal::CONT)
    }

    /// Returns the user and system CPU time that the process has used.
    pub fn cpu_time(&self) -> Result<Duration, StandinError> {
        self.process.cpu_time()
    }

    /// Returns the host's `/status` report.
    pub async fn status(&self) -> Result<Status, StandinError> {
        get_json(self.operators, "/status").await
    }

    /// Polls the host's status until it meets a condition, and returns that status.
    /// `what` names the condition in the timeout error.
    pub async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&Status) -> bool,
    ) -> Result<Status, StandinError> {
        let end = Instant::now() + WAIT_MAX;
        while Instant::now() < end {
            if let Ok(status) = self.status().await
                && condition(&status)
            {
                return Ok(status);
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(StandinError::TimedOut {
            what: format!("{what} at {}", self.options.name),
        })
    }
}

async fn start(options: &HostOptions, addresses: [SocketAddr; 3]) -> Result<Process, StandinError> {
    let [callers, peers, operators] = addresses.map(|a| a.to_string());
    let seeds: Vec<String> = options.seeds.iter().map(ToString::to_string).collect();
    let mut command = Command::new(binary("cardamomroad-entry")?);
    command.env("CARDAMOMROAD_FLEET_SECRET", FLEET_SECRET);
    command.env("RUST_LOG", &options.log_level);
    command.args([
        "--name",
        options.name.as_str(),
        "--zone",
        options.zone.as_str(),
    ]);
    command.args(["--callers", &callers, "--peers", &peers]);
    command.args(["--operators", &operators]);
    command.args(["--store", &options.store.to_string()]);
    if !seeds.is_empty() {
        command.args(["--seeds", &seeds.join(",")]);
    }
    command.args(&options.args);
    Process::start(options.name.as_str(), command, &options.folder).await
}
