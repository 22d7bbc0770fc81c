//! Distribution of requests over regions, if one region has a sixth of the slots that its callers
//! need, and if an organisation that is bound to one small region needs all of its slots.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use cardamomroad::{
    edge::region_balance::{
        RateLimitedShares,
        RegionLoad,
        Shares,
        assumed_demand,
        local_utilisation_limit,
        position,
        position_of_returning,
        shares, //
    },
    retry::RateMeter,
    util::id::RegionName,
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::Instant;

/// Configured bound: the fraction of a region's requests that may change region in a window.
const MOVED_MAX: f64 = 0.15;
const WINDOW: Duration = Duration::from_secs(2);
/// Utilisation up to which a region serves its own callers.
const LOCAL_UTILISATION: f64 = 0.5;

fn region(name: &str) -> RegionName {
    name.parse().expect("region")
}

fn loads(of: &[(&str, f64, f64)]) -> BTreeMap<RegionName, RegionLoad> {
    let load = |&(name, slots, demand)| {
        let bound = 0.0;
        let load = RegionLoad {
            slots,
            demand,
            bound,
        };
        (region(name), load)
    };
    of.iter().map(load).collect()
}

fn bind(loads: &mut BTreeMap<RegionName, RegionLoad>, name: &str, bound: f64) {
    loads.get_mut(&region(name)).expect("region").bound = bound;
}

/// Returns the resulting utilisation of each region.
fn utilisations(loads: &BTreeMap<RegionName, RegionLoad>) -> Vec<f64> {
    let mut load_by_region: BTreeMap<&RegionName, f64> = BTreeMap::new();
    for (home, load) in loads {
        for (to, share) in shares(home, loads, LOCAL_UTILISATION) {
            let (to, _) = loads.get_key_value(&to).expect("known region");
            *load_by_region.entry(to).or_default() += share * load.demand;
        }
    }
    loads
        .iter()
        .map(|(r, l)| load_by_region[r] / l.slots)
        .collect()
}

#[test]
fn under_overload_all_regions_are_loaded_alike() {
    let loads = loads(&[
        ("north", 48.0, 52.0),
        ("middle", 56.0, 52.0),
        ("south", 8.0, 52.0),
    ]);
    let utilisations = utilisations(&loads);
    let mean = 156.0 / 112.0;
    for utilisation in utilisations {
        assert!(
            (utilisation - mean).abs() < 0.01,
            "{utilisation} against {mean}"
        );
    }
}

#[test]
fn work_that_may_run_elsewhere_leaves_a_region_to_what_may_not() {
    let mut loads = loads(&[
        ("north", 48.0, 20.0),
        ("middle", 24.0, 20.0),
        ("south", 48.0, 20.0),
    ]);
    bind(&mut loads, "middle", 100.0);
    let middle = shares(&region("middle"), &loads, LOCAL_UTILISATION);
    let kept = middle.get(&region("middle")).copied().unwrap_or(0.0);
    assert!(kept < 0.01, "{middle:?}");
    for home in ["north", "south"] {
        let shares = shares(&region(home), &loads, LOCAL_UTILISATION);
        assert!(!shares.contains_key(&region("middle")), "{shares:?}");
    }
}

#[test]
fn work_that_is_bound_to_a_region_counts_among_its_load() {
    let mut loads = loads(&[("north", 40.0, 30.0), ("middle", 24.0, 30.0)]);
    bind(&mut loads, "middle", 12.0);
    let middle = shares(&region("middle"), &loads, LOCAL_UTILISATION);
    // 64 slots for 72 requests: `middle` has room for 27, and 12 of those are bound.
    let kept = middle[&region("middle")] * 30.0;
    assert!(
        (kept - (24.0 * 72.0 / 64.0 - 12.0)).abs() < 0.01,
        "{middle:?}"
    );
}

/// A round trip delays each answer; waiting in the queue at home may take less time.
#[test]
fn the_longer_the_way_the_fuller_is_a_region_before_it_sends_work_away() {
    let latency_target = Duration::from_millis(400);
    let kept = [0, 40, 70, 110, 400]
        .map(|ms| local_utilisation_limit(Duration::from_millis(ms), latency_target));
    assert!(kept.is_sorted(), "{kept:?}");
    assert!(kept[0] < 0.6 && kept[4] < 1.0, "{kept:?}");
    let loads = loads(&[("north", 48.0, 10.0), ("south", 48.0, 40.0)]);
    let stay = kept.map(|local_max| shares(&region("south"), &loads, local_max)[&region("south")]);
    assert!(
        stay.is_sorted() && stay[0] < 0.7 && stay[4] > 0.99,
        "{stay:?}"
    );
}

#[test]
fn with_room_to_spare_a_region_serves_its_own_callers() {
    let loads = loads(&[("north", 48.0, 20.0), ("south", 48.0, 23.0)]);
    assert_eq!(
        shares(&region("south"), &loads, LOCAL_UTILISATION),
        Shares::from([(region("south"), 1.0)])
    );
}

/// At home, its requests would wait for the few upstreams that have their objects cached.
#[test]
fn a_region_that_is_half_full_sends_its_overflow_to_emptier_ones() {
    let loads = loads(&[("north", 48.0, 10.0), ("south", 48.0, 40.0)]);
    let shares = shares(&region("south"), &loads, LOCAL_UTILISATION);
    let kept = shares[&region("south")] * 40.0;
    assert!((24.0..=26.0).contains(&kept), "{shares:?}");
}

