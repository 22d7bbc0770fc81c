//! The heartbeat messages between entry hosts.

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

/// The zone and the listening addresses of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The availability zone it runs in.
    pub zone: ZoneName,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other entry hosts.
    pub peers: SocketAddr,
}

/// A host's load as reported to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Requests in flight at the host.
    pub in_flight: u32,
    /// Requests admitted in the last second.
    pub admitted: u32,
    /// Requests refused in the last second for lack of capacity.
    pub refused: u32,
}

/// A compact summary of a grow-only set, to detect that two hosts' sets differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SetSummary {
    /// The number of members of the set.
    pub count: u32,
    /// The wrapping sum of the members' hashes.
    pub sum: u64,
}

/// How up to date a host's set of withdrawn keys is. Holds ages only, never clock times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalDataAge {
    /// Tenths of a second since the host's set was known to contain all withdrawals in
    /// the store; `u16::MAX` if it never was.
    pub store_tenths: u16,
    /// The hash of the sorted names of all configured zones. `zone_seconds` has their
    /// order and is ignored by hosts with another hash.
    pub zones: u32,
    /// For each zone, seconds since the set was known to contain that of some host
    /// there; 255 if it never was, or longer ago.
    pub zone_seconds: Bytes,
}

impl Default for WithdrawalDataAge {
    fn default() -> Self {
        Self {
            store_tenths: u16::MAX,
            zones: 0,
            zone_seconds: Bytes::new(),
        }
    }
}

/// A host's report on its configuration, keys and load, sent with each heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// The configuration generation in use; `None` before the first one.
    pub generation: Option<Generation>,
    /// The revision of its zone's ledger that the host has acknowledged.
    pub ledger: u64,
    /// The summary of its set of withdrawn keys.
    pub withdrawn: SetSummary,
    /// How up to date that set is.
    pub news: WithdrawalDataAge,
    /// The summary of the requests it suspects of crashing upstreams.
    pub suspects: SetSummary,
    /// The load at the time of the report.
    pub load: LoadSummary,
}

/// A host's latest knowledge of another host, as passed on to third ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The host described.
    pub host: HostName,
    /// The incarnation that `stamp` and `claim` refer to.
    pub incarnation: Incarnation,
    /// The latest known stamp of that incarnation.
    pub stamp: Stamp,
    /// Seconds since that stamp was received from the host itself, rounded up.
    pub age_seconds: u16,
    /// The claimed state.
    pub claim: Claim,
    /// The host's addresses, if the receiver may not know them.
    pub contact: Option<Contact>,
}

/// The claimed state of a host at a stamp. A later stamp refutes a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum Claim {
    /// The host was heard.
    Live,
    /// The host answered neither direct nor indirect probes.
    Suspect,
    /// The host announced that it is leaving.
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

/// A claim with a number that this build does not know.
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

/// A message between entry hosts; the reply has the same form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sending host.
    pub from: HostName,
    /// The sender's zone and addresses.
    pub contact: Contact,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender's stamp when it sent the message.
    pub stamp: Stamp,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// How many other hosts the sender knows, capped at `u16::MAX`.
    pub known: u16,
    /// The sender's report about itself.
    pub facts: Facts,
    /// Recent changes and some random hosts.
    pub gossip: SmallVec<[Gossip; GOSSIP_ENTRIES]>,
    /// Latest stamps of other hosts, packed by [`StampEntry::write`].
    pub stamps: Bytes,
}

/// The latest stamp of a host that the receiver is likely to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StampEntry {
    /// The hash of the host's name and incarnation.
    pub process_hash: u64,
    /// The stamp of that process.
    pub stamp: u32,
    /// Seconds since that stamp was received from the host itself, rounded up.
    pub age_seconds: u8,
}

impl StampEntry {
    /// The length of a packed entry in bytes.
    pub const BYTES: usize = size_of::<u64>() + size_of::<u32>() + size_of::<u8>();

    /// Returns the hash of a host's name and incarnation.
    pub fn process_hash(host: &HostName, incarnation: Incarnation) -> u64 {
        xxh3_64_with_seed(host.as_str().as_bytes(), incarnation.0)
    }

    /// Appends the entry in its packed form.
    pub fn write(&self, buf: &mut impl BufMut) {
        buf.put_u64(self.process_hash);
        buf.put_u32(self.stamp);
        buf.put_u8(self.age_seconds);
    }

    /// Reads the next packed entry; returns `None` if too few bytes remain.
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
