//! A zone's share ledger: one object in the store, moved by conditional update.
//!
//! The ledger names the zone lists and the member lists that somebody may still
//! count by. A host counts by all of them at once and takes the least, so a
//! share shrinks at once and grows only after the relay dropped the older
//! lists. See `docs/design/budgets.md` for the argument.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::{
    config::object::Zone,
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::{
        Generation,
        HostName,
        ZoneName, //
    },
};

/// The most member lists, or zone lists, that a ledger holds when it takes another one in.
pub const LISTS_MAX: usize = 4;
/// The silence after which an unlisted host counts as gone.
///
/// It is longer than [`crate::budget::PAUSE_MAX`], after which a holder
/// revalidates before it spends, plus heartbeats and drift.
pub const GONE_AFTER: Duration = Duration::from_secs(30);

/// The number of one write of a zone's ledger; it only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the following revision.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A host as the ledger knows it: a name at an address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub name: HostName,
    /// Where other hosts reach it. A bound port proves that no earlier process holds it.
    pub peers: SocketAddr,
}

/// The members of the zone from a revision on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The revision that brought the list.
    pub since: Revision,
    /// The members, in order.
    pub hosts: Vec<Member>,
}

/// The zones that quantities are divided over, from a revision on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zones {
    /// The revision that brought the list.
    pub since: Revision,
    /// The configuration that holds the list; the same number means the same list in each zone.
    pub generation: Generation,
    /// The zones, in order of their names.
    pub zones: Vec<Zone>,
}

/// The ledger of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The zone.
    pub zone: ZoneName,
    /// The number of this write.
    pub revision: Revision,
    /// Each host that may hold something counts by this revision or a later one.
    pub acked: Revision,
    /// The member lists that somebody may count by, oldest first; never empty.
    pub members: SmallVec<[Members; 2]>,
    /// The zone lists that somebody may count by, by generation; never empty.
    pub zones: SmallVec<[Zones; 2]>,
}

/// What the relay heard from one host, by heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The host.
    pub member: Member,
    /// The ledger revision that it last said it counts by.
    pub revision: Revision,
    /// How long it has been silent, at most the time that this relay has listened.
    pub silent_for: Duration,
    /// It said, as its last word, that it gave its shares back and stops.
    pub released: bool,
}

/// What the relay knows when it proposes the next ledger.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// The generation of the zone list.
    pub generation: Generation,
    /// The configured zones.
    pub zones: &'a [Zone],
    /// The platform's list, all zones or only this one.
    pub listed: &'a [ListedHost],
    /// The hosts of this zone. A member that the relay never heard stands here
    /// with revision zero and the time that the relay has listened.
    pub heard: &'a [Heard],
    /// The ledgers of the other zones as the store last gave them.
    pub others: &'a [Ledger],
}

impl Ledger {
    /// Returns the first ledger of a zone, by which nobody holds anything.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            revision: Revision(0),
            acked: Revision(0),
            members: SmallVec::from_iter([Members::default()]),
            zones: SmallVec::from_iter([Zones::default()]),
        }
    }

    /// Reports whether each host of the zone counts by a generation's zone list.
    pub fn has_applied(&self, generation: Generation) -> bool {
        let is_applied = |z: &Zones| z.generation == generation && z.since <= self.acked;
        self.zones.iter().any(is_applied)
    }
}

/// Returns the ledger to write next by conditional update, or none where nothing changes.
pub fn propose(ledger: &Ledger, observed: &Observed<'_>) -> Option<Ledger> {
    let mut next = ledger.clone();
    next.revision = ledger.revision.next();
    let acked = acked(ledger, observed);
    retire_members(&mut next, acked);
    retire_zones(&mut next, acked, observed);
    append_members(&mut next, observed);
    append_zones(&mut next, observed);
    let newly_acked = ledger
        .zones
        .iter()
        .any(|z| z.since > ledger.acked && z.since <= acked);
    let changed = next.members != ledger.members || next.zones != ledger.zones;
    if !changed && !newly_acked {
        return None;
    }
    next.acked = acked;
    Some(next)
}

