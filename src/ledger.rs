//! A zone's share ledger: the lists of zones and hosts that quotas are divided over.
//!
//! The ledger is one object in the store, replaced by conditional update. It contains
//! every zone list and member list that some host may still apply. A host computes its
//! share from each of them and takes the smallest, so a share shrinks at once and grows
//! only after the relay has dropped the older lists. `docs/design/budgets.md` shows why
//! the shares never exceed the quota.

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

/// Number of member lists, or of zone lists, at which the relay appends no new list of
/// its own zone. Zone lists of other zones' ledgers are added regardless.
pub const LISTS_MAX: usize = 4;
/// How long an unlisted host has to be silent to count as gone.
///
/// Longer than [`crate::budget::PAUSE_MAX`], after which a host revalidates its share
/// before it spends any, plus the heartbeat interval and clock drift.
pub const GONE_AFTER: Duration = Duration::from_secs(30);

/// The number of one write of a zone's ledger, increased with each write.
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

/// A host in a ledger, identified by its name and address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub name: HostName,
    /// The address at which other hosts reach it. A process that has bound the port
    /// proves that no earlier process of the host is still running.
    pub peers: SocketAddr,
}

/// A list of the zone's hosts that took effect with a ledger revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The ledger revision that added the list.
    pub since: Revision,
    /// The hosts, sorted.
    pub hosts: Vec<Member>,
}

/// A list of the zones that quotas are divided over, in effect from a ledger revision on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zones {
    /// The ledger revision that added the list.
    pub since: Revision,
    /// The generation of the configuration with this list. Equal generations mean equal
    /// lists in all zones.
    pub generation: Generation,
    /// The zones, sorted by name.
    pub zones: Vec<Zone>,
}

/// The ledger of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The zone whose hosts use this ledger.
    pub zone: ZoneName,
    /// The revision of this write.
    pub revision: Revision,
    /// Every host that may hold a share applies this revision or a later one.
    pub acked: Revision,
    /// The member lists that some host may apply, oldest first; never empty.
    pub members: SmallVec<[Members; 2]>,
    /// The zone lists that some host may apply, ordered by generation; never empty.
    pub zones: SmallVec<[Zones; 2]>,
}

/// The state of one host according to the heartbeats that the relay received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostReport {
    /// The host that sent the heartbeats.
    pub member: Member,
    /// The ledger revision that it last acknowledged.
    pub revision: Revision,
    /// Time since its last heartbeat, but no longer than this relay has been listening.
    pub silent_for: Duration,
    /// Whether its last heartbeat said that it has released its shares and stops.
    pub released: bool,
}

/// The relay's inputs for the next ledger.
#[derive(Clone, Copy, Debug)]
pub struct ProposalInputs<'a> {
    /// The generation of the configuration that `zones` comes from.
    pub generation: Generation,
    /// The zones of that configuration.
    pub zones: &'a [Zone],
    /// The hosts that the platform lists, of all zones or only of this one.
    pub listed: &'a [ListedHost],
    /// The hosts of this zone. A member without any heartbeat so far is included with
    /// revision zero and the time for which the relay has been listening.
    pub host_reports: &'a [HostReport],
    /// The ledgers of the other zones, as last read from the store.
    pub others: &'a [Ledger],
}

impl Ledger {
    /// Creates the first ledger of a zone, in which no host holds a share.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            revision: Revision(0),
            acked: Revision(0),
            members: SmallVec::from_iter([Members::default()]),
            zones: SmallVec::from_iter([Zones::default()]),
        }
    }

    /// Reports whether every host of the zone applies the zone list of a generation.
    pub fn has_applied(&self, generation: Generation) -> bool {
        let is_applied = |z: &Zones| z.generation == generation && z.since <= self.acked;
        self.zones.iter().any(is_applied)
    }
}

/// Returns the ledger to write next by conditional update, or `None` if nothing changes.
pub fn propose(ledger: &Ledger, observed: &ProposalInputs<'_>) -> Option<Ledger> {
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

/// Returns the lowest revision that any host with a possible share applies.
///
/// A host that is only in the last of several member lists holds no share yet.
fn acked(ledger: &Ledger, observed: &ProposalInputs<'_>) -> Revision {
    let lists_in_use = match ledger.members.len() {
        0 | 1 => &ledger.members[..],
        n => &ledger.members[..n - 1],
    };
    let mut least = ledger.revision;
    for member in lists_in_use.iter().flat_map(|m| &m.hosts) {
        if is_gone(member, observed) {
            continue;
        }
        let heard = observed.host_reports.iter().find(|h| h.member == *member);
        least = least.min(heard.map_or(Revision(0), |h| h.revision));
    }
    least.max(ledger.acked)
}

/// Reports whether a host can certainly not spend its share any more.
fn is_gone(member: &Member, observed: &ProposalInputs<'_>) -> bool {
    let Some(heard) = observed.host_reports.iter().find(|h| h.member == *member) else {
        return false;
    };
    let is_member = |l: &&ListedHost| l.name == member.name && l.peers == member.peers;
    match observed.listed.iter().find(is_member).map(|l| l.state) {
        Some(ListedState::Live) => false,
        Some(ListedState::Leaving) => heard.released,
        None => heard.released || heard.silent_for >= GONE_AFTER,
    }
}

/// Drops the member lists that an acknowledged newer list has replaced.
fn retire_members(next: &mut Ledger, acked: Revision) {
    let Some(first_kept) = next.members.iter().rposition(|m| m.since <= acked) else {
        return;
    };
    next.members.drain(..first_kept);
}

/// Drops the zone lists that are older than one that all hosts of all zones apply.
fn retire_zones(next: &mut Ledger, acked: Revision, observed: &ProposalInputs<'_>) {
    for i in (1..next.zones.len()).rev() {
        let target = &next.zones[i];
        if target.since > acked || !applied_by_all_zones(next, target.generation, observed) {
            continue;
        }
        next.zones.drain(..i);
        return;
    }
}

/// Reports whether every other zone in the zone lists applies the list of a generation.
fn applied_by_all_zones(
    next: &Ledger,
    generation: Generation,
    observed: &ProposalInputs<'_>,
) -> bool {
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

/// Appends a member list if the hosts have changed: adds live listed ones, drops gone ones.
fn append_members(next: &mut Ledger, observed: &ProposalInputs<'_>) {
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

/// Appends zone lists of other ledgers and, if the zones have changed, the configured one.
fn append_zones(next: &mut Ledger, observed: &ProposalInputs<'_>) {
    let since = next.revision;
    let oldest = next.zones[0].generation;
    // Each zone adopts every list that another zone may apply, so that all zones
    // reach a common list even if one of them skipped a generation.
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
