//! What one entry host knows of the others.
//!
//! Pure: the owner sends the probes that [`Membership::probes`] returns and
//! reports their answers. Routing may avoid an unreachable host; only
//! [`PeerState::Gone`] says that a process has ended, and silence alone never
//! gives that.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    store::ListedHost,
    util::id::{
        Generation,
        HostName,
        Incarnation,
        Stamp,
        ZoneName, //
    },
};

/// How often a host probes.
pub const PERIOD: Duration = Duration::from_secs(1);
/// Hosts of its own zone that it sends a heartbeat to each period.
pub const ZONE_FANOUT: usize = 2;
/// Periods between two heartbeats to another zone.
pub const OTHER_ZONE_PERIODS: u32 = 3;
/// Hosts of each other zone that it keeps.
pub const OTHER_ZONE_HOSTS: usize = 4;
/// Entries that a heartbeat passes on.
pub const GOSSIP_ENTRIES: usize = 8;
/// Hosts that are asked to probe a host that did not answer.
pub const INDIRECT_FANOUT: usize = 2;
/// How long a suspect host stays routable.
pub const SUSPECT_BOUND: Duration = Duration::from_secs(3);
/// How long a host that the platform's list dropped must be silent to be gone.
pub const GONE_SILENCE: Duration = Duration::from_secs(120);

/// Where a host stands and listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its zone.
    pub zone: ZoneName,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other entry hosts reach it.
    pub peers: SocketAddr,
}

/// A host's load, as it tells the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that it admitted in the last second.
    pub admitted: u32,
    /// Requests that it refused in the last second for want of capacity.
    pub refused: u32,
}

/// The content of a grow-only set in a few bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SetSummary {
    /// The number of members.
    pub count: u32,
    /// The wrapping sum of the members' hashes.
    pub sum: u64,
}

/// How old a host's news of withdrawn keys is. Ages only, never clock times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsAge {
    /// Tenths of a second since the store was known to hold nothing newer.
    pub store_tenths: u16,
    /// The hash of the zones' names, in whose order `zone_seconds` stands.
    pub zones: u32,
    /// Seconds since some host of each zone was known to know nothing more.
    pub zone_seconds: Bytes,
}

/// What a host tells about itself beyond its own life.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// The generation that it serves by, if any.
    pub generation: Option<Generation>,
    /// The revision of its zone's ledger that it has acknowledged.
    pub ledger: u64,
    /// Its withdrawn keys.
    pub withdrawn: SetSummary,
    /// How old its news of withdrawn keys is.
    pub news: NewsAge,
    /// Its suspect requests.
    pub suspects: SetSummary,
    /// Its load.
    pub load: LoadSummary,
}

/// What a host passes on about another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The host.
    pub host: HostName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its latest known stamp.
    pub stamp: Stamp,
    /// Seconds since that stamp was heard, rounded up.
    pub age_seconds: u16,
    /// What is claimed of it.
    pub claim: Claim,
    /// Where it listens, where the receiver may not know it.
    pub contact: Option<Contact>,
}

/// What is claimed of a host at a stamp. A later stamp refutes a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// It was heard.
    Live,
    /// It did not answer, directly or through others.
    Suspect,
    /// It said that it is leaving.
    Leaving,
}

/// A message from one entry host to another, as request and as answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: HostName,
    /// Where it stands and listens.
    pub contact: Contact,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its own clock.
    pub stamp: Stamp,
    /// Whether it is stopping.
    pub leaving: bool,
    /// How many hosts of its own zone it knows.
    pub known: u16,
    /// What else it tells.
    pub facts: Facts,
    /// What it passes on.
    pub gossip: SmallVec<[Gossip; GOSSIP_ENTRIES]>,
}

/// A probe to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Send a heartbeat.
    Direct {
        /// The host to probe.
        to: HostName,
        /// Its address for other entry hosts.
        address: SocketAddr,
    },
    /// Ask a host to send a heartbeat to another one, and to report by [`Membership::on_indirect`].
    Indirect {
        /// The host to ask.
        via: HostName,
        /// Its address for other entry hosts.
        address: SocketAddr,
        /// The host to probe.
        target: HostName,
    },
}

