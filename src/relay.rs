//! The relay of a zone: it watches the store for changes and writes the zone's ledger.
//!
//! The host that holds the lease of [`Role::Relay`] does this work.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    agent,
    error::StoreError,
    gateway::Gateway,
    host::{
        configuration::{
            StoreFreshSince,
            StoredLedgers,
            StoredPlans,
            StoredWithdrawn, //
        },
        heartbeats::HostsRead,
        roles::ProposeLedger,
    },
    ledger::Ledger,
    plan::Plan,
    publish::{
        head::HEAD_KEY,
        withdrawn::{
            WITHDRAWN_KEY,
            WithdrawnKeys, //
        },
    },
    role::{
        Role,
        RoleLease,
        spawn_lease_task, //
    },
    store::{
        Change,
        Condition,
        ObjectStore, //
    },
    util::id::{
        Version,
        ZoneName, //
    },
};

/// The prefix of all keys that a relay watches.
const WATCH_PREFIX: &str = "cardamomroad/";
/// The key prefix of the ledgers; the zone name follows.
pub const LEDGER_PREFIX: &str = "cardamomroad/ledger/";
/// The key prefix of the plans; the region name follows.
pub const PLAN_PREFIX: &str = "cardamomroad/plan/";
/// How long a watch call waits for a change. The end of a call shows which store version
/// the relay has reached, which bounds the age of its data.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How often the platform's list of hosts is read and a ledger is proposed.
const LEDGER_PERIOD: Duration = Duration::from_secs(1);
/// The pause after a failed store call.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// How often a host that is not the relay checks whether it has become one.
const IDLE_PERIOD: Duration = Duration::from_millis(200);

/// Spawns the relay's tasks, which do their work only while this host holds the lease.
pub fn spawn<S: ObjectStore>(gw: Arc<Gateway>, store: Arc<S>, zone: ZoneName) {
    let role_lease = spawn_lease_task(gw.clone(), store.clone(), Role::Relay(zone.clone()));
    let relay = Arc::new(Relay {
        gw,
        store,
        zone,
        role_lease,
    });
    tokio::spawn(watch(relay.clone()));
    tokio::spawn(maintain_ledger(relay));
}

struct Relay<S> {
    gw: Arc<Gateway>,
    store: Arc<S>,
    zone: ZoneName,
    role_lease: RoleLease,
}

impl<S: ObjectStore> Relay<S> {
    fn holds_lease(&self) -> bool {
        self.role_lease.term().is_some()
    }

