//! Where traffic should be served: near, within capacity, under the links' caps.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    planner::{
        room::{
            Headroom, //
            Load,
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
    pub has_shortfall: bool,
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
    current: &BTreeMap<Place, Split>,
    headroom: Headroom,
) -> BTreeMap<Place, Target> {
    let mut headroom = without_own_traffic(region, view, own, current, headroom);
    let mut splits: BTreeMap<Place, (Split, f64)> = BTreeMap::new();
    for (zone_service, _) in own {
        splits.insert((*zone_service).clone(), (Split::new(), 1.0));
    }
    let ranks = view.zones.len();
    for rank in 0..ranks {
        for (zone_service, demand) in own {
            let servers = view.servers(&zone_service.0, &zone_service.1);
            let Some(zone) = servers.get(rank) else {
                continue;
            };
            if let Some((split, remaining)) = splits.get_mut(*zone_service) {
                assign(
                    view,
                    zone_service,
                    demand,
                    zone,
                    &mut headroom,
                    split,
                    remaining,
                );
            }
        }
    }
    splits
        .into_iter()
        .map(|(zone_service, (split, remaining))| {
            let target = assign_remainder(view, &zone_service, split, remaining);
            (zone_service, target)
        })
        .collect()
}

/// Returns the room that there would be if nothing of the region were served.
///
/// In the region's own zones that is all but what other regions send there; in
/// others it is a claim on what is left and what the region has there already.
fn without_own_traffic(
    region: &RegionName,
    view: &View,
    own: &[(&Place, &Demand)],
    current: &BTreeMap<Place, Split>,
    mut headroom: Headroom,
) -> Headroom {
    for (zone_service, demand) in own {
        let default = Split::from_iter([(zone_service.0.clone(), 1.0)]);
        for (zone, fraction) in current.get(*zone_service).unwrap_or(&default) {
            let to = (zone.clone(), zone_service.1.clone());
            headroom.release(
                view,
                &zone_service.0,
                &to,
                Load::fraction(demand, *fraction),
            );
        }
    }
    headroom.bounded_by_capacity(view, region)
}

fn assign(
    view: &View,
    zone_service: &Place,
    demand: &Demand,
    zone: &ZoneName,
    headroom: &mut Headroom,
    split: &mut Split,
    remaining: &mut f64,
) {
    let to = (zone.clone(), zone_service.1.clone());
    if view.capacities[&to].standing != Standing::Open || *remaining <= 0.0 {
        return;
    }
    let by_slots = headroom.slots(&to) / demand.slots.max(f64::MIN_POSITIVE);
    let by_link = headroom.link_fraction(view, &zone_service.0, zone, demand);
    let fraction = by_slots.min(by_link).min(*remaining);
    if fraction <= 0.0 {
        return;
    }
    headroom.reserve(view, &zone_service.0, &to, Load::fraction(demand, fraction));
    split.push((zone.clone(), fraction));
    *remaining -= fraction;
}

/// Leaves what found no room with the nearest open zone.
fn assign_remainder(view: &View, zone_service: &Place, mut split: Split, remaining: f64) -> Target {
    if remaining <= 0.0 {
        return Target {
            split,
            has_shortfall: false,
        };
    }
    let open = |z: &&ZoneName| {
        view.capacities[&((*z).clone(), zone_service.1.clone())].standing == Standing::Open
    };
    let nearest = view
        .servers(&zone_service.0, &zone_service.1)
        .into_iter()
        .find(open);
    let nearest = nearest.unwrap_or(&zone_service.0).clone();
    match split.iter_mut().find(|(z, _)| *z == nearest) {
        Some((_, fraction)) => *fraction += remaining,
        None => split.push((nearest, remaining)),
    }
    Target {
        split,
        has_shortfall: true,
    }
}
