//! One entry host of a fleet.

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
    WAIT_MAX,
    WAIT_STEP, //
    process::{
        Process,
        binary, //
    },
};
use crate::{
    error::StandinError,
    http::get_json, //
};

/// The secret of a fleet on loopback.
const FLEET_SECRET: &str = "stand-in-fleet-secret";

/// Where a host runs and what it is told.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) name: HostName,
    pub(super) zone: ZoneName,
    /// Its own loopback address.
    pub(super) ip: std::net::IpAddr,
    pub(super) store: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) args: Vec<String>,
    pub(super) log_level: String,
    pub(super) folder: PathBuf,
}

/// An entry host's process and its addresses, which stay over restarts.
#[derive(Debug)]
pub struct EntryHost {
    plan: Plan,
    process: Process,
    running: bool,
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

impl EntryHost {
    pub(super) async fn start(plan: Plan) -> Result<Self, StandinError> {
        let any = SocketAddr::new(plan.ip, 0);
        let process = start(&plan, [any; 3]).await?;
        Ok(Self {
            callers: process.address("callers")?,
            peers: process.address("peers")?,
            operators: process.address("operators")?,
            plan,
            process,
            running: true,
        })
    }

    /// Starts it again at the same addresses, after its process ended.
    pub async fn restart(&mut self) -> Result<(), StandinError> {
        let addresses = [self.callers, self.peers, self.operators];
        self.process = start(&self.plan, addresses).await?;
        self.running = true;
        Ok(())
    }

    /// Returns its name.
    pub fn name(&self) -> &HostName {
        &self.plan.name
    }

    /// Returns its zone.
    pub fn zone(&self) -> &ZoneName {
        &self.plan.zone
    }

    /// Returns its address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns its address for other entry hosts.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns its address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Returns its process id.
    pub fn pid(&self) -> i32 {
        self.process.pid()
    }

    /// Returns the file of its log.
    pub fn log(&self) -> &Path {
        self.process.log()
    }

    /// Returns whether it was started and neither stopped nor killed here.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Sends it SIGTERM and waits for its end.
    pub async fn stop(&mut self) -> Result<ExitStatus, StandinError> {
        self.running = false;
        self.process.stop().await
    }

    /// Sends it SIGTERM only.
    pub fn terminate(&mut self) -> Result<(), StandinError> {
        self.running = false;
        self.process.signal(Signal::TERM)
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> Result<ExitStatus, StandinError> {
        self.running = false;
        self.process.wait().await
    }

    /// Sends it SIGKILL and waits for its end.
    pub async fn kill(&mut self) -> Result<ExitStatus, StandinError> {
        self.running = false;
        self.process.kill().await
    }

    /// Pauses it with SIGSTOP.
    pub fn pause(&self) -> Result<(), StandinError> {
        self.process.signal(Signal::STOP)
    }

    /// Wakes it with SIGCONT.
    pub fn wake(&self) -> Result<(), StandinError> {
        self.process.signal(Signal::CONT)
    }

    /// Returns the processor time that its process has spent.
    pub fn cpu_time(&self) -> Result<Duration, StandinError> {
        self.process.cpu_time()
    }

    /// Returns what it says of itself.
    pub async fn status(&self) -> Result<Status, StandinError> {
        get_json(self.operators, "/status").await
    }

    /// Waits until its status meets a condition, and returns it.
    pub async fn wait_until(
        &self,
        what: &str,
        holds: impl Fn(&Status) -> bool,
    ) -> Result<Status, StandinError> {
        let end = Instant::now() + WAIT_MAX;
        while Instant::now() < end {
            if let Ok(status) = self.status().await
                && holds(&status)
            {
                return Ok(status);
            }
            sleep(WAIT_STEP).await;
        }
        Err(StandinError::TimedOut {
            what: format!("{what} at {}", self.plan.name),
        })
    }
}

async fn start(plan: &Plan, addresses: [SocketAddr; 3]) -> Result<Process, StandinError> {
    let [callers, peers, operators] = addresses.map(|a| a.to_string());
    let seeds: Vec<String> = plan.seeds.iter().map(ToString::to_string).collect();
    let mut command = Command::new(binary("cardamomroad-entry")?);
    command.env("CARDAMOMROAD_FLEET_SECRET", FLEET_SECRET);
    command.env("RUST_LOG", &plan.log_level);
    command.args(["--name", plan.name.as_str(), "--zone", plan.zone.as_str()]);
    command.args(["--callers", &callers, "--peers", &peers]);
    command.args(["--operators", &operators]);
    command.args(["--store", &plan.store.to_string()]);
    if !seeds.is_empty() {
        command.args(["--seeds", &seeds.join(",")]);
    }
    command.args(&plan.args);
    Process::start(plan.name.as_str(), command, &plan.folder).await
}
