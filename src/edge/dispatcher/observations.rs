//! Applies records published by the platform: configuration, upstreams, evacuations and hosts.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use tokio::time::Instant;

use super::Dispatcher;
use crate::{
    edge::{
        message::{
            StoreObserved,
            TopicObserved,
            TopicUpdate,
            UpdateOrigin, //
        },
        model::{
            ConfigVersion,
            Configuration,
            Standing, //
        },
        topic::{
            Change,
            Record,
            Topic, //
        },
        upstreams::key_of,
    },
    util::id::{
        HostName,
        ServiceName,
        UpstreamId,
        ZoneName, //
    },
};

impl Dispatcher {
    pub(super) fn observe(&mut self, now: Instant, msg: TopicObserved) {
        if msg.origin == UpdateOrigin::Store {
            self.store_read_at = Some(now);
        }
        let era = msg.news.era().unwrap_or_default();
        let (is_full, changes) = match msg.news {
            TopicUpdate::Whole(changes) => (true, changes.changes),
            TopicUpdate::Since(changes) => (false, changes.changes),
        };
        if msg.topic == Topic::Upstreams {
            self.upstreams_read_at = Some(now);
        }
        self.versions.observe_era(now, era);
        if is_full {
            if self.rollback.observe_list(msg.topic, era) {
                self.keep_lost(now, msg.topic, &changes);
            }
            self.remove_missing(now, msg.topic, &changes);
            if msg.topic == Topic::Configuration {
                // Until the list turns out to have the one in force.
                self.is_configuration_current = false;
            }
        }
        for change in changes {
            self.apply(now, msg.topic, change);
        }
        if msg.topic == Topic::Configuration
            && self.is_configuration_current
            && self.versions.may_confirm(now, self.version_in_force())
        {
            self.freshness
                .confirm(msg.read_at.at, msg.read_at.suspended);
        }
        if msg.topic == Topic::Hosts {
            if self.hosts_known_at.is_none() {
                self.hosts_known_at = Some(now);
                log::info!(event = "hosts-known", others = self.peers.len(); "");
            }
            self.peers.listen(now);
            self.choose_path(now);
            if self
                .hosts_read_at
                .is_none_or(|known| known.at < msg.read_at.at)
            {
                self.hosts_read_at = Some(msg.read_at);
            }
            self.apply_host_changes(now);
        }
        self.drain_queue(now, None);
    }

    pub(super) fn observe_store(&mut self, now: Instant, msg: StoreObserved) {
        if msg.is_failing {
            self.store_read_at = None;
        }
        if msg.is_failing != std::mem::replace(&mut self.is_store_failing, msg.is_failing) {
            match msg.is_failing {
                true => log::warn!(event = "dependency-lost", dependency = "store"; ""),
                false => log::info!(event = "dependency-regained", dependency = "store"; ""),
            }
        }
        if self.outage_ended_at < msg.outage_ended_at {
            self.outage_ended_at = msg.outage_ended_at;
            let ago = msg
                .outage_ended_at
                .map(|at| now.saturating_duration_since(at));
            log::info!(
                event = "store-outage-ended",
                ago_ms = ago.unwrap_or_default().as_millis() as u64;
                ""
            );
        }
    }

    /// Removes all known records that are missing from a full listing of the topic.
    pub(super) fn remove_missing(&mut self, now: Instant, topic: Topic, changes: &[Change]) {
        let listed_names: BTreeSet<&str> = changes.iter().map(|c| c.name.as_str()).collect();
        let known_names: Vec<String> = match topic {
            Topic::Configuration => Vec::new(),
            Topic::Upstreams => names_of(self.upstreams.ids()),
            Topic::Evacuations => names_of(self.evacuated_zones.iter()),
            Topic::Hosts => names_of(self.peers.names()),
        };
        for name in known_names {
            if !listed_names.contains(name.as_str()) && !self.is_kept(topic, &name) {
                self.apply(now, topic, Change { name, record: None });
            }
        }
    }

