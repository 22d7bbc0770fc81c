//! Where traffic should be served: near, within capacity, under the links' caps.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    planner::{
        room::{
            Load,
            Room, //
        },
        view::{
            Demand,
            Place,
            Standing,
            View, //
        },
    },
    util::id::{
        RegionName,
        ZoneName, //
    },
};

/// The parts of one demand by serving zone; they add up to 1.
pub type Split = SmallVec<[(ZoneName, f64); 4]>;

/// The target of one demand.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The parts by serving zone.
    pub split: Split,
    /// Whether some of it finds no room anywhere; it stays with the own zone.
    pub short: bool,
}

/// Returns the target of each demand of the region.
///
/// Zones are filled nearest first: all own zones, then the other zones of the
/// region, then other regions as far as their spare slots and the links go.
/// `room` is what is left beside the traffic that is in its place already.
pub fn targets(
    region: &RegionName,
    view: &View,
    own: &[(&Place, &Demand)],
    present: &BTreeMap<Place, Split>,
    room: Room,
) -> BTreeMap<Place, Target> {
    let mut room = without_own(region, view, own, present, room);
    let mut splits: BTreeMap<Place, (Split, f64)> = BTreeMap::new();
    for (place, _) in own {
        splits.insert((*place).clone(), (Split::new(), 1.0));
    }
    let ranks = view.zones.len();
    for rank in 0..ranks {
        for (place, demand) in own {
            let servers = view.servers(&place.0, &place.1);
            let Some(zone) = servers.get(rank) else {
                continue;
            };
            if let Some((split, rest)) = splits.get_mut(*place) {
                fill(view, place, demand, zone, &mut room, split, rest);
            }
        }
    }
    splits
        .into_iter()
        .map(|(place, (split, rest))| {
            let target = finish(view, &place, split, rest);
            (place, target)
        })
        .collect()
}

/// Returns the room that there would be if nothing of the region were served.
///
/// In the region's own zones that is all but what other regions send there; in
/// others it is a claim on what is left and what the region has there already.
fn without_own(
    region: &RegionName,
    view: &View,
    own: &[(&Place, &Demand)],
    present: &BTreeMap<Place, Split>,
    mut room: Room,
) -> Room {
    for (place, demand) in own {
        let default = Split::from_iter([(place.0.clone(), 1.0)]);
        for (zone, part) in present.get(*place).unwrap_or(&default) {
            let to = (zone.clone(), place.1.clone());
            room.give(view, &place.0, &to, Load::part(demand, *part));
        }
    }
    room.bounded(view, region)
}

fn fill(
    view: &View,
    place: &Place,
    demand: &Demand,
    zone: &ZoneName,
    room: &mut Room,
    split: &mut Split,
    rest: &mut f64,
) {
    let to = (zone.clone(), place.1.clone());
    if view.capacities[&to].standing != Standing::Open || *rest <= 0.0 {
        return;
    }
    let by_slots = room.slots(&to) / demand.slots.max(f64::MIN_POSITIVE);
    let by_link = room.link_part(view, &place.0, zone, demand);
    let part = by_slots.min(by_link).min(*rest);
    if part <= 0.0 {
        return;
    }
    room.take(view, &place.0, &to, Load::part(demand, part));
    split.push((zone.clone(), part));
    *rest -= part;
}

/// Leaves what found no room with the nearest open zone.
fn finish(view: &View, place: &Place, mut split: Split, rest: f64) -> Target {
    if rest <= 0.0 {
        return Target {
            split,
            short: false,
        };
    }
    let open = |z: &&ZoneName| {
        view.capacities[&((*z).clone(), place.1.clone())].standing == Standing::Open
    };
    let nearest = view.servers(&place.0, &place.1).into_iter().find(open);
    let nearest = nearest.unwrap_or(&place.0).clone();
    match split.iter_mut().find(|(z, _)| *z == nearest) {
        Some((_, part)) => *part += rest,
        None => split.push((nearest, rest)),
    }
    Target { split, short: true }
}
