//! Starts the store and the upstreams, and calls their control interfaces.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
};

use cardamomroad::{
    store::ListedHost,
    util::id::{
        ServiceName,
        ZoneName, //
    },
};
use hyper::Method;
use tokio::process::Command;

use super::{
    WAIT_MAX,
    process::{
        Process,
        binary, //
    },
};
use crate::{
    error::StandinError,
    http::{
        call_json,
        get_json, //
    },
    store,
    upstream::{
        Counts,
        Entry,
        LogAnswer,
        Release,
        SwitchChange,
        Switches,
        WaitFor,
        read_log, //
    },
};

/// A running store stand-in.
#[derive(Debug)]
pub struct StoreControl {
    /// The child process, for signals.
    pub process: Process,
    address: SocketAddr,
}

impl StoreControl {
    /// Starts a store on a free port and waits until it is ready.
    pub async fn start(folder: &Path) -> Result<Self, StandinError> {
        let command = Command::new(binary("standin-store")?);
        let process = Process::start("store", command, folder).await?;
        let address = process.address("address")?;
        Ok(Self { process, address })
    }

    /// Returns the address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the fault switches of the store and returns their new state.
    pub async fn switch(
        &self,
        change: &store::SwitchChange,
    ) -> Result<store::Switches, StandinError> {
        call_json(self.address, Method::POST, "/control/switch", Some(change)).await
    }

    /// Returns the number of calls that the store received, by caller and kind.
    pub async fn counts(&self) -> Result<Vec<store::CallCount>, StandinError> {
        get_json(self.address, "/control/counts").await
    }

    /// Replaces the platform's list of entry hosts.
    pub async fn set_hosts(&self, hosts: &[ListedHost]) -> Result<(), StandinError> {
        let path = "/control/hosts";
        let body = Some(&hosts);
        let _: Vec<ListedHost> = call_json(self.address, Method::PUT, path, body).await?;
        Ok(())
    }
}

/// A running upstream stand-in.
#[derive(Debug)]
pub struct UpstreamControl {
    /// The child process, for signals; replaced by a restart.
    pub process: Process,
    name: String,
    args: Vec<String>,
    service: ServiceName,
    zone: ZoneName,
    address: SocketAddr,
    control: SocketAddr,
    log: PathBuf,
}

impl UpstreamControl {
    /// Starts an upstream on free ports and waits until it is ready.
    pub(super) async fn start(
        name: &str,
        args: &[String],
        (service, zone): (ServiceName, ZoneName),
        folder: &Path,
    ) -> Result<Self, StandinError> {
        let log = folder.join(format!("{name}.jsonl"));
        let ephemeral = SocketAddr::from(([127, 0, 0, 1], 0));
        let command = command(name, args, ephemeral, &log)?;
        let process = Process::start(name, command, folder).await?;
        Ok(Self {
            address: process.address("address")?,
            control: process.address("control")?,
            process,
            name: name.to_owned(),
            args: args.to_vec(),
            service,
            zone,
            log,
        })
    }

    /// Starts the upstream again at the same address after its process ended. The
    /// control port may change.
    pub async fn restart(&mut self) -> Result<(), StandinError> {
        let folder = self.log.parent().unwrap_or(Path::new("/"));
        let command = command(&self.name, &self.args, self.address, &self.log)?;
        self.process = Process::start(&self.name, command, folder).await?;
        self.control = self.process.address("control")?;
        Ok(())
    }

    /// Returns the name of the upstream, which is also its process name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the service that the upstream provides.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the zone of the upstream's pool.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the address at which the upstream accepts requests from gateways.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the fault switches of the upstream and returns their new state.
    pub async fn switch(&self, change: &SwitchChange) -> Result<Switches, StandinError> {
        call_json(self.control, Method::POST, "/control/switch", Some(change)).await
    }

    /// Sets the strings that the upstream searches for in all bytes that it receives.
    pub async fn set_needles(&self, needles: &[String]) -> Result<Counts, StandinError> {
        let path = "/control/needles";
        call_json(self.control, Method::PUT, path, Some(&needles)).await
    }

    /// Releases the requests that are held under a name.
    pub async fn release(&self, name: &str) -> Result<(), StandinError> {
        let release = Release {
            name: name.to_owned(),
        };
        let path = "/control/release";
        let _: Release = call_json(self.control, Method::POST, path, Some(&release)).await?;
        Ok(())
    }

    /// Waits until the counts reach the requested values; a `wait_ms` of 0 means
    /// `WAIT_MAX`.
    pub async fn wait(&self, mut wait: WaitFor) -> Result<Counts, StandinError> {
        if wait.wait_ms == 0 {
            wait.wait_ms = u64::try_from(WAIT_MAX.as_millis()).unwrap_or(u64::MAX);
        }
        call_json(self.control, Method::POST, "/control/wait", Some(&wait)).await
    }

    /// Returns the counts of the running process.
    pub async fn counts(&self) -> Result<Counts, StandinError> {
        get_json(self.control, "/control/counts").await
    }

    /// Returns the request log of the running process.
    pub async fn log(&self) -> Result<LogAnswer, StandinError> {
        get_json(self.control, "/control/log").await
    }

    /// Reads the request log file, which covers all processes of this upstream,
    /// including those that crashed.
    pub fn read_log_file(&self) -> Result<Vec<Entry>, StandinError> {
        read_log(&self.log)
    }
}

fn command(
    name: &str,
    args: &[String],
    address: SocketAddr,
    log: &Path,
) -> Result<Command, StandinError> {
    let mut command = Command::new(binary("standin-upstream")?);
    command.args(["--name", name, "--listen", &address.to_string()]);
    command.arg("--log").arg(log);
    command.args(args);
    Ok(command)
}