/// What a host takes another for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It is heard.
    Live,
    /// It did not answer, directly or through others; still routable.
    Suspect,
    /// It has been suspect for too long to route to. Its process may well run.
    Unreachable,
    /// It said, or the platform's list says, that it is leaving.
    Leaving,
    /// The platform's list dropped it and it was silent for [`GONE_SILENCE`].
    Gone,
}

/// What is known of one other host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: HostName,
    /// Where it stands and listens.
    pub contact: Contact,
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// Its latest known stamp.
    pub stamp: Stamp,
    /// When that stamp was heard.
    pub heard: Option<Instant>,
    /// What it last told itself.
    pub facts: Option<Facts>,
}

/// What one host knows of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    me: HostName,
    contact: Contact,
    incarnation: Incarnation,
}

impl Membership {
    /// Creates the view of a host that knows only itself.
    pub fn new(me: HostName, contact: Contact, incarnation: Incarnation, now: Instant) -> Self {
        let _ = now;
        Self {
            me,
            contact,
            incarnation,
        }
    }

    /// Sets what the next heartbeats tell.
    pub fn set_facts(&mut self, facts: Facts) {
        let _ = (facts, &self.me, &self.contact, self.incarnation);
        todo!("set_facts")
    }

    /// Says from now on that this host is leaving.
    pub fn leave(&mut self) {
        todo!("leave")
    }

    /// Returns this host's own stamp.
    pub fn stamp(&self, now: Instant) -> Stamp {
        let _ = now;
        todo!("stamp")
    }

    /// Returns the probes to send now; call it once every [`PERIOD`].
    pub fn probes<R: Rng>(&mut self, now: Instant, rng: &mut R) -> SmallVec<[Probe; 4]> {
        let _ = (now, rng);
        todo!("probes")
    }

    /// Returns the heartbeat to send to a host.
    pub fn heartbeat<R: Rng>(&mut self, now: Instant, to: &HostName, rng: &mut R) -> Heartbeat {
        let _ = (now, to, rng);
        todo!("heartbeat")
    }

    /// Takes in a heartbeat and returns the answer.
    pub fn on_heartbeat<R: Rng>(&mut self, now: Instant, h: &Heartbeat, rng: &mut R) -> Heartbeat {
        let _ = (now, h, rng);
        todo!("on_heartbeat")
    }

    /// Takes in the answer to a heartbeat.
    pub fn on_reply(&mut self, now: Instant, reply: &Heartbeat) {
        let _ = (now, reply);
        todo!("on_reply")
    }

    /// Notes that a heartbeat to a host was not answered.
    pub fn on_silence(&mut self, now: Instant, host: &HostName) {
        let _ = (now, host);
        todo!("on_silence")
    }

    /// Takes in what a host that was asked to probe another one heard.
    pub fn on_indirect(&mut self, now: Instant, target: &HostName, heard: Option<&Gossip>) {
        let _ = (now, target, heard);
        todo!("on_indirect")
    }

    /// Merges the platform's whole list.
    pub fn on_list(&mut self, now: Instant, hosts: &[ListedHost]) {
        let _ = (now, hosts);
        todo!("on_list")
    }

    /// Merges the part of the platform's list that names one zone.
    pub fn on_zone_list(&mut self, now: Instant, zone: &ZoneName, hosts: &[ListedHost]) {
        let _ = (now, zone, hosts);
        todo!("on_zone_list")
    }

    /// Returns what is known of a host.
    pub fn peer(&self, host: &HostName) -> Option<&Peer> {
        let _ = host;
        todo!("peer")
    }

    /// Returns what a host is taken for.
    pub fn state(&self, now: Instant, host: &HostName) -> Option<PeerState> {
        let _ = (now, host);
        todo!("state")
    }

    /// Tells whether an incarnation has surely ended.
    pub fn is_gone(&self, now: Instant, host: &HostName, incarnation: Incarnation) -> bool {
        let _ = (now, host, incarnation);
        todo!("is_gone")
    }

    /// Returns the known hosts of a zone, without this host.
    pub fn zone_hosts(&self, zone: &ZoneName) -> impl Iterator<Item = &Peer> {
        let _ = zone;
        std::iter::empty()
    }

    /// Drops hosts that are gone and states that have run out.
    pub fn tick(&mut self, now: Instant) {
        let _ = now;
        todo!("tick")
    }

    /// Tells whether another process of this host's name has a larger incarnation.
    pub fn superseded(&self) -> bool {
        todo!("superseded")
    }
}
