//! Which zone serves one request that a gateway holds.
//!
//! The own zone goes first. What the plan moves goes where the plan says; what
//! finds no slot spills to another zone of the region within bounds, then to
//! other regions by link headroom.

use std::time::Duration;

use rand::{
    Rng,
    RngExt, //
};
use smallvec::SmallVec;

use crate::util::{
    id::{
        RegionName,
        ZoneName, //
    },
    units::ByteSize, //
};

/// The most gateways that a request passes, the first one included.
pub const HOPS_MAX: u8 = 3;
/// The age of a zone's report beyond which nothing spills there.
pub const VIEW_MAX_AGE: Duration = Duration::from_secs(5);

/// One zone that could serve, as the gateway knows it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Its weight in the plan, out of [`crate::plan::WEIGHT_WHOLE`].
    pub weight: u16,
    /// Slots free there: exact for the own zone, reported for others.
    pub free: u32,
    /// The age of that figure.
    pub age: Duration,
    /// Requests that this gateway has sent there and that still run.
    pub spilled: u32,
    /// Those of them that ran when `free` was measured.
    pub spilled_then: u32,
    /// The gateways of this zone, which divide what may spill.
    pub senders: u32,
    /// The one-way delay.
    pub delay: Duration,
    /// What the link there can still take; `None` within the region.
    pub headroom: Option<ByteSize>,
    /// Whether it gets no more work: it has been drained, or leaves.
    pub drained: bool,
    /// Whether it is being drained and keeps some work until the plan has moved it.
    pub draining: bool,
    /// Whether it can be reached.
    pub reachable: bool,
}

/// The request to be routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The gateways that it has passed, this one not included.
    pub hops: u8,
    /// The bytes that it is expected to bring onto a link.
    pub bytes: ByteSize,
    /// Whether it is known to run for long, as an upload does.
    pub long: bool,
}

/// The zone that serves, with what was decided from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The zone.
    pub to: Target,
    /// Why.
    pub reason: Reason,
    /// The figures of every zone that was considered, for `explain`.
    pub considered: SmallVec<[ConsideredZone; 4]>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// To upstreams of the own zone.
    Own,
    /// To a gateway of another zone.
    Zone(ZoneName),
    /// Nowhere.
    Nowhere,
}

/// Why a request goes to a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The own zone has room.
    OwnZone,
    /// The plan moves this part of the traffic.
    Planned,
    /// The request runs for long and would hold up the drain of its zone.
    LongRequestAvoidsDrain,
    /// The own zone has no room; another of the region has.
    SpillRegion,
    /// The region has no room; another region and the link have.
    SpillLink,
    /// The request has passed [`HOPS_MAX`] gateways or came from another zone.
    HopLimit,
    /// No zone has room.
    NoFreeSlots,
    /// Another region has room, but the link has not.
    NoLink,
}

/// What was known of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsideredZone {
    /// The zone.
    pub zone: ZoneName,
    /// Its weight in the plan.
    pub weight: u16,
    /// Slots thought to be free.
    pub free: u32,
    /// The age of that figure.
    pub age: Duration,
    /// The link's headroom.
    pub headroom: Option<ByteSize>,
    /// What spoke against it.
    pub exclusion: Option<Exclusion>,
}

/// What spoke against a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It drains or leaves.
    Drained,
    /// It cannot be reached.
    Unreachable,
    /// What is known of it is too old.
    Stale,
    /// It has no free slot for this gateway.
    Full,
    /// The link has no room.
    Link,
}

/// Chooses the zone for one request. `own` is the index of the own zone.
pub fn choose<R: Rng>(own: usize, candidates: &[Candidate], req: Request, rng: &mut R) -> Decision {
    let considered: SmallVec<[ConsideredZone; 4]> = candidates
        .iter()
        .enumerate()
        .map(|(i, c)| consider(c, i == own, req))
        .collect();
    let (to, reason) = decide(own, candidates, &considered, req, rng);
    Decision {
        to,
        reason,
        considered,
    }
}

