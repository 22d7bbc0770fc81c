//! Starts and controls one child process of a fleet.

use std::{
    collections::BTreeMap,
    fs::OpenOptions,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        ExitStatus,
        Stdio, //
    },
    time::Duration,
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use tokio::{
    io::{
        AsyncBufReadExt,
        BufReader, //
    },
    process::{
        Child,
        Command, //
    },
    time::timeout,
};

use super::WAIT_MAX;
use crate::error::StandinError;

/// The first word of the line that a process prints once it accepts connections.
const READY_WORD: &str = "ready";
/// The folder of test binaries; the other programs are in its parent folder.
const TEST_BINARY_FOLDER: &str = "deps";

/// The index of `utime` among the fields of `/proc/PID/stat` after the program's
/// name; `stime` follows it.
const STAT_UTIME_FIELD: usize = 11;
/// Clock ticks per second (`USER_HZ`), the unit of CPU time in `/proc/PID/stat`.
const TICKS_PER_SECOND: u32 = 100;

/// Returns the path of a program built in the same target folder as the running one.
pub fn binary(name: &str) -> Result<PathBuf, StandinError> {
    let running = std::env::current_exe().map_err(|cause| StandinError::Io {
        what: "finding the running program".to_owned(),
        cause,
    })?;
    let mut folder = running.parent().unwrap_or(Path::new("/"));
    if folder.ends_with(TEST_BINARY_FOLDER) {
        folder = folder.parent().unwrap_or(folder);
    }
    let path = folder.join(name);
    if path.is_file() {
        return Ok(path);
    }
    Err(StandinError::NotBuilt {
        name: name.to_owned(),
        path,
    })
}

/// A child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    pid: Pid,
    ready: BTreeMap<String, SocketAddr>,
    log: PathBuf,
}

impl Process {
    /// Starts a program and waits for its ready line. Standard error is appended to
    /// `NAME.log` in the folder.
    pub async fn start(
        name: &str,
        mut command: Command,
        folder: &Path,
    ) -> Result<Self, StandinError> {
        let log = folder.join(format!("{name}.log"));
        let io_error = |cause| StandinError::Io {
            what: format!("starting {name}"),
            cause,
        };
        let file = OpenOptions::new().create(true).append(true).open(&log);
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        command.stderr(file.map_err(io_error)?).kill_on_drop(true);
        let mut child = command.spawn().map_err(io_error)?;
        let pid = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let ended = || StandinError::Ended {
            name: name.to_owned(),
            said: std::fs::read_to_string(&log).unwrap_or_default(),
        };
        let pid = pid.ok_or_else(ended)?;
        let stdout = child.stdout.take().ok_or_else(ended)?;
        let mut lines = BufReader::new(stdout).lines();
        let ready = loop {
            let line = timeout(WAIT_MAX, lines.next_line()).await;
            let line = line.map_err(|_| StandinError::TimedOut {
                what: format!("the ready line of {name}"),
            })?;
            let line = line.map_err(io_error)?.ok_or_else(ended)?;
            if let Some(addresses) = read_ready(&line) {
                break addresses;
            }
        };
        Ok(Self {
            name: name.to_owned(),
            child,
            pid,
            ready,
            log,
        })
    }

    /// Returns the name used in errors and for the log file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn pid(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// Returns the path of the file that receives standard error.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the address that the ready line gives for a key.
    pub fn address(&self, key: &str) -> Result<SocketAddr, StandinError> {
        let found = self.ready.get(key).copied();
        found.ok_or_else(|| StandinError::Unknown {
            what: "address in the ready line",
            name: key.to_owned(),
        })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), StandinError> {
        kill_process(self.pid, signal).map_err(|e| StandinError::Io {
            what: format!("signalling {}", self.name),
            cause: e.into(),
        })
    }

    /// Returns the user and system CPU time that the process has used.
    pub fn cpu_time(&self) -> Result<Duration, StandinError> {
        let path = format!("/proc/{}/stat", self.pid());
        let io_error = |cause| StandinError::Io {
            what: format!("reading {path}"),
            cause,
        };
        let text = std::fs::read_to_string(&path).map_err(io_error)?;
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields = after_name.split_whitespace();
        let times = fields.skip(STAT_UTIME_FIELD).take(2);
        let ticks: u64 = times.filter_map(|t| t.parse::<u64>().ok()).sum();
        Ok(Duration::from_secs(ticks) / TICKS_PER_SECOND)
    }

    /// Waits up to `WAIT_MAX` for the process to exit.
    pub async fn wait(&mut self) -> Result<ExitStatus, StandinError> {
        let ended = timeout(WAIT_MAX, self.child.wait()).await;
        let ended = ended.map_err(|_| StandinError::TimedOut {
            what: format!("the end of {}", self.name),
        })?;
        ended.map_err(|cause| StandinError::Io {
            what: format!("waiting for {}", self.name),
            cause,
        })
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub async fn stop(&mut self) -> Result<ExitStatus, StandinError> {
        self.signal(Signal::TERM)?;
        self.wait().await
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub async fn kill(&mut self) -> Result<ExitStatus, StandinError> {
        self.signal(Signal::KILL)?;
        self.wait().await
    }
}

/// Parses a line of the form `ready KEY=IP:PORT ..`; returns `None` for any other line.
fn read_ready(line: &str) -> Option<BTreeMap<String, SocketAddr>> {
    let mut words = line.split_whitespace();
    if words.next() != Some(READY_WORD) {
        return None;
    }
    let mut addresses = BTreeMap::new();
    for word in words {
        let (key, address) = word.split_once('=')?;
        addresses.insert(key.to_owned(), address.parse().ok()?);
    }
    Some(addresses)
}
