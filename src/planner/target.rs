//! The target split of each demand: nearest zones first, within capacity and link caps.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::{
    planner::{
        headroom::{
            Headroom, //
            Load,
        },
        view::{
            Demand,
            ServingState,
            View, //
            ZoneService,
        },
    },
    util::id::{
        RegionName,
        ZoneName, //
    },
};

/// The fractions of one demand by serving zone; they add up to 1.
pub type Split = SmallVec<[(ZoneName, f64); 4]>;

/// The split that the planner moves one demand towards.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The fractions by serving zone.
    pub split: Split,
    /// Whether some of the demand fits nowhere; that rest goes to the nearest open zone.
    pub has_shortfall: bool,
}

/// Returns the target of each demand of the region.
///
/// Zones are filled nearest first: all own zones, then the other zones of the
/// region, then other regions as far as their free slots and the links allow.
/// `headroom` does not include the traffic that is already being served.
pub fn targets(
    region: &RegionName,
    view: &View,
    own: &[(&ZoneService, &Demand)],
    current: &BTreeMap<ZoneService, Split>,
    headroom: Headroom,
) -> BTreeMap<ZoneService, Target> {
    let mut headroom = without_own_traffic(region, view, own, current, headroom);
    let mut splits: BTreeMap<ZoneService, (Split, f64)> = BTreeMap::new();
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

/// Returns the headroom without the region's own traffic.
///
/// In the region's own zones this is the capacity less the traffic from other
/// regions. Elsewhere it is the claimed part of the free capacity plus what the
/// region's traffic already uses.
fn without_own_traffic(
    region: &RegionName,
    view: &View,
    own: &[(&ZoneService, &Demand)],
    current: &BTreeMap<ZoneService, Split>,
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
    zone_service: &ZoneService,
    demand: &Demand,
    zone: &ZoneName,
    headroom: &mut Headroom,
    split: &mut Split,
    remaining: &mut f64,
) {
    let to = (zone.clone(), zone_service.1.clone());
    if view.capacities[&to].state != ServingState::Open || *remaining <= 0.0 {
        return;
    }
    let slot_limit = headroom.slots(&to) / demand.slots.max(f64::MIN_POSITIVE);
    let link_limit = headroom.link_fraction(view, &zone_service.0, zone, demand);
    let fraction = slot_limit.min(link_limit).min(*remaining);
    if fraction <= 0.0 {
        return;
    }
    headroom.reserve(view, &zone_service.0, &to, Load::fraction(demand, fraction));
    split.push((zone.clone(), fraction));
    *remaining -= fraction;
}

/// Assigns the fraction that fits nowhere to the nearest open zone, or to the own zone if
/// none is open.
fn assign_remainder(
    view: &View,
    zone_service: &ZoneService,
    mut split: Split,
    remaining: f64,
) -> Target {
    if remaining <= 0.0 {
        return Target {
            split,
            has_shortfall: false,
        };
    }
    let open = |z: &&ZoneName| {
        view.capacities[&((*z).clone(), zone_service.1.clone())].state == ServingState::Open
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