/// Returns the revision that each host counts by which may hold something.
///
/// A host that only the last of several lists names holds nothing yet.
fn acked(ledger: &Ledger, observed: &Observed<'_>) -> Revision {
    let lists_in_use = match ledger.members.len() {
        0 | 1 => &ledger.members[..],
        n => &ledger.members[..n - 1],
    };
    let mut least = ledger.revision;
    for member in lists_in_use.iter().flat_map(|m| &m.hosts) {
        if is_gone(member, observed) {
            continue;
        }
        let heard = observed.heard.iter().find(|h| h.member == *member);
        least = least.min(heard.map_or(Revision(0), |h| h.revision));
    }
    least.max(ledger.acked)
}

/// Reports whether a host can spend nothing any more.
fn is_gone(member: &Member, observed: &Observed<'_>) -> bool {
    let Some(heard) = observed.heard.iter().find(|h| h.member == *member) else {
        return false;
    };
    let is_member = |l: &&ListedHost| l.name == member.name && l.peers == member.peers;
    match observed.listed.iter().find(is_member).map(|l| l.state) {
        Some(ListedState::Live) => false,
        Some(ListedState::Leaving) => heard.released,
        None => heard.released || heard.silent_for >= GONE_AFTER,
    }
}

fn retire_members(next: &mut Ledger, acked: Revision) {
    let Some(first_kept) = next.members.iter().rposition(|m| m.since <= acked) else {
        return;
    };
    next.members.drain(..first_kept);
}

fn retire_zones(next: &mut Ledger, acked: Revision, observed: &Observed<'_>) {
    for i in (1..next.zones.len()).rev() {
        let target = &next.zones[i];
        if target.since > acked || !applied_by_all_zones(next, target.generation, observed) {
            continue;
        }
        next.zones.drain(..i);
        return;
    }
}

/// Reports whether every other zone that a list names counts by a generation's list.
fn applied_by_all_zones(next: &Ledger, generation: Generation, observed: &Observed<'_>) -> bool {
    for zone in next.zones.iter().flat_map(|z| &z.zones) {
        if zone.name == next.zone {
            continue;
        }
        let other = observed.others.iter().find(|l| l.zone == zone.name);
        if !other.is_some_and(|l| l.has_applied(generation)) {
            return false;
        }
    }
    true
}

fn append_members(next: &mut Ledger, observed: &Observed<'_>) {
    let last = &next.members[next.members.len() - 1];
    let mut hosts: Vec<Member> = last.hosts.clone();
    hosts.retain(|m| !is_gone(m, observed));
    for host in observed.listed {
        let member = Member {
            name: host.name.clone(),
            peers: host.peers,
        };
        let joins = host.zone == next.zone && host.state == ListedState::Live;
        if !joins || hosts.contains(&member) {
            continue;
        }
        hosts.push(member);
    }
    hosts.sort();
    if hosts == last.hosts || next.members.len() >= LISTS_MAX {
        return;
    }
    let since = next.revision;
    next.members.push(Members { since, hosts });
}

fn append_zones(next: &mut Ledger, observed: &Observed<'_>) {
    let since = next.revision;
    let oldest = next.zones[0].generation;
    // Each zone counts by every list that another one may count by, so that
    // all of them meet at one, also where a zone skipped a generation.
    for known in observed.others.iter().flat_map(|l| &l.zones) {
        let same_generation = |z: &Zones| z.generation == known.generation;
        if known.generation <= oldest || next.zones.iter().any(same_generation) {
            continue;
        }
        let mut zones = known.clone();
        zones.since = since;
        next.zones.push(zones);
    }
    next.zones.sort_by_key(|z| z.generation);
    let last = &next.zones[next.zones.len() - 1];
    let mut zones = observed.zones.to_vec();
    zones.sort_by(|a, b| a.name.cmp(&b.name));
    let newer = observed.generation > last.generation && zones != last.zones;
    if !newer || next.zones.len() >= LISTS_MAX {
        return;
    }
    next.zones.push(Zones {
        since,
        generation: observed.generation,
        zones,
    });
}
