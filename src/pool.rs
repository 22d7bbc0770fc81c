//! The upstreams of one service in one zone, as one gateway sees them.
//!
//! The gateway's own counts of running requests and their outcomes decide;
//! what an upstream reports about itself only lowers its weight. The slots of
//! each upstream are divided among the zone's gateways ([`crate::slots`]), so
//! that the gateways together never exceed them.

pub mod upstream;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::{
    Rng,
    RngExt, //
};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    budget::PAUSE_MAX,
    chart::upstream::UpstreamState,
    config::object,
    ledger::Ledger,
    pool::upstream::{
        Outcome,
        Reported,
        Upstream, //
    },
    retry::{
        DrainMeter,
        RETRY_AFTER_MIN, //
    },
    slots,
    util::id::HostName, //
};

/// The age after which a peer's report of spare slots is no longer used.
const PEER_REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// The gateways that divide the upstreams' slots, from the zone's ledger.
///
/// While members change, the ledger holds the old list beside the new one. A
/// share is the least by any list, so that no share grows before the old list
/// is dropped; that is when all its hosts have shrunk or are gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// The ledger's revision; a lower one never replaces a higher one.
    pub revision: u64,
    /// The lists that the ledger still holds.
    pub lists: SmallVec<[Vec<HostName>; 2]>,
}

impl From<&Ledger> for Members {
    fn from(ledger: &Ledger) -> Self {
        let lists = ledger.members.iter();
        let names = lists.map(|list| list.hosts.iter().map(|m| m.name.clone()).collect());
        Self {
            revision: ledger.revision.0,
            lists: names.collect(),
        }
    }
}

impl Members {
    /// Returns a host's share of the `whole` slots of one upstream.
    fn share(&self, host: &HostName, upstream: SocketAddr, total: u32) -> u32 {
        let lists = self.lists.iter();
        let shares = lists.map(|list| slots::share(list, host, upstream, total));
        shares.min().unwrap_or(0)
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// To an upstream of this gateway. [`Pool::started`] takes the slot.
    Upstream {
        /// Its index in the pool.
        index: usize,
        /// Its address.
        address: SocketAddr,
    },
    /// To another gateway of the zone that has a spare slot. It must not pass
    /// the request on again; [`Pool::finish_pass`] tells when it has ended.
    Pass {
        /// The gateway.
        host: HostName,
    },
    /// Nowhere: no slot is free.
    Busy {
        /// When the caller should come back, from the measured rate at which
        /// the pool finishes requests.
        retry_after: Duration,
    },
}

/// Why a request goes where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The upstream had the most room for its share.
    LeastLoaded,
    /// The upstream failed before and gets one request to show that it works.
    Probe,
    /// This gateway's slots are taken; a peer reported spare ones.
    PeerHasFreeSlots,
    /// All slots of this gateway are taken and no peer reported spare ones.
    NoFreeSlots,
    /// All upstreams are suspect, draining, backing off or gone.
    NoUsableUpstream,
    /// This process was paused and has not heard since that its shares still hold.
    SharesUnconfirmed,
}

/// A decision of [`Pool::pick`], with what it was decided from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Where the request goes.
    pub pick: Pick,
    /// Why.
    pub reason: Reason,
    /// Slots that were free for this gateway.
    pub free: u32,
    /// Upstreams that could take work at all.
    pub usable: u32,
}

/// Another gateway of the zone, by its last report of spare slots.
#[derive(Clone, Debug)]
struct Peer {
    host: HostName,
    /// Requests passed there that still run.
    forwarded: u32,
    /// The most that may run there: what ran when it reported, and what it had spare.
    forwarded_max: u32,
    reported_at: Instant,
}

impl Peer {
    fn free(&self, now: Instant) -> u32 {
        match now.saturating_duration_since(self.reported_at) <= PEER_REPORT_MAX_AGE {
            true => self.forwarded_max.saturating_sub(self.forwarded),
            false => 0,
        }
    }
}

/// The upstreams of one service in one zone, as one gateway sees them.
#[derive(Clone, Debug)]
pub struct Pool {
    me: HostName,
    members: Members,
    slots: u32,
    connections: u32,
    warm_up: Duration,
    upstreams: Vec<Upstream>,
    peers: Vec<Peer>,
    meter: DrainMeter,
    last_tick: Instant,
    shares_confirmed: bool,
}