    pub(super) fn apply(&mut self, now: Instant, topic: Topic, change: Change) {
        match change.record {
            Some(Record::Configuration(cfg)) => self.adopt(now, cfg),
            Some(Record::UnreadableConfiguration) => {
                log::error!(
                    event = "configuration-unreadable",
                    in_force:% = self.version_in_force().unwrap_or_default();
                    ""
                );
                self.is_configuration_current = false;
            }
            Some(Record::Upstream(entry)) => {
                self.pending_removals.remove(&entry.id);
                if entry.standing == Standing::Ready {
                    self.declined_upstreams.remove(&key_of(&entry.id));
                }
                let cfg = self.configuration.load_full();
                let service = cfg.as_ref().and_then(|c| c.services.get(&entry.service));
                self.upstreams.register(now, *entry, service);
            }
            Some(Record::Evacuation(zone)) => {
                self.rollback.evacuations.release(&zone);
                if self.evacuated_zones.insert(zone.clone()) {
                    log::info!(event = "evacuation-started", zone:%; "");
                }
            }
            Some(Record::Host(entry)) => {
                self.rollback.hosts.release(&entry.name);
                if entry.name != self.settings.host {
                    self.peers.register(now, *entry);
                }
            }
            None => self.remove(now, topic, &change.name),
        }
    }

    pub(super) fn remove(&mut self, now: Instant, topic: Topic, name: &str) {
        match topic {
            Topic::Configuration => self.is_configuration_current = false,
            Topic::Upstreams => {
                let Ok(id) = UpstreamId::from_external(name) else {
                    return;
                };
                match self.outage_ended_at {
                    Some(ended_at) if now < ended_at + self.settings.bounds.reregistration => {
                        let until = ended_at + self.settings.bounds.reregistration;
                        let for_ms = until.saturating_duration_since(now).as_millis() as u64;
                        log::info!(event = "upstream-lapsed", upstream:% = id, for_ms; "");
                        self.pending_removals.entry(id).or_insert(until);
                    }
                    _ => {
                        self.upstreams.remove(&id);
                    }
                }
            }
            Topic::Evacuations => self.end_evacuation(now, name),
            Topic::Hosts => {
                if let Ok(host) = HostName::from_external(name) {
                    self.rollback.hosts.release(&host);
                    self.peers.remove(now, &host);
                }
            }
        }
    }

    pub(super) fn end_evacuation(&mut self, now: Instant, name: &str) {
        let Ok(zone) = ZoneName::from_external(name) else {
            return;
        };
        self.rollback.evacuations.release(&zone);
        if !self.evacuated_zones.remove(&zone) {
            return;
        }
        log::info!(event = "evacuation-ended", zone:%; "");
        // Its upstreams may have gone cold without reporting it yet.
        let cfg = self.configuration.load_full();
        let cold_time = |service: &ServiceName| {
            let service = cfg.as_ref().and_then(|c| c.services.get(service));
            service.map_or(Duration::ZERO, |s| s.cold_time)
        };
        self.upstreams.mark_zone_cold(&zone, cold_time, now);
    }

    pub(super) fn version_in_force(&self) -> Option<ConfigVersion> {
        self.configuration.load().as_ref().map(|c| c.version)
    }

    pub(super) fn adopt(&mut self, now: Instant, cfg: Arc<Configuration>) {
        let in_force = self.version_in_force();
        self.is_configuration_current = in_force <= Some(cfg.version);
        if in_force >= Some(cfg.version) {
            return;
        }
        log::info!(
            event = "configuration-adopted",
            version:% = cfg.version,
            organisations = cfg.organisations.len(),
            unreadable_parts = cfg.unreadable_parts;
            ""
        );
        let rates = cfg.organisations.iter().map(|o| (&o.name, o.rate));
        self.quotas.configure(now, rates);
        self.configuration.store(Some(cfg));
    }
}

fn names_of<T: ToString>(items: impl IntoIterator<Item = T>) -> Vec<String> {
    items.into_iter().map(|i| i.to_string()).collect()
}
