//! Load balancing over the upstreams of one service in one zone, for one gateway.
//!
//! Decisions are based on the gateway's own counts of running requests and
//! their outcomes. A load report from an upstream can only lower its weight.
//! The slots of each upstream are divided among the zone's gateways
//! ([`crate::slots`]), so that the gateways together never exceed them.

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
        RETRY_AFTER_MIN, //
        RateMeter,
    },
    slots,
    util::id::HostName, //
};

/// Reports of free slots from peers are ignored beyond this age.
const PEER_REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// The gateways that share the upstreams' slots, from the zone's ledger.
///
/// While the membership changes, the ledger holds both the old and the new
/// list. A share is the minimum over all lists, so no share grows until the
/// old list is removed. That happens once every host of the old list has
/// reduced its running requests to its new share or is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// The ledger's revision; a list of a lower revision is ignored.
    pub revision: u64,
    /// The member lists in the ledger: one, or the old and the new one during a change.
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
    /// Returns a host's share of an upstream's `total` slots, the minimum over all lists.
    fn share(&self, host: &HostName, upstream: SocketAddr, total: u32) -> u32 {
        let lists = self.lists.iter();
        let shares = lists.map(|list| slots::share(list, host, upstream, total));
        shares.min().unwrap_or(0)
    }
}

/// The destination chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Send to an upstream of this gateway; [`Pool::started`] occupies the slot.
    Upstream {
        /// The upstream's index in [`Pool::upstreams`].
        index: usize,
        /// The upstream's address.
        address: SocketAddr,
    },
    /// Forward to another gateway of the zone that has a free slot. That gateway
    /// must not forward the request again. The caller reports the end of the
    /// request with [`Pool::finish_forwarded`].
    Forward {
        /// The gateway to forward to.
        host: HostName,
    },
    /// Refuse: no slot is free.
    Busy {
        /// The delay before the caller should retry, from the measured rate at
        /// which the pool completes requests.
        retry_after: Duration,
    },
}

/// Why a destination was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The upstream is the least loaded relative to its weight.
    LeastLoaded,
    /// The upstream is suspect after failures and gets a single request as a probe.
    Probe,
    /// All slots of this gateway are in use, and a peer reported free ones.
    PeerHasFreeSlots,
    /// All slots of this gateway are in use, and no peer reported free ones.
    NoFreeSlots,
    /// Every upstream is suspect, draining, backing off or removed.
    NoUsableUpstream,
    /// The process was paused, and its shares have not been confirmed since.
    SharesUnconfirmed,
}

/// A decision of [`Pool::pick`] and the figures it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The destination of the request.
    pub pick: Pick,
    /// Why this destination was chosen.
    pub reason: Reason,
    /// Free slots of this gateway, over all upstreams.
    pub free: u32,
    /// Upstreams that accept requests, whether or not a slot is free.
    pub usable: u32,
}

/// Another gateway of the zone and its last report of free slots.
#[derive(Clone, Debug)]
struct Peer {
    host: HostName,
    /// Requests forwarded to this peer that are still running.
    forwarded: u32,
    /// The limit on `forwarded`: its value when the peer reported, plus the reported free slots.
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

/// One gateway's view of the upstreams of one service in one zone.
#[derive(Clone, Debug)]
pub struct Pool {
    me: HostName,
    members: Members,
    slots: u32,
    connections: u32,
    warm_up: Duration,
    upstreams: Vec<Upstream>,
    peers: Vec<Peer>,
    meter: RateMeter,
    last_tick: Instant,
    shares_confirmed: bool,
}

impl Pool {
    /// Creates the pool of gateway `me`. The upstreams in `cfg` start cold.
    pub fn new(now: Instant, me: HostName, cfg: &object::Pool, members: Members) -> Self {
        let mut pool = Self {
            me,
            members,
            slots: cfg.slots,
            connections: cfg.connections,
            warm_up: cfg.warm_up,
            upstreams: Vec::new(),
            peers: Vec::new(),
            meter: RateMeter::new(now),
            last_tick: now,
            shares_confirmed: true,
        };
        pool.configure(now, cfg);
        pool
    }

    /// Applies a changed configuration object.
    ///
    /// Upstreams that were removed from the configuration get no new requests,
    /// and are dropped when their last request has finished. New ones start cold.
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

    /// Sets the ledger's member lists, which also confirms the shares of this
    /// revision after a pause. Lists of an older revision are ignored.
    pub fn set_members(&mut self, members: Members) {
        if members.revision < self.members.revision {
            return;
        }
        self.shares_confirmed = true;
        self.members = members;
        self.update_shares();
    }