#[test]
fn a_region_without_slots_sends_all_away() {
    let loads = loads(&[("north", 48.0, 20.0), ("south", 0.0, 10.0)]);
    let shares = shares(&region("south"), &loads, LOCAL_UTILISATION);
    assert!(shares[&region("north")] > 0.999, "{shares:?}");
}

#[test]
fn shares_add_up_to_one_whatever_the_loads() {
    for seed in 0..200_u32 {
        let number = |i: u32| f64::from((seed * 7919 + i * 104_729) % 100);
        let mut loads = loads(&[
            ("a", number(1), number(2)),
            ("b", number(3), number(4)),
            ("c", number(5), number(6)),
        ]);
        bind(&mut loads, "b", number(7));
        for home in loads.keys() {
            let shares = shares(home, &loads, LOCAL_UTILISATION);
            let sum: f64 = shares.values().sum();
            assert!((sum - 1.0).abs() < 1e-9, "{shares:?} for {loads:?}");
            assert!(shares.values().all(|p| *p >= -1e-9), "{shares:?}");
        }
    }
}

/// The region loses all its slots at once; its requests move no faster than permitted.
#[test]
fn shares_follow_a_jump_no_faster_than_allowed() {
    let t0 = Instant::now();
    let home = region("south");
    let mut slow = RateLimitedShares::new(&home, MOVED_MAX, WINDOW);
    slow.move_towards(t0, &Shares::from([(home.clone(), 1.0)]), true);
    let away = Shares::from([(region("north"), 1.0)]);
    let mut before = 1.0;
    for window in 1..=20_u32 {
        for step in 0..8 {
            slow.move_towards(
                t0 + WINDOW * (window - 1) + WINDOW / 8 * (step + 1),
                &away,
                true,
            );
        }
        let now = slow.shares().get(&home).copied().unwrap_or(0.0);
        assert!(
            before - now <= MOVED_MAX + 1e-9,
            "window {window}: {before} to {now}"
        );
        before = now;
    }
    assert!(before < 1e-9, "{before} is still at home");
}

/// The first upstream to register is in another region, and all others register before the first
/// request arrives.
#[test]
fn what_was_known_before_the_first_request_binds_nothing() {
    let t0 = Instant::now();
    let home = region("south");
    let mut slow = RateLimitedShares::new(&home, MOVED_MAX, WINDOW);
    slow.move_towards(t0, &Shares::from([(region("north"), 1.0)]), false);
    let target = Shares::from([(home.clone(), 0.5), (region("north"), 0.5)]);
    slow.move_towards(t0 + WINDOW / 8, &target, false);
    assert_eq!(*slow.shares(), target);
    slow.move_towards(t0 + WINDOW, &Shares::from([(home, 1.0)]), true);
    assert!(
        slow.shares()[&region("south")] <= 0.5 + MOVED_MAX,
        "{slow:?}"
    );
}

/// Callers of three zones begin to send a steady load at the same moment.
#[test]
fn demand_is_met_from_the_first_second_on() {
    let (slots, zones) = (112.0, 3);
    let interval = Duration::from_millis(25);
    // The requests of each zone need an equal share of the slots.
    let work = slots / zones as f64 * interval.as_secs_f64();
    let t0 = Instant::now();
    let mut meter = RateMeter::new(t0);
    for step in 0..800 {
        let now = t0 + interval * step;
        meter.record(now);
        let unseen = assumed_demand(slots, zones, Some(now - t0));
        let utilisation = (meter.rate_at(now) * work + unseen) * zones as f64 / slots;
        assert!(
            (0.95..=1.05).contains(&utilisation),
            "{utilisation} in step {step}"
        );
    }
}

#[test]
fn points_follow_the_shares() {
    let home = region("south");
    let mut slow = RateLimitedShares::new(&home, MOVED_MAX, WINDOW);
    let target = Shares::from([(home.clone(), 0.25), (region("north"), 0.75)]);
    slow.move_towards(Instant::now(), &target, false);
    let points = (0..1000).map(|i| f64::from(i) / 1000.0);
    let stay = points.filter(|p| slow.region_at(&home, *p) == home).count();
    assert_eq!(stay, 250);
}

/// Load: the smallest region refuses more requests than the others, and later mostly the refused
/// callers send requests. Guards against all of them being sent to that region again, which moves a
/// large part of the requests from one region to another within a moment.
#[test]
fn returning_callers_are_spread_over_the_regions_by_their_shares() {
    const SMALLEST_SHARE: f64 = 0.2;
    let mut rng = SmallRng::seed_from_u64(1);
    let objects = (0..20_000).map(|_| rng.random::<u64>());
    let refused: Vec<u64> = objects.filter(|o| position(*o) < SMALLEST_SHARE).collect();
    let again = refused
        .iter()
        .filter(|o| position_of_returning(**o) < SMALLEST_SHARE);
    let fraction = again.count() as f64 / refused.len() as f64;
    assert!(
        (fraction - SMALLEST_SHARE).abs() < 0.03,
        "{fraction} of the returning callers are sent to the region that refused them"
    );
}
