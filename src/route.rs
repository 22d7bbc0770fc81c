//! The choice of the zone that serves a request.
//!
//! A zone is drawn by the plan's weights; without a plan it is the own zone. If
//! that zone has no free slot, the own zone is tried. After that the request
//! spills, within limits, to another zone of the region, and then to another
//! region if the link has headroom.

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

/// The maximum number of gateways that a request passes through, including the first.
pub const HOPS_MAX: u8 = 3;
/// Zones whose report is older than this get no requests from other zones.
pub const VIEW_MAX_AGE: Duration = Duration::from_secs(5);

/// One zone that could serve the request, and what the gateway knows about it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The name of the zone.
    pub zone: ZoneName,
    /// The region of the zone.
    pub region: RegionName,
    /// The zone's weight in the plan, out of [`crate::plan::WEIGHT_SUM`].
    pub weight: u16,
    /// Free slots in the zone: exact for the own zone, reported for others.
    pub free: u32,
    /// The age of `free`.
    pub age: Duration,
    /// Requests from this gateway that are running in the zone.
    pub spilled: u32,
    /// The value of `spilled` when `free` was measured.
    pub spilled_at_report: u32,
    /// The number of gateways in the sending zone, which share the zone's free slots.
    pub sending_gateways: u32,
    /// The one-way delay to the zone.
    pub delay: Duration,
    /// The bytes that the link to the zone can still carry; `None` within the region.
    pub headroom: Option<ByteSize>,
    /// Whether the zone must get no more requests, because it has been drained or is leaving.
    pub drained: bool,
    /// Whether the zone is being drained and still gets the requests that the plan has
    /// not moved yet.
    pub draining: bool,
    /// Whether this gateway can reach the zone.
    pub reachable: bool,
}

/// The properties of a request that determine its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The number of gateways that forwarded the request before it arrived here.
    pub hops: u8,
    /// The bytes that the request is expected to send over a link.
    pub bytes: ByteSize,
    /// Whether the request is known to run for a long time, such as an upload.
    pub long_running: bool,
}

/// The zone chosen for a request, and the figures the choice is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Where to send the request.
    pub to: Target,
    /// Why this target was chosen.
    pub reason: Reason,
    /// The figures of every candidate zone, for `explain`.
    pub considered: SmallVec<[ConsideredZone; 4]>,
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// To upstreams of the own zone.
    OwnZone,
    /// To a gateway of another zone.
    Zone(ZoneName),
    /// No zone can serve the request.
    NoZone,
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The own zone has a free slot.
    OwnZone,
    /// The plan assigns this request to another zone.
    Planned,
    /// The request would run for a long time and delay the drain of the planned zone.
    LongRequestAvoidsDrain,
    /// The own zone has no free slot, but another zone of the region does.
    SpillRegion,
    /// The region has no free slot, but another region does and the link has headroom.
    SpillLink,
    /// The request was forwarded by another gateway, and so must be served in this zone.
    HopLimit,
    /// No zone has a free slot.
    NoFreeSlots,
    /// No zone is usable, and at least one is excluded for lack of link headroom.
    NoLinkHeadroom,
}

/// The figures on which a zone was accepted or excluded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsideredZone {
    /// The name of the zone.
    pub zone: ZoneName,
    /// The zone's weight in the plan, out of [`crate::plan::WEIGHT_SUM`].
    pub weight: u16,
    /// Free slots in the zone, as last reported.
    pub free: u32,
    /// The age of `free`.
    pub age: Duration,
    /// The bytes that the link to the zone can still carry; `None` within the region.
    pub headroom: Option<ByteSize>,
    /// Why the zone cannot serve the request; `None` if it can.
    pub exclusion: Option<Exclusion>,
}

/// Why a zone cannot serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It has been drained or is leaving.
    Drained,
    /// It cannot be reached.
    Unreachable,
    /// Its last report is too old.
    Stale,
    /// It has no free slot that this gateway may use.
    Full,
    /// The link to it lacks the headroom.
    Link,
}

/// Chooses the zone for a request. `own` is the index of the gateway's own zone in `candidates`.
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
        return (Target::OwnZone, Reason::HopLimit);
    }
    let planned = draw(candidates, rng).unwrap_or(own);
    if req.long_running
        && candidates[planned].draining
        && let (Target::Zone(zone), _) = spill(own, candidates, considered)
    {
        return (Target::Zone(zone), Reason::LongRequestAvoidsDrain);
    }
    if planned == own && open(own) {
        return (Target::OwnZone, Reason::OwnZone);
    }
    if planned != own && open(planned) {
        return (
            Target::Zone(candidates[planned].zone.clone()),
            Reason::Planned,
        );
    }
    if open(own) {
        return (Target::OwnZone, Reason::OwnZone);
    }
    spill(own, candidates, considered)
}

/// Returns the best other zone for a request that its planned zone should not or cannot serve.
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
        true => (Target::NoZone, Reason::NoLinkHeadroom),
        false => (Target::NoZone, Reason::NoFreeSlots),
    }
}

/// Draws a zone at random by the plan's weights; `None` if all usable zones have weight 0.
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

/// Returns how many requests this gateway may have running in another zone:
/// those running when the zone reported, plus the gateway's share of the slots
/// that were free at that time, at least one if any slot was free.
fn spill_bound(c: &Candidate) -> u32 {
    let share = (c.free / c.sending_gateways.max(1)).max(c.free.min(1));
    c.spilled_at_report + share
}