    /// Returns whether this gateway's running requests fit its shares of
    /// `revision` at every upstream. The revision may be acknowledged only then.
    pub fn is_within_shares(&self, revision: u64) -> bool {
        self.members.revision >= revision && self.upstreams.iter().all(|u| u.running() <= u.share())
    }

    /// Updates time-dependent state; must be called several times a second.
    ///
    /// If more than [`PAUSE_MAX`] has passed since the last call, the process was
    /// paused, and every pick is refused until [`Pool::set_members`] confirms the shares.
    pub fn tick(&mut self, now: Instant) {
        self.shares_confirmed &= now.saturating_duration_since(self.last_tick) <= PAUSE_MAX;
        self.last_tick = now;
        for u in &mut self.upstreams {
            u.tick(now, self.warm_up);
        }
        self.upstreams
            .retain(|u| u.state() != UpstreamState::Gone || u.running() > 0);
    }

    /// Records a peer's report of its free slots in this pool.
    pub fn set_peer_free_slots(&mut self, now: Instant, host: &HostName, free: u32) {
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

    /// Records that a request forwarded to a peer has ended or was rejected there.
    pub fn finish_forwarded(&mut self, host: &HostName) {
        if let Some(peer) = self.peers.iter_mut().find(|p| p.host == *host) {
            peer.forwarded = peer.forwarded.saturating_sub(1);
        }
    }

    /// Chooses the destination of a request. `forwarded` is set if another
    /// gateway of the zone forwarded the request, which then must stay here.
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
                pick: Pick::Forward { host },
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

    /// Occupies a slot of an upstream for a request that is about to be sent.
    pub fn started(&mut self, now: Instant, address: SocketAddr) {
        if let Some(u) = self.find(address) {
            u.started(now);
        }
    }

    /// Releases the slot and updates the upstream's state from the outcome.
    pub fn finished(&mut self, now: Instant, address: SocketAddr, outcome: Outcome) {
        if outcome == Outcome::Answered {
            self.meter.record(now);
        }
        if let Some(u) = self.find(address) {
            u.finished(now, outcome);
        }
    }

    /// Records a report from an upstream. Its load can only lower the upstream's weight.
    pub fn report(&mut self, now: Instant, address: SocketAddr, reported: Reported) {
        if let Some(u) = self.find(address) {
            u.report(now, reported);
        }
    }

    /// Starts or ends a drain of one upstream that an operator requested.
    pub fn set_drained(&mut self, now: Instant, address: SocketAddr, drained: bool) {
        if let Some(u) = self.find(address) {
            u.set_drained(now, drained);
        }
    }

    /// Returns the number of free slots of this gateway, including probes of upstreams that may
    /// have recovered.
    pub fn free_slots(&self, now: Instant) -> u32 {
        self.upstreams.iter().map(|u| u.free(now)).sum()
    }

    /// Returns whether a request may start now on an upstream of this gateway.
    pub fn has_room(&self, now: Instant) -> bool {
        let mut upstreams = self.upstreams.iter();
        self.shares_confirmed && upstreams.any(|u| u.free(now) > 0 || u.is_probe_due(now))
    }

    /// Returns whether a suspect upstream that may have recovered is due for a probe.
    pub fn has_recovery_probe(&self, now: Instant) -> bool {
        self.shares_confirmed && self.upstreams.iter().any(|u| u.may_have_recovered(now))
    }

    /// Returns the number of free slots in the zone: this gateway's own, plus those in
    /// recent reports from its other gateways.
    pub fn zone_free_slots(&self, now: Instant) -> u32 {
        let peers: u32 = self.peers.iter().map(|p| p.free(now)).sum();
        self.free_slots(now) + peers
    }

    /// Returns the number of slots that this gateway may use now, including those in use.
    pub fn capacity(&self, now: Instant) -> u32 {
        self.upstreams.iter().map(|u| u.limit(now)).sum()
    }

    /// Returns the delay before a refused caller should retry.
    pub fn retry_after(&self, now: Instant) -> Duration {
        self.meter.retry_after(now, 0)
    }

    /// Returns the number of this gateway's running requests.
    pub fn running(&self) -> u32 {
        self.upstreams.iter().map(Upstream::running).sum()
    }

    /// Returns the upstreams, including removed ones with running requests.
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

    /// Returns the upstream with the lowest load relative to its weight, counting
    /// the new request. Ties are broken at random.
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

    /// Reserves a slot at the peer with the most free slots and returns the peer.
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
