//! The age of a host's data on withdrawn keys.
//!
//! A host's set contains every withdrawal made before an instant T in either of
//! two cases:
//!
//! - the store was read at T or later, by this host or by a host whose set is
//!   contained in this host's set;
//! - each zone had a host whose set, at T or later, is contained in this host's
//!   set.
//!
//! Hosts exchange ages as durations, counted from before the request was sent,
//! so that the clocks of two hosts are never compared.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use bytes::Bytes;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    membership::WithdrawalDataAge,
    util::id::ZoneName, //
};

/// The unit in which [`WithdrawalDataAge`] gives the age of the store's data.
const STORE_AGE_UNIT: Duration = Duration::from_millis(100);
/// The unit in which [`WithdrawalDataAge`] gives the ages of the zones' data.
const ZONE_AGE_UNIT: Duration = Duration::from_secs(1);

/// The zones whose data is needed, if the store's is too old, to be sure that
/// no withdrawal is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Quorum {
    /// All configured zones.
    #[default]
    AllZones,
    /// More than half of the configured zones.
    Majority,
}

/// The instants up to which a host's withdrawal data is complete with respect
/// to the store and to each zone.
#[derive(Clone, Debug)]
pub struct Freshness {
    own_zone: ZoneName,
    store_as_of: Option<Instant>,
    /// All configured zones and this host's own, in the order of their names.
    zones: BTreeMap<ZoneName, Option<Instant>>,
    zones_hash: u32,
}

impl Freshness {
    /// Creates the record for a host of this zone, with unknown ages.
    pub fn new(own_zone: ZoneName) -> Self {
        Self {
            own_zone,
            store_as_of: None,
            zones: BTreeMap::new(),
            zones_hash: 0,
        }
    }

    /// Sets the configured zones; zones that remain configured keep their instants.
    pub fn set_zones<'a>(&mut self, zones: impl Iterator<Item = &'a ZoneName>) {
        let mut updated = BTreeMap::new();
        for zone in zones.cloned().chain([self.own_zone.clone()]) {
            let as_of = self.zones.get(&zone).copied().flatten();
            updated.insert(zone, as_of);
        }
        self.zones = updated;
        let names: Vec<&str> = self.zones.keys().map(ZoneName::as_str).collect();
        let low = xxh3_64(names.join("/").as_bytes()) & u64::from(u32::MAX);
        self.zones_hash = u32::try_from(low).unwrap_or_default();
    }

    /// Records that all withdrawals in the store at `requested_at` are known.
    pub fn record_store_read(&mut self, requested_at: Instant) {
        self.store_as_of = self.store_as_of.max(Some(requested_at));
    }

    /// Merges the ages in a peer's answer to a request sent at `requested_at`.
    /// The peer's set must be contained in this host's set. Ages of zones are
    /// ignored if the peer has other zones configured.
    pub fn merge_peer_ages(&mut self, requested_at: Instant, freshness: &WithdrawalDataAge) {
        let instant_of = |age: Option<Duration>| age.and_then(|a| requested_at.checked_sub(a));
        self.store_as_of = self
            .store_as_of
            .max(instant_of(from_tenths(freshness.store_tenths)));
        if freshness.zones != self.zones_hash {
            return;
        }
        for (as_of, seconds) in self.zones.values_mut().zip(freshness.zone_seconds.iter()) {
            *as_of = (*as_of).max(instant_of(from_seconds(*seconds)));
        }
    }

    /// Returns the ages to send to other hosts, rounded up.
    pub fn ages(&self, now: Instant) -> WithdrawalDataAge {
        let age = |t: Option<Instant>| t.map(|t| now.saturating_duration_since(t));
        let mut zone_seconds = Vec::new();
        for (zone, as_of) in &self.zones {
            let as_of = if *zone == self.own_zone {
                Some(now)
            } else {
                *as_of
            };
            zone_seconds.push(to_seconds(age(as_of)));
        }
        WithdrawalDataAge {
            store_tenths: to_tenths(age(self.store_as_of)),
            zones: self.zones_hash,
            zone_seconds: Bytes::from(zone_seconds),
        }
    }

    /// Returns the latest instant before which no withdrawal is missing, by the
    /// store or by the zones, whichever is later.
    pub fn complete_as_of(&self, quorum: Quorum) -> Option<Instant> {
        self.store_as_of.max(self.complete_as_of_by_zones(quorum))
    }

    fn complete_as_of_by_zones(&self, quorum: Quorum) -> Option<Instant> {
        let others = self
            .zones
            .iter()
            .filter(|(zone, _)| **zone != self.own_zone);
        let mut as_of: Vec<Option<Instant>> = others.map(|(_, as_of)| *as_of).collect();
        as_of.sort_unstable();
        as_of.reverse();
        let needed = match quorum {
            Quorum::AllZones => as_of.len(),
            // More than half of all zones, of which the own zone is one.
            Quorum::Majority => as_of.len().div_ceil(2),
        };
        // With no other zones, only the store can show that nothing is missing.
        *as_of.get(needed.checked_sub(1)?)?
    }
}

impl WithdrawalDataAge {
    /// Returns the ages after some time has passed, for data that is passed on later.
    pub fn aged_by(&self, passed: Duration) -> Self {
        let store = from_tenths(self.store_tenths).map(|a| a + passed);
        let zones = self.zone_seconds.iter().map(|s| from_seconds(*s));
        Self {
            store_tenths: to_tenths(store),
            zones: self.zones,
            zone_seconds: zones.map(|a| to_seconds(a.map(|a| a + passed))).collect(),
        }
    }
}

fn to_tenths(age: Option<Duration>) -> u16 {
    let tenths = age.map(|a| a.as_millis().div_ceil(STORE_AGE_UNIT.as_millis()));
    tenths
        .and_then(|t| u16::try_from(t).ok())
        .unwrap_or(u16::MAX)
}

fn from_tenths(tenths: u16) -> Option<Duration> {
    (tenths != u16::MAX).then(|| STORE_AGE_UNIT * u32::from(tenths))
}

fn to_seconds(age: Option<Duration>) -> u8 {
    let seconds = age.map(|a| a.as_millis().div_ceil(ZONE_AGE_UNIT.as_millis()));
    seconds
        .and_then(|s| u8::try_from(s).ok())
        .unwrap_or(u8::MAX)
}

fn from_seconds(seconds: u8) -> Option<Duration> {
    (seconds != u8::MAX).then(|| ZONE_AGE_UNIT * u32::from(seconds))
}
