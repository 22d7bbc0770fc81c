//! Ledgers, and what this host holds by them.

use std::sync::Arc;
use tokio::time::Instant;

use crate::{
    budget::Holdings,
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
    /// Returns the member lists that divide the upstreams' slots.
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

    /// Returns whether no upstream runs more of this host's requests than its shares allow.
    pub(super) fn pools_are_shrunk(&self) -> bool {
        let revision = self.budgets.revision().0;
        self.pools.values().all(|pool| pool.is_shrunk(revision))
    }

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

    /// Counts by the ledger that is held, which was proved to be in force after `asked`.
    pub(super) fn confirm_ledger(&mut self, now: Instant, asked: Instant) {
        if self.ledger.is_none() {
            return;
        }
        self.ledger_requested_at = Some(asked);
        self.ledger_unconfirmed = false;
        self.recompute_shares(now);
        let members = self.members();
        for pool in self.pools.values_mut() {
            pool.set_members(members.clone());
        }
    }

    /// Works out this host's own shares from the configuration and the ledgers.
    pub(super) fn recompute_shares(&mut self, now: Instant) {
        let (Some(index), Some(ledger), Some(asked)) =
            (&self.index, &self.ledger, self.ledger_requested_at)
        else {
            return;
        };
        self.others_changed = false;
        let holdings = Holdings {
            wholes: share::wholes(index.set()),
            member: Member {
                name: self.cfg.name.clone(),
                peers: self.cfg.peers,
            },
            ledger: ledger.clone(),
            others: self.others_by_delay(index),
        };
        if let Err(e) = self.budgets.adopt(now, asked, Arc::new(holdings)) {
            log::debug!(event = "shares-not-adopted", cause:% = e; "");
            self.ledger_unconfirmed = true;
        }
        self.measure_headroom(now);
    }

    /// Returns the other zones' ledgers, those of the own region first.
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

    /// Looks at the headroom of the links that lead out of the region, and shares
    /// out again where other zones' ledgers changed.
    pub(super) fn refresh_headroom(&mut self, now: Instant) {
        match self.others_changed {
            true => self.recompute_shares(now),
            false => self.measure_headroom(now),
        }
    }

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
