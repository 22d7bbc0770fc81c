//! Applies ledgers and computes this host's shares of budgets and upstream slots.

use std::sync::Arc;
use tokio::time::Instant;

use crate::{
    budget::ShareInputs,
    config::index::Index,
    host::Host,
    ledger::{
        Ledger,
        Member, //
    },
    pool::Members,
    share, //
    util::{
        id::HostName,
        units::ByteSize, //
    },
};

impl Host {
    /// Returns the zone's member lists, which divide the upstreams' slots between hosts.
    pub(super) fn members(&self) -> Members {
        let Some(ledger) = &self.ledger else {
            return Members::default();
        };
        let names = |m: &crate::ledger::Members| -> Vec<HostName> {
            m.hosts.iter().map(|h| h.name.clone()).collect()
        };
        Members {
            revision: ledger.revision.0,
            lists: ledger.members.iter().map(names).collect(),
        }
    }

    /// Returns whether no upstream runs more of this host's requests than its share
    /// allows at the current ledger revision.
    pub(super) fn pools_are_shrunk(&self) -> bool {
        let revision = self.budgets.revision().0;
        self.pools
            .values()
            .all(|pool| pool.is_within_shares(revision))
    }

    /// Keeps a ledger if it is newer than the one held for its zone. A new ledger of the
    /// own zone has to be confirmed before use.
    pub(super) fn apply_ledger(&mut self, ledger: Ledger) {
        if ledger.zone == self.cfg.zone {
            let newer = self
                .ledger
                .as_ref()
                .is_none_or(|l| l.revision < ledger.revision);
            if newer {
                self.ledger = Some(ledger);
                self.ledger_unconfirmed = true;
            }
            return;
        }
        let held = self.others.get(&ledger.zone);
        if held.is_none_or(|l| l.revision < ledger.revision) {
            self.others.insert(ledger.zone.clone(), ledger);
            self.others_changed = true;
        }
    }

    /// Uses the held ledger, which was confirmed as current by a request sent at `requested_at`.
    pub(super) fn confirm_ledger(&mut self, now: Instant, requested_at: Instant) {
        if self.ledger.is_none() {
            return;
        }
        self.ledger_requested_at = Some(requested_at);
        self.ledger_unconfirmed = false;
        self.recompute_shares(now);
        let members = self.members();
        for pool in self.pools.values_mut() {
            pool.set_members(members.clone());
        }
    }

    /// Recomputes this host's budget shares from the configuration and the ledgers.
    pub(super) fn recompute_shares(&mut self, now: Instant) {
        let (Some(index), Some(ledger), Some(requested_at)) =
            (&self.index, &self.ledger, self.ledger_requested_at)
        else {
            return;
        };
        self.others_changed = false;
        let share_inputs = ShareInputs {
            fleet_quotas: share::fleet_quotas(index.set()),
            member: Member {
                name: self.cfg.name.clone(),
                peers: self.cfg.peers,
            },
            ledger: ledger.clone(),
            others: self.others_by_delay(index),
        };
        if let Err(e) = self
            .budgets
            .adopt(now, requested_at, Arc::new(share_inputs))
        {
            log::debug!(event = "shares-not-adopted", cause:% = e; "");
            self.ledger_unconfirmed = true;
        }
        self.measure_headroom(now);
    }

    /// Returns the other zones' ledgers by link delay, those of the own region first.
    pub(super) fn others_by_delay(&self, index: &Index) -> Vec<Ledger> {
        let mut others: Vec<Ledger> = self.others.values().cloned().collect();
        let delay = |l: &Ledger| {
            let (Some(from), Some(to)) = (self.region.as_ref(), index.region_of(&l.zone)) else {
                return std::time::Duration::MAX;
            };
            index
                .link(from, to)
                .map_or(std::time::Duration::ZERO, |link| link.delay)
        };
        others.sort_by_key(delay);
        others
    }

    /// Measures the headroom of the links out of the region, after recomputing the shares
    /// if other zones' ledgers changed.
    pub(super) fn refresh_headroom(&mut self, now: Instant) {
        match self.others_changed {
            true => self.recompute_shares(now),
            false => self.measure_headroom(now),
        }
    }

    /// Stores the remaining headroom of each link that leaves the region.
    pub(super) fn measure_headroom(&mut self, now: Instant) {
        let (Some(index), Some(region)) = (self.index.clone(), self.region.clone()) else {
            return;
        };
        for link in index.set().links.iter().filter(|l| l.from == region) {
            let available: ByteSize = self.links.headroom(now, &mut self.budgets, &link.name);
            self.headroom.insert(link.name.clone(), available);
        }
    }
}