impl Pool {
    /// Creates the pool of one gateway.
    pub fn new(now: Instant, me: HostName, cfg: &object::Pool, members: Members) -> Self {
        let mut pool = Self {
            me,
            members,
            slots: cfg.slots,
            connections: cfg.connections,
            warm_up: cfg.warm_up,
            upstreams: Vec::new(),
            peers: Vec::new(),
            meter: DrainMeter::new(now),
            last_tick: now,
            shares_confirmed: true,
        };
        pool.configure(now, cfg);
        pool
    }

    /// Takes over a changed configuration object.
    ///
    /// Upstreams that it no longer names get no new work from now on and are
    /// forgotten when their last request has finished. New ones start cold.
    pub fn configure(&mut self, now: Instant, cfg: &object::Pool) {
        self.slots = cfg.slots;
        self.connections = cfg.connections;
        self.warm_up = cfg.warm_up;
        for u in &mut self.upstreams {
            if !cfg.upstreams.contains(&u.address()) {
                u.remove(now);
            }
        }
        for &address in &cfg.upstreams {
            let known = self.upstreams.iter_mut().find(|u| u.address() == address);
            match known {
                Some(u) => u.restore(now),
                None => self.upstreams.push(Upstream::new(now, address)),
            }
        }
        self.update_shares();
    }

    /// Takes the ledger's member lists, and with them the word that the shares
    /// of this revision hold.
    pub fn set_members(&mut self, members: Members) {
        if members.revision < self.members.revision {
            return;
        }
        self.shares_confirmed = true;
        self.members = members;
        self.update_shares();
    }

    /// Returns whether no upstream runs more of this gateway's requests than
    /// the shares of `revision` allow. Only then may it be acknowledged.
    pub fn is_shrunk(&self, revision: u64) -> bool {
        self.members.revision >= revision && self.upstreams.iter().all(|u| u.running() <= u.share())
    }

    /// Notes that the process runs; call it several times a second. A gap above [`PAUSE_MAX`] stops picks until
    /// [`Pool::set_members`] confirms the shares.
    pub fn tick(&mut self, now: Instant) {
        self.shares_confirmed &= now.saturating_duration_since(self.last_tick) <= PAUSE_MAX;
        self.last_tick = now;
        for u in &mut self.upstreams {
            u.tick(now, self.warm_up);
        }
        self.upstreams
            .retain(|u| u.state() != UpstreamState::Gone || u.running() > 0);
    }

    /// Takes a peer's report of its spare slots in this pool.
    pub fn set_peer_free(&mut self, now: Instant, host: &HostName, free: u32) {
        let peer = match self.peers.iter().position(|p| p.host == *host) {
            Some(i) => &mut self.peers[i],
            None => {
                self.peers.push(Peer {
                    host: host.clone(),
                    forwarded: 0,
                    forwarded_max: 0,
                    reported_at: now,
                });
                let last = self.peers.len() - 1;
                &mut self.peers[last]
            }
        };
        peer.forwarded_max = peer.forwarded + free;
        peer.reported_at = now;
    }

    /// Notes that a request that was passed to a peer has ended, or was not taken there.
    pub fn finish_pass(&mut self, host: &HostName) {
        if let Some(peer) = self.peers.iter_mut().find(|p| p.host == *host) {
            peer.forwarded = peer.forwarded.saturating_sub(1);
        }
    }

    /// Decides where a request goes. `passed` says that another gateway of the
    /// zone passed it here, so that it must not be passed on.
    pub fn pick<R: Rng>(&mut self, now: Instant, forwarded: bool, rng: &mut R) -> Decision {
        self.tick(now);
        if !self.shares_confirmed {
            return self.busy(now, Reason::SharesUnconfirmed, 0, 0);
        }
        if let Some(index) = self.upstreams.iter().position(|u| u.is_probe_due(now)) {
            return self.to_upstream(now, index, Reason::Probe);
        }
        if let Some(index) = self.least_loaded(now, rng) {
            return self.to_upstream(now, index, Reason::LeastLoaded);
        }
        if !forwarded && let Some(host) = self.reserve_peer_slot(now) {
            let usable = self.usable(now);
            return Decision {
                pick: Pick::Pass { host },
                reason: Reason::PeerHasFreeSlots,
                free: 0,
                usable,
            };
        }
        let usable = self.usable(now);
        let reason = match usable {
            0 => Reason::NoUsableUpstream,
            _ => Reason::NoFreeSlots,
        };
        self.busy(now, reason, 0, usable)
    }

