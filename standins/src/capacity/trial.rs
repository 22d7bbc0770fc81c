//! One real entry host under the stand-in store, with a table of some size and
//! light peers around it.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use cardamomroad::{
    config::object::ConfigSet,
    host::status::Status,
    publish::{
        apply::{
            Publication,
            apply, //
        },
        head::WriteId,
    },
    store::{
        ListedHost,
        ListedState,
        http::HttpStore, //
    },
    util::id::{
        Generation,
        ZoneName, //
    },
};
use hdrhistogram::Histogram;
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

use super::{
    peers::{
        Peers,
        REAL, //
    },
    process::{
        processor_time,
        resident_bytes, //
    },
};
use crate::{
    error::StandinError,
    http::get_json,
    store::{
        self,
        Store, //
    },
};

/// The secret of the trial's fleet.
pub const SECRET: &str = "capacity-trial-secret";
/// How long a host may take to become ready with the largest table.
const READY_MAX: Duration = Duration::from_secs(60);
/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(20);
/// Highest latency that is recorded, in microseconds.
const LATENCY_MAX_US: u64 = 10_000_000;

/// A real host at work.
pub struct Trial {
    store: Arc<Store>,
    store_address: SocketAddr,
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    set: ConfigSet,
    peers: Arc<Peers>,
    /// Seconds from the process's start to its first configuration in force.
    pub start_seconds: f64,
}

/// What a host used over a span of time.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time, in cores.
    pub cores: f64,
    /// Bytes a second that it sent to other hosts, with HTTP heads.
    pub sent: f64,
    /// Bytes a second that it received from other hosts.
    pub received: f64,
    /// Heartbeats a second, both ways.
    pub beats: f64,
    /// Store calls a second.
    pub calls: f64,
    /// Resident bytes at the end.
    pub memory: f64,
}

/// What a number of look-ups over HTTP cost.
#[derive(Clone, Copy, Debug)]
pub struct Lookups {
    /// Microseconds of the host's processor time for each.
    pub processor_us: f64,
    /// Look-ups a second.
    pub rate: f64,
    /// Milliseconds at the 99.9th percentile, as the caller saw them.
    pub p999_ms: f64,
}

impl Trial {
    /// Starts a host in the set's first zone with `light` peers there and
    /// `elsewhere` in each other zone, and waits until it serves.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready.
    pub async fn start(
        set: ConfigSet,
        light: usize,
        elsewhere: usize,
    ) -> Result<Self, StandinError> {
        let (store, store_address) = store::spawn().await?;
        publish(store_address, &set).await?;
        let zone = set.zones[0].name.clone();
        let number = |z: &ZoneName| if *z == zone { light } else { elsewhere };
        let zones: Vec<(ZoneName, usize)> = set
            .zones
            .iter()
            .map(|z| (z.name.clone(), number(&z.name)))
            .collect();
        let peers = Peers::start(&zones, SECRET).await?;
        let began = Instant::now();
        let (child, addresses) = start_entry(zone.as_str(), store_address)?;
        let [callers, host_peers, operators] = addresses;
        let mut listed = peers.listed.clone();
        listed.push(ListedHost {
            name: REAL.parse().map_err(|_| StandinError::Ended {
                name: REAL.to_owned(),
                said: String::new(),
            })?,
            zone,
            callers,
            peers: host_peers,
            state: ListedState::Live,
        });
        store.set_hosts(listed.clone());
        peers.run(&listed);
        let mut trial = Self {
            store,
            store_address,
            child,
            callers,
            operators,
            set,
            peers,
            start_seconds: 0.0,
        };
        trial.wait_for(Generation(1)).await?;
        trial.start_seconds = began.elapsed().as_secs_f64();
        Ok(trial)
    }

    /// Measures what the host uses over a span of time.
    pub async fn usage(&self, span: Duration) -> Usage {
        self.store.clear_counts();
        let traffic = &self.peers.traffic;
        let at = || {
            (
                processor_time(self.child.id()).unwrap_or_default(),
                traffic.sent.load(Ordering::Relaxed),
                traffic.received.load(Ordering::Relaxed),
                traffic.beats.load(Ordering::Relaxed),
            )
        };
        let (before, start) = (at(), Instant::now());
        sleep(span).await;
        let (after, seconds) = (at(), start.elapsed().as_secs_f64());
        let calls: u64 = self.store.counts().iter().map(|c| c.calls).sum();
        Usage {
            cores: (after.0 - before.0).as_secs_f64() / seconds,
            sent: (after.1 - before.1) as f64 / seconds,
            received: (after.2 - before.2) as f64 / seconds,
            beats: (after.3 - before.3) as f64 / seconds,
            calls: calls as f64 / seconds,
            memory: resident_bytes(self.child.id()).unwrap_or(0) as f64,
        }
    }

    /// Publishes a small change and returns the seconds until the host serves by it.
    ///
    /// # Errors
    ///
    /// Fails when the change is not in force in time.
    pub async fn change(&mut self) -> Result<f64, StandinError> {
        let route = &mut self.set.routes[0];
        route.deadline += Duration::from_millis(1);
        let generation = publish(self.store_address, &self.set).await?;
        let start = Instant::now();
        self.wait_for(generation).await?;
        Ok(start.elapsed().as_secs_f64())
    }

