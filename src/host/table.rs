//! Rebuilds the look-up table when membership, plans or the configuration change.

use std::sync::Arc;
use tokio::time::Instant;

use crate::{
    config::{
        index::Index,
        object::DrainTarget, //
    },
    host::Host,
    lookup::{
        self,
        HostStatus,
        Table, //
    },
    membership::{
        Peer,
        PeerState, //
    },
    util::id::HostName,
};

/// One whole, in thousandths.
const PERMILLE_WHOLE: u32 = 1000;

impl Host {
    /// Rebuilds and publishes the look-up table from the current configuration,
    /// membership and plan.
    pub(super) fn rebuild_table(&mut self, now: Instant) {
        let Some(index) = self.index.clone() else {
            return;
        };
        let hosts = self.lookup_hosts(now, &index);
        let table = match &self.table {
            Some(table) => table.with_hosts(&hosts),
            None => {
                let blocks = index.blocks().clone();
                let own = &self.cfg.zone;
                Table::with_blocks(index.generation(), index.set(), own, &hosts, blocks)
            }
        };
        let table = match self.plan_of_region() {
            Some(plan) => table.with_plan(plan),
            None => table,
        };
        let table = Arc::new(table);
        self.cfg.table.store(Some(table.clone()));
        self.table = Some(table);
    }

    /// Returns this host, unless it is leaving, and all other hosts that look-ups may
    /// name.
    pub(super) fn lookup_hosts(&self, now: Instant, index: &Index) -> Vec<lookup::Host> {
        let mut hosts = Vec::new();
        if !self.leaving {
            hosts.push(lookup::Host {
                name: self.cfg.name.clone(),
                zone: self.cfg.zone.clone(),
                caller_address: self.cfg.callers,
                incarnation: self.cfg.incarnation,
                stamp: self.membership.stamp(now),
                status: self.drained_status(&self.cfg.name, HostStatus::Live),
                spare_milli: PERMILLE_WHOLE as u16,
            });
        }
        for zone in &index.set().zones {
            for peer in self.membership.zone_hosts(&zone.name) {
                hosts.extend(self.lookup_host(now, peer));
            }
        }
        hosts
    }

    /// Returns another host as a look-up entry; none if it is leaving, unreachable or
    /// gone.
    pub(super) fn lookup_host(&self, now: Instant, peer: &Peer) -> Option<lookup::Host> {
        let status = match self.membership.state(now, &peer.name)? {
            PeerState::Live => HostStatus::Live,
            PeerState::Suspect => HostStatus::Doubtful,
            PeerState::Leaving | PeerState::Unreachable | PeerState::Gone => return None,
        };
        Some(lookup::Host {
            name: peer.name.clone(),
            zone: peer.contact.zone.clone(),
            caller_address: peer.contact.callers,
            incarnation: peer.incarnation,
            stamp: peer.stamp,
            status: self.drained_status(&peer.name, status),
            spare_milli: self.spare(&peer.name),
        })
    }

    /// Returns a host's status, which is `Leaving` if a drain targets the host.
    pub(super) fn drained_status(&self, host: &HostName, status: HostStatus) -> HostStatus {
        let Some(index) = &self.index else {
            return status;
        };
        // Drains of zones are left out: the plan closes a zone in steps that the link
        // caps allow.
        let drains =
            |target: &DrainTarget| matches!(target, DrainTarget::Host(name) if name == host);
        match index.set().drains.iter().any(|d| drains(&d.target)) {
            true => HostStatus::Leaving,
            false => status,
        }
    }

    /// Returns the share of a host's usable slots that it reported free, in thousandths.
    /// A host without a report or without usable slots counts as wholly free.
    pub(super) fn spare(&self, host: &HostName) -> u16 {
        let Some(report) = self.loads.report_of_host(host) else {
            return PERMILLE_WHOLE as u16;
        };
        let free: u32 = report.loads.iter().map(|l| l.free).sum();
        let usable: u32 = report.loads.iter().map(|l| l.usable).sum();
        match usable {
            0 => PERMILLE_WHOLE as u16,
            _ => u16::try_from(free.saturating_mul(PERMILLE_WHOLE) / usable).unwrap_or(u16::MAX),
        }
    }
}
