//! The messages that entry hosts send one another about themselves and others.

use std::net::SocketAddr;

use bytes::{
    Buf,
    BufMut,
    Bytes, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    membership::GOSSIP_ENTRIES,
    util::id::{
        Generation,
        HostName,
        Incarnation,
        Stamp,
        ZoneName, //
    },
};

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsAge {
    /// Tenths of a second since the store was known to hold nothing more; the
    /// largest number where it never was.
    pub store_tenths: u16,
    /// The hash of the zones' names, in whose order `zone_seconds` stands.
    pub zones: u32,
    /// Seconds since some host of each zone was known to know nothing more; 255
    /// where none was, or longer ago.
    pub zone_seconds: Bytes,
}

impl Default for NewsAge {
    fn default() -> Self {
        Self {
            store_tenths: u16::MAX,
            zones: 0,
            zone_seconds: Bytes::new(),
        }
    }
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
#[serde(into = "u8", try_from = "u8")]
pub enum Claim {
    /// It was heard.
    Live,
    /// It did not answer, directly or through others.
    Suspect,
    /// It said that it is leaving.
    Leaving,
}

impl From<Claim> for u8 {
    fn from(claim: Claim) -> Self {
        match claim {
            Claim::Live => 0,
            Claim::Suspect => 1,
            Claim::Leaving => 2,
        }
    }
}

/// A claim's number that this build does not know.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("claim {0} is not known; the sender may run a newer build")]
pub struct UnknownClaim(u8);

impl TryFrom<u8> for Claim {
    type Error = UnknownClaim;

    fn try_from(number: u8) -> Result<Self, UnknownClaim> {
        match number {
            0 => Ok(Self::Live),
            1 => Ok(Self::Suspect),
            2 => Ok(Self::Leaving),
            other => Err(UnknownClaim(other)),
        }
    }
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
    /// How many other hosts it knows.
    pub known: u16,
    /// What else it tells.
    pub facts: Facts,
    /// Changes that it passes on.
    pub gossip: SmallVec<[Gossip; GOSSIP_ENTRIES]>,
    /// Stamps of other hosts, packed by [`StampEntry::write`].
    pub stamps: Bytes,
}

/// The latest stamp of a host that the receiver is likely to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StampEntry {
    /// The hash of the host's name and incarnation.
    pub process_hash: u64,
    /// Its stamp.
    pub stamp: u32,
    /// Seconds since the stamp was heard, rounded up.
    pub age_seconds: u8,
}

impl StampEntry {
    /// The length of a packed entry.
    pub const BYTES: usize = size_of::<u64>() + size_of::<u32>() + size_of::<u8>();

    /// Returns the hash of a host's name and incarnation.
    pub fn process_hash(host: &HostName, incarnation: Incarnation) -> u64 {
        xxh3_64_with_seed(host.as_str().as_bytes(), incarnation.0)
    }

    /// Appends the packed entry.
    pub fn write(&self, buf: &mut impl BufMut) {
        buf.put_u64(self.process_hash);
        buf.put_u32(self.stamp);
        buf.put_u8(self.age_seconds);
    }

    /// Takes the next packed entry.
    pub fn read(buf: &mut impl Buf) -> Option<Self> {
        if buf.remaining() < Self::BYTES {
            return None;
        }
        Some(Self {
            process_hash: buf.get_u64(),
            stamp: buf.get_u32(),
            age_seconds: buf.get_u8(),
        })
    }
}
