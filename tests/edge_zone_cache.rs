//! A zone with few upstreams and more objects than they can cache, all with large answers. If such a
//! zone loaded every object for its own callers, the objects would evict one another and most
//! answers would be late.

use std::time::Duration;

use cardamomroad::{
    edge::{
        model::{
            Registration,
            Standing, //
        },
        upstreams::{
            RunEnd,
            TryEnd,
            Upstreams,
            key_of,
            zone_hash, //
        },
        zone_cache::keeps_object,
    },
    util::id::{
        ServiceName,
        ZoneName, //
    },
};
use tokio::time::Instant;

const CACHED: Duration = Duration::from_millis(300);
const UNCACHED: Duration = Duration::from_millis(1000);
const ROUTE: u64 = 1;
const OBJECTS: u64 = 46;
/// Objects that an upstream keeps cached.
const CAPACITY: usize = 28;

/// Returns how many of the objects a zone with `upstreams` upstreams keeps for its own callers, if
/// half of all objects prefer the zone. `positions` are those of the measured requests.
fn kept(upstreams: u16, positions: &[usize]) -> usize {
    let now = Instant::now();
    let service: ServiceName = "answers".parse().expect("service");
    let zone: ZoneName = "nam-a".parse().expect("zone");
    let mut known = Upstreams::default();
    for n in 0..upstreams {
        let entry = Registration {
            id: format!("nam-a-{n}").parse().expect("id"),
            service: service.clone(),
            address: ([127, 0, 0, 1], 9000 + n).into(),
            zone: zone.clone(),
            slots: 4,
            standing: Standing::Ready,
            cold_for: Duration::ZERO,
            born: Some(1),
        };
        known.register(now, entry, None);
    }
    let ids = known.ids();
    let measured = positions.iter().map(|p| Some(*p)).chain([None]);
    for list_index in measured {
        let is_cached = list_index.is_some_and(|p| p < CAPACITY);
        let end = RunEnd {
            key: key_of(&ids[0]),
            route: Some(ROUTE),
            list_index,
            end: TryEnd::Whole,
            held: if is_cached { CACHED } else { UNCACHED },
            load: None,
        };
        known.record_run_end(now, &end, true);
    }
    for object in 0..OBJECTS {
        let id = &ids[object as usize % ids.len()];
        known.record_grant(now, key_of(id), Some(object), None);
    }
    let pool = known.pool(&service).expect("pool");
    let is_kept = |object: &u64| keeps_object(pool, zone_hash(&zone), ROUTE, *object, 0.5, now);
    (0..OBJECTS).filter(is_kept).count()
}

/// The objects that the upstream has cached stay, and few others are loaded.
#[test]
fn a_single_upstream_keeps_what_it_has_room_for() {
    let positions: Vec<usize> = (0..OBJECTS as usize).collect();
    let kept = kept(1, &positions);
    assert!((CAPACITY - 4..=CAPACITY + 8).contains(&kept), "{kept}");
}

#[test]
fn a_zone_with_room_keeps_all_objects() {
    let positions: Vec<usize> = (0..OBJECTS as usize).collect();
    assert_eq!(kept(4, &positions), OBJECTS as usize);
}

/// Without a request for an object that was evicted, nothing shows that the cache is too small.
#[test]
fn without_evidence_of_a_small_cache_all_objects_are_kept() {
    assert_eq!(kept(1, &[0, 1, 2, 20]), OBJECTS as usize);
}
