//! Applies the decisions of [`rollback`](crate::edge::rollback) and
//! [`config_versions`](crate::edge::config_versions) when the store goes back to an older copy.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::Dispatcher;
use crate::{
    edge::{
        message::EraChanged,
        model::ConfigVersion,
        rollback::{
            EVACUATION_KEPT,
            HOST_KEPT, //
        },
        topic::{
            Change,
            Topic, //
        },
    },
    util::id::{
        HostName,
        ZoneName, //
    },
};

impl Dispatcher {
    pub(super) fn observe_era_change(&mut self, now: Instant, msg: EraChanged) {
        log::warn!(event = "store-era", old:% = msg.old, new:% = msg.new; "");
        self.metrics.store_rollbacks.inc();
        self.versions.observe_era(now, msg.new);
    }

    /// Returns whether requests with keys may run: the keys are known well enough, and no other host
    /// has a newer configuration that the store has lost.
    pub(super) fn keys_are_fresh(&self, now: Instant) -> bool {
        self.freshness.is_fresh(now) && !self.versions.blocks_keys(now, self.version_in_force())
    }

    /// Returns the version that this host tells others.
    pub(super) fn announced_version(&self) -> Option<ConfigVersion> {
        self.version_in_force()
            .filter(|_| self.versions.is_announced())
    }

    /// Keeps the records that are missing in the first list after the store has gone back, until
    /// their writers have had time to write them again.
    pub(super) fn keep_lost(&mut self, now: Instant, topic: Topic, listed: &[Change]) {
        let listed: BTreeSet<&str> = listed.iter().map(|c| c.name.as_str()).collect();
        match topic {
            Topic::Configuration => {}
            // Registrations that are missing now are removed when the upstreams have had time to
            // write them again, as after an outage.
            Topic::Upstreams => self.outage_ended_at = Some(now),
            Topic::Evacuations => {
                let zones = self.evacuated_zones.iter();
                for zone in zones.filter(|z| !listed.contains(z.as_str())) {
                    log::info!(event = "evacuation-kept", zone:%; "");
                    self.rollback
                        .evacuations
                        .keep(zone.clone(), now + EVACUATION_KEPT);
                }
            }
            Topic::Hosts => {
                for host in self.peers.names() {
                    if !listed.contains(host.as_str()) && self.peers.is_heard(now, &host) {
                        self.rollback.hosts.keep(host, now + HOST_KEPT);
                    }
                }
            }
        }
    }

    /// Returns whether a record that is missing in a list stays valid for now.
    pub(super) fn is_kept(&self, topic: Topic, name: &str) -> bool {
        match topic {
            Topic::Configuration | Topic::Upstreams => false,
            Topic::Evacuations => ZoneName::from_external(name)
                .is_ok_and(|zone| self.rollback.evacuations.contains(&zone)),
            Topic::Hosts => {
                HostName::from_external(name).is_ok_and(|host| self.rollback.hosts.contains(&host))
            }
        }
    }

    /// Ends what was kept long enough, and takes note of the versions of other hosts.
    pub(super) fn update_after_rollback(&mut self, now: Instant) {
        if !self.versions.is_active() {
            return;
        }
        let newest = self.peers.newest_configuration(now);
        self.versions.hear(now, newest);
        for zone in self.rollback.evacuations.take_expired(now) {
            self.end_evacuation(now, zone.as_str());
        }
        let lost_hosts = self.rollback.hosts.take_expired(now);
        for host in &lost_hosts {
            self.peers.remove(now, host);
        }
    }
}
