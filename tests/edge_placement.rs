//! Placement under sustained overload by objects that are cached on few upstreams.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use cardamomroad::{
    edge::{
        datagram::RunId,
        dialect::LoadReport,
        message::AttemptEnded,
        model::{
            Registration,
            Standing, //
        },
        object_recency::{
            RECENT_OBJECTS_MAX,
            RecentObjects, //
        },
        placement::{
            Pick,
            PlacementRequest,
            View,
            pick, //
        },
        upstreams::{
            RunEnd,
            TryEnd,
            UpstreamKey,
            Upstreams,
            key_of,
            zone_hash, //
        },
    },
    util::id::{
        RegionName,
        ServiceName,
        ZoneName, //
    },
};
use tokio::time::Instant;

const CACHED_WORK: Duration = Duration::from_millis(150);
const UNCACHED_WORK: Duration = Duration::from_millis(500);
const SLOTS: u32 = 4;
const ROUTE: u64 = 1;

struct World {
    now: Instant,
    upstreams: Upstreams,
    regions: BTreeMap<ZoneName, RegionName>,
    evacuated: BTreeSet<ZoneName>,
}

fn service() -> ServiceName {
    "dispatch".parse().expect("service")
}

fn zone(name: &str) -> ZoneName {
    name.parse().expect("zone")
}

fn region(name: &str) -> RegionName {
    name.parse().expect("region")
}