    /// Returns the host's processor time so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        processor_time(self.child.id())
            .unwrap_or_default()
            .as_secs_f64()
    }

    /// Sends look-ups on a few connections, one after another on each.
    ///
    /// # Errors
    ///
    /// Fails when a look-up is not answered.
    pub async fn lookups(&self, connections: usize, each: usize) -> Result<Lookups, StandinError> {
        let before = self.processor_seconds();
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for c in 0..connections {
            tasks.spawn(look_up(self.callers, c, each));
        }
        let mut all = histogram();
        while let Some(done) = tasks.join_next().await {
            let latencies = done.map_err(|e| call_failed(self.callers, &e))??;
            all.add(latencies)
                .map_err(|e| call_failed(self.callers, &e))?;
        }
        let number = (connections * each) as f64;
        Ok(Lookups {
            processor_us: (self.processor_seconds() - before) * 1e6 / number,
            rate: number / start.elapsed().as_secs_f64(),
            p999_ms: all.value_at_quantile(0.999) as f64 / 1e3,
        })
    }

    /// Sends look-ups while one change after another is published.
    ///
    /// # Errors
    ///
    /// Fails when a look-up is not answered or a change is not in force in time.
    pub async fn lookups_under_changes(
        &mut self,
        connections: usize,
        each: usize,
    ) -> Result<Lookups, StandinError> {
        let mut set = self.set.clone();
        let store = self.store_address;
        let changes = tokio::spawn(async move {
            loop {
                set.routes[0].deadline += Duration::from_millis(1);
                if publish(store, &set).await.is_err() {
                    return;
                }
            }
        });
        let lookups = self.lookups(connections, each).await;
        changes.abort();
        lookups
    }

    async fn wait_for(&self, generation: Generation) -> Result<(), StandinError> {
        let reached = async {
            loop {
                let status = get_json::<Status>(self.operators, "/status").await;
                if status.is_ok_and(|s| s.generation >= Some(generation)) {
                    return;
                }
                sleep(POLL).await;
            }
        };
        timeout(READY_MAX, reached)
            .await
            .map_err(|_| StandinError::Ended {
                name: "cardamomroad-entry".to_owned(),
                said: format!("generation {generation} was not in force in time"),
            })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn publish(store: SocketAddr, set: &ConfigSet) -> Result<Generation, StandinError> {
    let store = HttpStore::new(store, "operator");
    let publication = Publication::new(WriteId::random());
    let applied = apply(&store, set.clone(), publication).await;
    applied
        .map(|a| a.generation)
        .map_err(|e| StandinError::Ended {
            name: "apply".to_owned(),
            said: e.to_string(),
        })
}

/// Starts the daemon that was built beside this program.
fn start_entry(zone: &str, store: SocketAddr) -> Result<(Child, [SocketAddr; 3]), StandinError> {
    let path = beside("cardamomroad-entry")?;
    let mut child = Command::new(&path)
        .args(["--name", REAL, "--zone", zone])
        .args(["--callers", "127.0.4.2:0", "--peers", "127.0.4.2:0"])
        .args(["--operators", "127.0.4.2:0", "--store", &store.to_string()])
        .env("CARDAMOMROAD_FLEET_SECRET", SECRET)
        .env("RUST_LOG", "warn")
        .stdout(Stdio::piped())
        .spawn()
        .map_err(|_| StandinError::NotBuilt {
            name: "cardamomroad-entry".to_owned(),
            path,
        })?;
    let mut line = String::new();
    if let Some(out) = child.stdout.take() {
        let _ = BufReader::new(out).read_line(&mut line);
    }
    let mut addresses = line.split_whitespace().skip(1).filter_map(|pair| {
        let (_, address) = pair.split_once('=')?;
        address.parse().ok()
    });
    match (addresses.next(), addresses.next(), addresses.next()) {
        (Some(callers), Some(peers), Some(operators)) => Ok((child, [callers, peers, operators])),
        _ => {
            let _ = child.kill();
            let _ = child.wait();
            Err(StandinError::Ended {
                name: "cardamomroad-entry".to_owned(),
                said: line,
            })
        }
    }
}

fn beside(name: &str) -> Result<PathBuf, StandinError> {
    let not_built = |path: PathBuf| StandinError::NotBuilt {
        name: name.to_owned(),
        path,
    };
    let own = std::env::current_exe().map_err(|_| not_built(PathBuf::from(name)))?;
    let path = own.with_file_name(name);
    match path.exists() {
        true => Ok(path),
        false => Err(not_built(path)),
    }
}

async fn look_up(
    address: SocketAddr,
    connection: usize,
    number: usize,
) -> Result<Histogram<u64>, StandinError> {
    use bytes::Bytes;
    use http_body_util::{
        BodyExt,
        Empty, //
    };
    use hyper::{
        Request,
        client::conn::http1, //
    };
    use hyper_util::rt::TokioIo;
    let failed = |e: &dyn std::fmt::Display| call_failed(address, e);
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .map_err(|e| failed(&e))?;
    stream.set_nodelay(true).map_err(|e| failed(&e))?;
    let (mut sender, driver) = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream))
        .await
        .map_err(|e| failed(&e))?;
    tokio::spawn(driver);
    let mut latencies = histogram();
    for i in 0..number {
        let client = super::sets::client(connection * 31 + i);
        let path = format!("/.cardamomroad/lookup?service=s000&client={client}");
        let req = Request::get(path)
            .header("host", "lookup")
            .body(Empty::new())
            .map_err(|e| failed(&e))?;
        let start = Instant::now();
        sender.ready().await.map_err(|e| failed(&e))?;
        let res = sender.send_request(req).await.map_err(|e| failed(&e))?;
        res.into_body().collect().await.map_err(|e| failed(&e))?;
        let us = u64::try_from(start.elapsed().as_micros()).unwrap_or(LATENCY_MAX_US);
        latencies.saturating_record(us);
    }
    Ok(latencies)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

fn call_failed(address: SocketAddr, cause: &dyn std::fmt::Display) -> StandinError {
    StandinError::Call {
        target: address.to_string(),
        cause: cause.to_string(),
    }
}