fn decide<R: Rng>(
    own: usize,
    candidates: &[Candidate],
    considered: &[ConsideredZone],
    req: Request,
    rng: &mut R,
) -> (Target, Reason) {
    let open = |i: usize| considered[i].exclusion.is_none();
    if req.hops > 0 {
        return (Target::Own, Reason::HopLimit);
    }
    let planned = draw(candidates, rng).unwrap_or(own);
    if req.long
        && candidates[planned].draining
        && let (Target::Zone(zone), _) = spill(own, candidates, considered)
    {
        return (Target::Zone(zone), Reason::LongRequestAvoidsDrain);
    }
    if planned == own && open(own) {
        return (Target::Own, Reason::OwnZone);
    }
    if planned != own && open(planned) {
        return (
            Target::Zone(candidates[planned].zone.clone()),
            Reason::Planned,
        );
    }
    if open(own) {
        return (Target::Own, Reason::OwnZone);
    }
    spill(own, candidates, considered)
}

/// Returns the best zone for what finds no room where it was planned.
fn spill(own: usize, candidates: &[Candidate], considered: &[ConsideredZone]) -> (Target, Reason) {
    let region = &candidates[own].region;
    let best = |same: bool| {
        (0..candidates.len())
            .filter(|&i| i != own && (candidates[i].region == *region) == same)
            .filter(|&i| considered[i].exclusion.is_none() && !candidates[i].draining)
            .min_by_key(|&i| (candidates[i].delay, std::cmp::Reverse(candidates[i].free)))
    };
    if let Some(i) = best(true) {
        return (
            Target::Zone(candidates[i].zone.clone()),
            Reason::SpillRegion,
        );
    }
    if let Some(i) = best(false) {
        return (Target::Zone(candidates[i].zone.clone()), Reason::SpillLink);
    }
    let link = considered
        .iter()
        .any(|c| c.exclusion == Some(Exclusion::Link));
    match link {
        true => (Target::Nowhere, Reason::NoLink),
        false => (Target::Nowhere, Reason::NoFreeSlots),
    }
}

/// Draws a zone by the plan's weights.
fn draw<R: Rng>(candidates: &[Candidate], rng: &mut R) -> Option<usize> {
    let weight = |c: &Candidate| match c.drained || !c.reachable {
        true => 0,
        false => u32::from(c.weight),
    };
    let total: u32 = candidates.iter().map(weight).sum();
    if total == 0 {
        return None;
    }
    let mut point = rng.random_range(0..total);
    for (i, c) in candidates.iter().enumerate() {
        match point.checked_sub(weight(c)) {
            Some(left) => point = left,
            None => return Some(i),
        }
    }
    None
}

fn consider(c: &Candidate, own: bool, req: Request) -> ConsideredZone {
    ConsideredZone {
        zone: c.zone.clone(),
        weight: c.weight,
        free: c.free,
        age: c.age,
        headroom: c.headroom,
        exclusion: exclusion(c, own, req),
    }
}

fn exclusion(c: &Candidate, own: bool, req: Request) -> Option<Exclusion> {
    if c.drained {
        return Some(Exclusion::Drained);
    }
    if !c.reachable {
        return Some(Exclusion::Unreachable);
    }
    if own {
        return (c.free == 0).then_some(Exclusion::Full);
    }
    if c.age > VIEW_MAX_AGE {
        return Some(Exclusion::Stale);
    }
    if c.spilled >= spill_bound(c) {
        return Some(Exclusion::Full);
    }
    c.headroom
        .is_some_and(|left| left < req.bytes)
        .then_some(Exclusion::Link)
}

/// Returns how many requests this gateway may have running in a zone at once:
/// what ran when the zone reported, and its part of the slots that were free
/// then, at least one while any was.
fn spill_bound(c: &Candidate) -> u32 {
    let share = (c.free / c.senders.max(1)).max(c.free.min(1));
    c.spilled_then + share
}
