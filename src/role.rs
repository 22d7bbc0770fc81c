//! Roles that one host at a time holds through a lease in the platform's store.

use std::{
    fmt,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use crate::{
    error::StoreError,
    gateway::Gateway,
    host::roles::IsRoleCandidate,
    lease::{
        Action,
        Lease,
        LeaseRecord,
        Term, //
    },
    store::{
        Condition,
        ObjectStore, //
    },
    util::id::{
        HostName,
        RegionName,
        Version,
        ZoneName, //
    },
};

/// How often a host that is not a candidate checks whether it has become one.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// The shortest pause between two decisions on a lease, and the pause after a failed read.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// The key prefix of all leases, outside the prefix that relays watch, so that watches do
/// not report lease writes.
const LEASE_PREFIX: &str = "cardamomroad.lease/";

/// A role that at most one host holds at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Watches the store on behalf of a zone and writes the zone's ledger.
    Relay(ZoneName),
    /// Publishes a region's steering plan.
    Planner(RegionName),
}

impl Role {
    /// Returns the store key of the role's lease record.
    pub fn key(&self) -> String {
        format!("{LEASE_PREFIX}{self}")
    }

    /// Ranks a host for the role by rendezvous hashing; the hosts with the lowest ranks are
    /// the candidates.
    pub fn rank(&self, host: &HostName) -> u64 {
        let seed = xxh3_64(self.to_string().as_bytes());
        xxh3_64_with_seed(host.as_str().as_bytes(), seed)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Relay(zone) => write!(f, "relay/{zone}"),
            Self::Planner(region) => write!(f, "planner/{region}"),
        }
    }
}

/// A successful write of the lease record.
#[derive(Clone, Copy, Debug)]
pub struct LeaseWrite {
    /// The version of the record after the write.
    pub version: Version,
    /// When the write was sent, on the local clock.
    pub sent_at: Instant,
}

/// A host's lease on a role, shared by the task that renews the lease and the task that
/// does the role's work.
#[derive(Clone, Debug)]
pub struct RoleLease {
    lease: Arc<Mutex<Lease>>,
    last_write: Arc<Mutex<Option<LeaseWrite>>>,
}

impl RoleLease {
    /// Returns the lease term if this host holds the role now.
    pub fn term(&self) -> Option<Term> {
        let lease = self.lease.lock().ok()?;
        lease.active_term(Instant::now())
    }

    /// Returns the latest successful write of the lease record.
    pub fn last_write(&self) -> Option<LeaseWrite> {
        *self.last_write.lock().ok()?
    }

    fn with_lease<T>(&self, f: impl FnOnce(&mut Lease) -> T) -> T {
        let mut lease = self.lease.lock().unwrap_or_else(|e| e.into_inner());
        f(&mut lease)
    }
}

/// Spawns the task that acquires and renews the lease of a role while this host is a
/// candidate for it.
pub fn spawn_lease_task<S: ObjectStore>(gw: Arc<Gateway>, store: Arc<S>, role: Role) -> RoleLease {
    let lease = Lease::new(gw.name.clone(), gw.incarnation);
    let role_lease = RoleLease {
        lease: Arc::new(Mutex::new(lease)),
        last_write: Arc::default(),
    };
    tokio::spawn(keep_lease(gw, store, role, role_lease.clone()));
    role_lease
}

async fn keep_lease<S: ObjectStore>(
    gw: Arc<Gateway>,
    store: Arc<S>,
    role: Role,
    role_lease: RoleLease,
) {
    let key = role.key();
    loop {
        let Ok(may_hold) = gw.host.send(IsRoleCandidate(role.clone())).await else {
            return;
        };
        if !may_hold {
            release_lease(&gw, &*store, &key, &role_lease).await;
            sleep(CANDIDATE_CHECK_INTERVAL).await;
            continue;
        }
        let action = role_lease.with_lease(|lease| lease.decide(Instant::now()));
        match action {
            Action::Wait { until } | Action::Hold { until } => {
                let pause = until.saturating_duration_since(Instant::now());
                sleep_until(Instant::now() + pause.max(PAUSE_MIN)).await;
            }
            Action::Read => read(&gw, &*store, &key, &role_lease).await,
            Action::Acquire { record, condition } | Action::Renew { record, condition } => {
                write(&gw, &*store, &key, &role_lease, record, condition).await;
            }
            Action::Lost => log::warn!(event = "lease-lost", role:%; ""),
        }
    }
}

async fn release_lease<S: ObjectStore>(gw: &Gateway, store: &S, key: &str, role_lease: &RoleLease) {
    if role_lease.term().is_none() {
        return;
    }
    let release = role_lease.with_lease(|lease| lease.release(Instant::now()));
    let Some((record, condition)) = release else {
        return;
    };
    gw.metrics.store_calls.inc();
    if let Err(e) = put(store, key, &record, condition).await {
        log::debug!(event = "lease-not-released", key:%, cause:% = e; "");
    }
}

async fn read<S: ObjectStore>(gw: &Gateway, store: &S, key: &str, role_lease: &RoleLease) {
    gw.metrics.store_calls.inc();
    match store.get(key).await {
        Ok(object) => {
            let found = object.and_then(|o| {
                let record = rmp_serde::from_slice(&o.value).ok()?;
                Some((o.version, record))
            });
            role_lease.with_lease(|lease| lease.observe(Instant::now(), found));
        }
        Err(e) => {
            log::debug!(event = "lease-not-read", key:%, cause:% = e; "");
            sleep(PAUSE_MIN).await;
        }
    }
}

async fn write<S: ObjectStore>(
    gw: &Gateway,
    store: &S,
    key: &str,
    role_lease: &RoleLease,
    record: LeaseRecord,
    condition: Condition,
) {
    let sent_at = Instant::now();
    let held = role_lease.term().is_some();
    gw.metrics.store_calls.inc();
    let result = put(store, key, &record, condition).await;
    if let Ok(version) = result {
        let last_write = LeaseWrite { version, sent_at };
        *role_lease
            .last_write
            .lock()
            .unwrap_or_else(|e| e.into_inner()) = Some(last_write);
        if !held {
            log::info!(event = "lease-acquired", key:%, term = record.term.0; "");
        }
    }
    let now = Instant::now();
    role_lease.with_lease(|lease| lease.answer(now, record.write, result));
}

async fn put<S: ObjectStore>(
    store: &S,
    key: &str,
    record: &LeaseRecord,
    condition: Condition,
) -> Result<Version, StoreError> {
    let value = rmp_serde::to_vec(record).map_err(|e| StoreError::Malformed {
        key: key.to_owned(),
        cause: e.to_string(),
    })?;
    store.put(key, Bytes::from(value), condition).await
}