    /// Takes a slot of an upstream for a request that is about to be sent.
    pub fn started(&mut self, now: Instant, address: SocketAddr) {
        if let Some(u) = self.find(address) {
            u.started(now);
        }
    }

    /// Gives the slot back and learns from the outcome.
    pub fn finished(&mut self, now: Instant, address: SocketAddr, outcome: Outcome) {
        if outcome == Outcome::Answered {
            self.meter.finished(now);
        }
        if let Some(u) = self.find(address) {
            u.finished(now, outcome);
        }
    }

    /// Takes what an upstream says about itself. It can only lower its weight.
    pub fn report(&mut self, now: Instant, address: SocketAddr, reported: Reported) {
        if let Some(u) = self.find(address) {
            u.report(now, reported);
        }
    }

    /// Starts or ends an operator's drain of one upstream.
    pub fn set_drained(&mut self, now: Instant, address: SocketAddr, drained: bool) {
        if let Some(u) = self.find(address) {
            u.set_drained(now, drained);
        }
    }

    /// Returns the slots that are free for this gateway now.
    pub fn free_slots(&self, now: Instant) -> u32 {
        self.upstreams.iter().map(|u| u.free(now)).sum()
    }

    /// Returns the slots that are free in the zone: the own ones, and those that
    /// its other gateways reported lately.
    pub fn zone_free(&self, now: Instant) -> u32 {
        let peers: u32 = self.peers.iter().map(|p| p.free(now)).sum();
        self.free_slots(now) + peers
    }

    /// Returns the slots that this gateway may use now, taken ones included.
    pub fn capacity(&self, now: Instant) -> u32 {
        self.upstreams.iter().map(|u| u.limit(now)).sum()
    }

    /// Returns when a refused caller should come back.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.meter.retry_after(now, 0)
    }

    /// Returns this gateway's running requests.
    pub fn running(&self) -> u32 {
        self.upstreams.iter().map(Upstream::running).sum()
    }

    /// Returns the upstreams, for `explain` and status.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| u.address() == address)
    }

    fn update_shares(&mut self) {
        let total = self.slots.min(self.connections);
        for u in &mut self.upstreams {
            u.set_share(self.members.share(&self.me, u.address(), total));
        }
    }

    fn usable(&self, now: Instant) -> u32 {
        let usable = self.upstreams.iter().filter(|u| u.limit(now) > 0).count();
        u32::try_from(usable).unwrap_or(u32::MAX)
    }

    /// Returns the upstream that would be the least loaded for its weight;
    /// chance decides between equals.
    fn least_loaded<R: Rng>(&self, now: Instant, rng: &mut R) -> Option<usize> {
        let mut best: SmallVec<[usize; 8]> = SmallVec::new();
        let mut least = f64::INFINITY;
        for (i, u) in self.upstreams.iter().enumerate() {
            if u.free(now) == 0 {
                continue;
            }
            let load = u.load_with_one_more(now);
            if load < least {
                least = load;
                best.clear();
            }
            if load <= least {
                best.push(i);
            }
        }
        if best.is_empty() {
            return None;
        }
        Some(best[rng.random_range(0..best.len())])
    }

    /// Returns the peer with the most spare slots, and counts one of them as taken.
    fn reserve_peer_slot(&mut self, now: Instant) -> Option<HostName> {
        let open = self.peers.iter_mut().filter(|p| p.free(now) > 0);
        let peer = open.max_by_key(|p| p.free(now))?;
        peer.forwarded += 1;
        Some(peer.host.clone())
    }

    fn to_upstream(&self, now: Instant, index: usize, reason: Reason) -> Decision {
        Decision {
            pick: Pick::Upstream {
                index,
                address: self.upstreams[index].address(),
            },
            reason,
            free: self.free_slots(now),
            usable: self.usable(now),
        }
    }

    fn busy(&self, now: Instant, reason: Reason, free: u32, usable: u32) -> Decision {
        let retry_after = match reason {
            Reason::SharesUnconfirmed => RETRY_AFTER_MIN,
            _ => self.meter.retry_after(now, 0),
        };
        Decision {
            pick: Pick::Busy { retry_after },
            reason,
            free,
            usable,
        }
    }
}
