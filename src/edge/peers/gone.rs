//! Registered hosts that are gone for good.
//!
//! No registration expires by itself, and the parts of the organisations' rates that belong to hosts
//! that are gone lie idle. So the leader of a zone has the registrations of hosts removed that have
//! been silent for long. A host that was only cut off registers again when it notices; until then
//! the hosts that receive its messages know it again. Its part of the rates is not given to others
//! before it must have noticed.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    Peer,
    Peers, //
};
use crate::{
    edge::model::HostRegistration,
    util::id::{
        HostName,
        ZoneName, //
    },
};

/// How long a host of this zone must have been silent, while others are heard.
const GONE_AFTER: Duration = Duration::from_secs(60);
/// How long hosts must have been silent if no host of their zone is heard, or no host at all. The
/// network may separate regions for minutes.
const GONE_AFTER_ISOLATION: Duration = Duration::from_secs(600);
/// How long the addresses of removed hosts are kept, in case they are still running.
const FORMER_KEPT: Duration = Duration::from_secs(3600);
/// Maximum number of removed hosts that are kept.
const FORMER_MAX: usize = 1024;

/// A host whose registration was removed.
#[derive(Clone, Debug)]
pub(super) struct FormerHost {
    entry: HostRegistration,
    removed_at: Instant,
}

impl Peers {
    /// Returns a host whose registration is to be removed from the store, if this host is the one to
    /// remove it: the leader of the host's zone, or the highest-ranked leader if that zone has none.
    pub fn gone_host(&self, now: Instant) -> Option<HostName> {
        let is_alone = !self.hears_leaders(now) && self.is_isolated(now);
        let own_zone_after = match is_alone {
            true => GONE_AFTER_ISOLATION,
            false => GONE_AFTER,
        };
        let in_own_zone = self.gone_host_of(now, &self.own.zone, own_zone_after);
        if in_own_zone.is_some() {
            return in_own_zone;
        }
        if self.best_leader(now, self.regions.keys()) != Some(&self.own.name) {
            return None;
        }
        let is_unheard = |zone: &&ZoneName| {
            let heard_at = self.views.get(*zone).map(|v| v.at);
            **zone != self.own.zone && heard_at.is_none_or(|at| now >= at + GONE_AFTER_ISOLATION)
        };
        let mut unheard = self.regions.keys().filter(is_unheard);
        unheard.find_map(|zone| self.gone_host_of(now, zone, GONE_AFTER_ISOLATION))
    }

    /// Returns a host of a zone that has been silent for at least `span`, while this host has led
    /// its own zone.
    fn gone_host_of(&self, now: Instant, zone: &ZoneName, span: Duration) -> Option<HostName> {
        let leading_since = self.leading_since?;
        if now.saturating_duration_since(leading_since) < span {
            return None;
        }
        let mut hosts = self.hosts_of_zone(zone);
        let gone = hosts.find(|p| self.is_silent_for(now, p, span))?;
        Some(gone.entry.name.clone())
    }

    /// Returns whether a host was registered and no message of it has arrived for at least `span`,
    /// and no other leader of this zone hears it.
    fn is_silent_for(&self, now: Instant, peer: &Peer, span: Duration) -> bool {
        let is_past = |at: Instant| now.saturating_duration_since(at) >= span;
        is_past(peer.registered_at)
            && peer.process_heard_at.is_none_or(is_past)
            && !self.is_heard(now, &peer.entry.name)
    }

    /// Keeps the address of a host whose registration was removed at `now`.
    pub(super) fn keep_former(&mut self, now: Instant, entry: HostRegistration) {
        self.former
            .retain(|_, f| now.saturating_duration_since(f.removed_at) < FORMER_KEPT);
        if self.former.len() >= FORMER_MAX {
            let oldest = self.former.iter().min_by_key(|(_, f)| f.removed_at);
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.former.remove(&name);
            }
        }
        let former = FormerHost {
            entry,
            removed_at: now,
        };
        self.former.insert(former.entry.name.clone(), former);
    }

    /// Makes a host known again from which a message has arrived although its registration was
    /// removed.
    pub(super) fn restore(&mut self, now: Instant, host: &HostName) {
        if self.peers.contains_key(host) {
            return;
        }
        if let Some(former) = self.former.remove(host) {
            log::info!(event = "host-found", host:%; "");
            self.register(now, former.entry);
        }
    }

    /// Returns the removed hosts, by zone, whose parts of the rates nobody else may use yet at
    /// `now`.
    pub fn share_holders_removed(
        &self,
        now: Instant,
        kept: Duration,
    ) -> impl Iterator<Item = &HostRegistration> {
        let holds = move |f: &&FormerHost| now.saturating_duration_since(f.removed_at) < kept;
        self.former.values().filter(holds).map(|f| &f.entry)
    }
}