    fn ledger_key(&self) -> String {
        format!("{LEDGER_PREFIX}{}", self.zone)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(Version, T, Bytes)>, StoreError> {
        self.gw.metrics.store_calls.inc();
        let Some(object) = self.store.get(key).await? else {
            return Ok(None);
        };
        let value = rmp_serde::from_slice(&object.value).map_err(|e| StoreError::Malformed {
            key: key.to_owned(),
            cause: e.to_string(),
        })?;
        Ok(Some((object.version, value, object.value)))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Version, StoreError> {
        self.gw.metrics.store_calls.inc();
        self.store.put(key, value, condition).await
    }

    /// Fetches a changed object and sends it to the host actor.
    ///
    /// # Errors
    ///
    /// Fails when the store still returns an older version than that of the change, so that
    /// the change is fetched again.
    async fn fetch(&self, change: &Change) -> Result<(), StoreError> {
        let key = change.key.as_str();
        if key == HEAD_KEY {
            agent::report_head(&self.gw, &*self.store).await;
        } else if key == WITHDRAWN_KEY {
            self.fetch_withdrawn(change).await?;
        } else if key.starts_with(LEDGER_PREFIX) {
            let requested_at = Instant::now();
            if let Some((version, ledger, _)) = self.get::<Ledger>(key).await? {
                check_not_stale(change, version)?;
                let msg = StoredLedgers {
                    requested_at,
                    ledgers: vec![ledger],
                    proved: false,
                };
                let _ = self.gw.host.send(msg).await;
            }
        } else if key.starts_with(PLAN_PREFIX)
            && let Some((version, plan, _)) = self.get::<Plan>(key).await?
        {
            check_not_stale(change, version)?;
            let _ = self.gw.host.send(StoredPlans(vec![plan])).await;
        }
        Ok(())
    }

    async fn fetch_withdrawn(&self, change: &Change) -> Result<(), StoreError> {
        self.gw.metrics.store_calls.inc();
        let object = self.store.get(WITHDRAWN_KEY).await?;
        let version = object.as_ref().map_or(Version(0), |o| o.version);
        check_not_stale(change, version)?;
        let Some(object) = object else {
            return Ok(());
        };
        let withdrawn =
            WithdrawnKeys::decode(&object.value).map_err(|e| StoreError::Malformed {
                key: WITHDRAWN_KEY.to_owned(),
                cause: e.to_string(),
            })?;
        let _ = self.gw.host.send(StoredWithdrawn(withdrawn)).await;
        Ok(())
    }
}

/// Fails when a fetched version is older than that of the change.
fn check_not_stale(change: &Change, version: Version) -> Result<(), StoreError> {
    match version < change.version {
        true => Err(StoreError::Conflict {
            key: change.key.clone(),
            current: Some(version),
        }),
        false => Ok(()),
    }
}

/// Watches the store and fetches changes while this host holds the lease.
async fn watch<S: ObjectStore>(relay: Arc<Relay<S>>) {
    let mut seen = WatchState::default();
    loop {
        if !relay.holds_lease() {
            seen = WatchState::default();
            sleep(IDLE_PERIOD).await;
            continue;
        }
        if let Err(e) = watch_once(&relay, &mut seen).await {
            log::warn!(event = "watch-failed", zone:% = relay.zone, cause:% = e; "");
            sleep(FAILURE_PAUSE).await;
        }
    }
}

/// The progress of a watch.
#[derive(Debug, Default)]
struct WatchState {
    /// The store version up to which all changes were fetched; `None` before the first list.
    watched_to: Option<Version>,
    /// The latest fetched version of each object, by key.
    fetched: HashMap<String, Version>,
}

impl WatchState {
    /// Returns whether a change has not been fetched yet.
    fn is_new(&self, change: &Change) -> bool {
        self.fetched
            .get(&change.key)
            .is_none_or(|v| *v < change.version)
    }
}

async fn watch_once<S: ObjectStore>(
    relay: &Relay<S>,
    seen: &mut WatchState,
) -> Result<(), StoreError> {
    relay.gw.metrics.store_calls.inc();
    let (changes, version) = match seen.watched_to {
        Some(watched_to) => {
            let answer = relay
                .store
                .watch(WATCH_PREFIX, watched_to, WATCH_TIMEOUT)
                .await?;
            (answer.changes, answer.version)
        }
        None => {
            // The version is read before the list, so that no change between the two calls
            // is missed.
            let zero = Duration::ZERO;
            let answer = relay
                .store
                .watch(WATCH_PREFIX, Version(u64::MAX >> 1), zero)
                .await?;
            (relay.store.list(WATCH_PREFIX).await?, answer.version)
        }
    };
    // A response older than an earlier one comes from a store that lags.
    if seen
        .watched_to
        .is_some_and(|watched_to| version < watched_to)
    {
        return Ok(());
    }
    for change in &changes {
        if !seen.is_new(change) {
            continue;
        }
        relay.fetch(change).await?;
        seen.fetched.insert(change.key.clone(), change.version);
    }
    seen.watched_to = Some(version);
    // A watch that has reached the version of this host's last lease write includes every
    // change made before that write.
    if let Some(last_write) = relay.role_lease.last_write()
        && version >= last_write.version
    {
        let _ = relay
            .gw
            .host
            .send(StoreFreshSince(last_write.sent_at))
            .await;
    }
    Ok(())
}

/// Reads the platform's list of hosts and updates the zone's ledger while this host holds
/// the lease.
async fn maintain_ledger<S: ObjectStore>(relay: Arc<Relay<S>>) {
    let mut since = None;
    loop {
        if !relay.holds_lease() {
            since = None;
            sleep(IDLE_PERIOD).await;
            continue;
        }
        let lease_start = *since.get_or_insert_with(Instant::now);
        if let Err(e) = update_ledger(&relay, lease_start).await {
            log::warn!(event = "ledger-not-written", zone:% = relay.zone, cause:% = e; "");
            sleep(FAILURE_PAUSE).await;
        }
        sleep(LEDGER_PERIOD).await;
    }
}

async fn update_ledger<S: ObjectStore>(relay: &Relay<S>, since: Instant) -> Result<(), StoreError> {
    relay.gw.metrics.store_calls.inc();
    let hosts = relay.store.hosts().await?;
    let _ = relay.gw.host.send(HostsRead(hosts)).await;
    let key = relay.ledger_key();
    let requested_at = Instant::now();
    let stored = relay.get::<Ledger>(&key).await?;
    let held = stored.as_ref().map(|(_, ledger, _)| ledger.clone());
    let proposal = relay
        .gw
        .host
        .send(ProposeLedger {
            held: held.clone(),
            since,
        })
        .await;
    let Ok(answer) = proposal else {
        return Ok(());
    };
    // The lease is checked again right before the write. If it is lost after that, the
    // condition of the write still rejects an outdated ledger.
    if !relay.holds_lease() {
        return Ok(());
    }
    let (ledger, value) = match (answer.next, &stored) {
        (Some(next), _) => {
            let value = rmp_serde::to_vec(&next).map_err(|e| StoreError::Malformed {
                key: key.clone(),
                cause: e.to_string(),
            })?;
            (next, Bytes::from(value))
        }
        (None, Some((_, ledger, value))) if answer.needs_proof => (ledger.clone(), value.clone()),
        (None, _) => return Ok(()),
    };
    let condition = match &stored {
        Some((version, ..)) => Condition::At(*version),
        None => Condition::Absent,
    };
    relay.put(&key, value, condition).await?;
    log::debug!(event = "ledger-written", zone:% = relay.zone, revision = ledger.revision.0; "");
    let msg = StoredLedgers {
        requested_at,
        ledgers: vec![ledger],
        proved: true,
    };
    let _ = relay.gw.host.send(msg).await;
    Ok(())
}