impl World {
    /// Creates two zones of one region and one zone of another, with three upstreams each.
    fn new() -> Self {
        let now = Instant::now();
        let mut upstreams = Upstreams::default();
        for (place, name) in ["north-a", "north-b", "south-a"].iter().enumerate() {
            for n in 0..3 {
                let entry = registration(&format!("{name}-{n}"), name, (place * 10 + n) as u16);
                upstreams.register(now, entry, None);
            }
        }
        let regions = [
            ("north-a", "north"),
            ("north-b", "north"),
            ("south-a", "south"),
        ];
        Self {
            now,
            upstreams,
            regions: regions.iter().map(|(z, r)| (zone(z), region(r))).collect(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Creates a world in which the work of cached and uncached objects has been measured.
    fn measured() -> Self {
        let mut world = Self::new();
        for list_index in [None, Some(0)] {
            let held = list_index.map_or(UNCACHED_WORK, |_| CACHED_WORK);
            world.answer("north-a-0", list_index, held);
            world.answer("north-a-0", list_index, held);
        }
        for id in world.upstreams.ids() {
            for object in 1000..1010 {
                world.handle(key_of(&id), object);
            }
        }
        world.now += Duration::from_secs(60);
        world
    }

    fn answer(&mut self, id: &str, list_index: Option<usize>, held: Duration) {
        let ended = AttemptEnded {
            run: RunId(0),
            service: service(),
            key: key(id),
            route: ROUTE,
            list_index,
            end: TryEnd::Whole,
            held,
            load: None,
            answered: None,
            answer_bytes: None,
        };
        self.upstreams.record_end(self.now, &ended, |_| true);
    }

    /// Records that another host sends a request for an object to an upstream.
    fn handle(&mut self, upstream: UpstreamKey, object: u64) {
        self.upstreams
            .record_grant(self.now, upstream, Some(object), None);
    }

    fn pick(&self, object: u64, late: bool) -> Option<UpstreamKey> {
        self.pick_in("north", object, late, View::Scheduler)
    }

    /// Picks an upstream of the region `wished` for a host of `north-a`.
    fn pick_in(&self, wished: &str, object: u64, late: bool, view: View) -> Option<UpstreamKey> {
        let zones = self.regions.iter().filter(|(_, r)| **r == region(wished));
        let zones = zones.map(|(zone, _)| zone);
        let open = zones.filter(|z| !self.evacuated.contains(*z));
        let zones: Vec<u64> = open.map(zone_hash).collect();
        let wish = PlacementRequest {
            object,
            route: ROUTE,
            bytes: 0,
            zones: &zones,
            excluded: &[],
            late,
            view,
        };
        let pool = self.upstreams.pool(&service()).expect("pool");
        upstream(pick(pool, zone_hash(&zone("north-a")), &wish, self.now))
    }

    /// Adds `running` requests of other hosts to an upstream.
    fn load(&mut self, upstream: UpstreamKey, running: i64) {
        self.upstreams.change_remote_running(&[(upstream, running)]);
    }

    fn fill(&mut self, upstream: UpstreamKey) {
        self.load(upstream, i64::from(SLOTS));
    }
}

fn upstream(pick: Pick) -> Option<UpstreamKey> {
    match pick {
        Pick::Upstream(key) => Some(key),
        Pick::Wait(_) => None,
    }
}

fn registration(id: &str, zone_name: &str, port: u16) -> Registration {
    Registration {
        id: id.parse().expect("id"),
        service: service(),
        address: ([127, 0, 0, 1], 9000 + port).into(),
        zone: zone(zone_name),
        slots: SLOTS,
        standing: Standing::Ready,
        cold_for: Duration::ZERO,
        born: Some(1),
    }
}

fn key(id: &str) -> UpstreamKey {
    key_of(&id.parse().expect("id"))
}

#[test]
fn an_object_goes_to_the_upstream_that_knows_it() {
    let mut world = World::measured();
    for id in ["north-a-0", "north-a-1", "north-a-2"] {
        world.handle(key(id), 77);
        assert_eq!(world.pick(77, false), Some(key(id)), "{id} handled it last");
        let forget = World::measured();
        world = forget;
    }
}

#[test]
fn a_request_waits_for_a_busy_upstream_that_knows_its_object() {
    let mut world = World::measured();
    let cached_on = key("north-a-1");
    world.handle(cached_on, 77);
    world.fill(cached_on);
    assert_eq!(
        world.pick(77, false),
        None,
        "an upstream without the object is free"
    );
    let late = world.pick(77, true);
    assert!(
        late.is_some_and(|k| k != cached_on),
        "one that waited too long takes any home"
    );
}

/// An uncached object holds a slot for longer and evicts a cached one. Under sustained load, that
/// costs other requests more than the value of an answer that is late anyway.
#[test]
fn a_late_request_for_a_known_object_takes_no_slot_where_it_is_strange() {
    let mut world = World::measured();
    let cached_on = key("north-a-1");
    world.handle(cached_on, 77);
    for id in world.upstreams.ids() {
        world.load(key_of(&id), i64::from(SLOTS) - 1);
    }
    world.load(cached_on, 1);
    assert_eq!(world.pick(77, true), None, "other upstreams have a slot");
    world.load(cached_on, -1);
    assert_eq!(world.pick(77, true), Some(cached_on));
}

/// An object that no upstream has cached must be handled by one, or it would never be cached.
#[test]
fn a_late_request_for_a_strange_object_goes_to_its_first_home() {
    for object in 0..50 {
        let mut world = World::measured();
        for id in world.upstreams.ids() {
            world.load(key_of(&id), i64::from(SLOTS) - 1);
        }
        let home = world.pick(object, true).expect("a free slot");
        world.load(home, 1);
        assert_eq!(world.pick(object, true), None, "object {object}");
    }
}

#[test]
fn a_slow_upstream_loses_its_objects() {
    let mut world = World::measured();
    let slow = key("north-a-1");
    world.handle(slow, 77);
    for _ in 0..12 {
        let end = RunEnd {
            key: slow,
            route: Some(ROUTE),
            list_index: Some(0),
            end: TryEnd::Whole,
            held: CACHED_WORK * 6,
            load: None,
        };
        world.upstreams.record_run_end(world.now, &end, true);
    }
    assert!(world.pick(77, false).is_some_and(|k| k != slow));
}

#[test]
fn full_upstreams_get_nothing() {
    let mut world = World::measured();
    for id in world.upstreams.ids() {
        world.fill(key_of(&id));
    }
    for object in 0..50 {
        assert_eq!(world.pick(object, true), None);
    }
}

#[test]
fn an_evacuated_zone_gets_nothing() {
    let mut world = World::measured();
    world.evacuated.insert(zone("north-a"));
    let own = ["north-a-0", "north-a-1", "north-a-2"].map(key);
    for object in 0..50 {
        let picked = world.pick(object, true).expect("the other zone is free");
        assert!(!own.contains(&picked));
    }
}

#[test]
fn a_draining_upstream_gets_nothing() {
    let mut world = World::measured();
    for id in [
        "north-a-0",
        "north-a-1",
        "north-a-2",
        "north-b-0",
        "north-b-1",
    ] {
        let mut entry = registration(id, &id[..7], 1);
        entry.standing = Standing::Draining;
        world.upstreams.register(world.now, entry, None);
    }
    for object in 0..50 {
        assert_eq!(world.pick(object, true), Some(key("north-b-2")));
    }
}

/// Hosts of other regions do not learn what runs there, and must compute the same home.
#[test]
fn hosts_of_other_regions_go_to_the_home_that_is_filled_first() {
    for object in 0..100 {
        let world = World::measured();
        let inside = world.pick_in("south", object, false, View::Scheduler);
        let outside = world.pick_in("south", object, false, View::Far);
        assert_eq!(outside, inside);
    }
}

/// The free slots there are mostly unknown, and a wrong guess evicts cached objects.
#[test]
fn requests_to_another_region_go_to_the_first_home_alone() {
    for object in 0..100 {
        let mut world = World::measured();
        let home = world.pick_in("south", object, false, View::Far);
        let home = home.expect("all are free");
        world.fill(home);
        for late in [false, true] {
            assert_eq!(
                world.pick_in("south", object, late, View::Far),
                None,
                "object {object}"
            );
        }
    }
}

/// Without a scheduler, the hosts of a cold upstream's zone share its rate, and other hosts send
/// nothing.
#[test]
fn a_cold_upstream_gets_no_more_than_it_bears() {
    const COLD_RATE: f64 = 7.0;
    let mut world = World::new();
    for id in world.upstreams.ids() {
        let mut entry = registration(id.as_str(), &id.as_str()[..7], 1);
        entry.cold_for = Duration::from_secs(3);
        world.upstreams.register(world.now, entry, None);
    }
    let mut sent: HashMap<UpstreamKey, usize> = HashMap::new();
    let end = world.now + Duration::from_secs(1);
    while world.now < end {
        for object in 0..20 {
            let picked = world.pick_in("north", object, true, View::Near);
            let Some(picked) = picked else {
                continue;
            };
            let cold = Some((COLD_RATE, 2));
            world
                .upstreams
                .record_start(world.now, &service(), picked, Some(object), cold);
            world.upstreams.record_end(
                world.now,
                &AttemptEnded {
                    run: RunId(0),
                    service: service(),
                    key: picked,
                    route: ROUTE,
                    list_index: None,
                    end: TryEnd::Abandoned,
                    held: Duration::ZERO,
                    load: None,
                    answered: None,
                    answer_bytes: None,
                },
                |_| true,
            );
            *sent.entry(picked).or_default() += 1;
        }
        world.now += Duration::from_millis(5);
    }
    assert!(!sent.is_empty());
    for (upstream, sent) in sent {
        // Two hosts share the zone, and a window may contain one request more than the rate
        // permits.
        let most = (COLD_RATE / 2.0) as usize + 1;
        assert!(sent <= most, "{sent} of {most} to {upstream}");
    }
}

/// Under steady load, each object is handled by few upstreams only.
#[test]
fn objects_stay_with_few_upstreams() {
    let mut world = World::measured();
    let mut users: HashMap<u64, BTreeSet<UpstreamKey>> = HashMap::new();
    for turn in 0..2000_u64 {
        let object = turn * 7 % 40;
        let picked = world.pick(object, false).expect("free slots");
        let list_index =
            world
                .upstreams
                .record_start(world.now, &service(), picked, Some(object), None);
        users.entry(object).or_default().insert(picked);
        let held = list_index.map_or(UNCACHED_WORK, |_| CACHED_WORK);
        let ended = AttemptEnded {
            run: RunId(0),
            service: service(),
            key: picked,
            route: ROUTE,
            list_index,
            end: TryEnd::Whole,
            held,
            load: None,
            answered: None,
            answer_bytes: None,
        };
        world.upstreams.record_end(world.now, &ended, |_| true);
        world.now += Duration::from_millis(10);
    }
    for (object, users) in users {
        assert!(
            users.len() <= 3,
            "object {object} was handled by {} upstreams",
            users.len()
        );
    }
}

/// Compares the positions of objects with a simple model list.
#[test]
fn recent_objects_are_kept_in_the_order_of_their_last_use() {
    let mut recent = RecentObjects::default();
    let mut plain: Vec<u64> = Vec::new();
    for n in 0..2000_u64 {
        let object = n * n % 173;
        recent.touch(object);
        plain.retain(|&o| o != object);
        plain.insert(0, object);
        plain.truncate(RECENT_OBJECTS_MAX);
        for (list_index, object) in plain.iter().enumerate() {
            assert_eq!(recent.list_index(*object), Some(list_index), "after {n}");
        }
        assert_eq!(recent.len(), plain.len());
    }
}

/// All upstreams shed half of their requests regardless of their free slots. An upstream that sheds
/// but reports free slots must not count as full, or its objects would go to upstreams that do not
/// have them cached.
#[test]
fn an_upstream_that_sheds_with_slots_to_spare_keeps_its_objects() {
    let shed = |running| {
        let mut world = World::measured();
        let cached_on = key("north-a-1");
        world.handle(cached_on, 77);
        let end = RunEnd {
            key: cached_on,
            route: Some(ROUTE),
            list_index: Some(0),
            end: TryEnd::Shed,
            held: Duration::ZERO,
            load: Some(LoadReport {
                running,
                waiting: 0,
                pace: None,
            }),
        };
        world.upstreams.record_run_end(world.now, &end, true);
        world.pick(77, true)
    };
    assert_eq!(shed(1), Some(key("north-a-1")));
    assert_ne!(shed(SLOTS), Some(key("north-a-1")));
}
