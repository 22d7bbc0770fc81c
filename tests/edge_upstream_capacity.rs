//! Placement among upstreams of one service that differ in speed or slow down under load.

#[path = "support/uneven_upstreams.rs"]
mod uneven_upstreams;

use std::time::Duration;

use cardamomroad::{
    edge::{
        concurrency_limit::ConcurrencyLimit,
        datagram::{
            Datagram,
            Finished,
            RunId,
            Sender, //
        },
        dialect::LoadReport,
        machine_pace::{
            MachinePace,
            PaceReport, //
        },
        upstreams::{
            RunEnd,
            TryEnd, //
        },
    },
    util::id::Incarnation,
};
use tokio::time::Instant;

use uneven_upstreams::{
    CACHED_WORK,
    Load,
    Moment,
    ROUTE,
    SLOTS,
    Simulation,
    UNCACHED_WORK,
    registration,
    service, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Load that keeps about three fifths of the slots of ten upstreams busy.
const LOAD: Load = Load {
    rate: 200,
    objects: 200,
    span: Duration::from_secs(30),
};

/// More requests than the slots of ten upstreams can serve.
const OVERLOAD: Load = Load {
    rate: 450,
    objects: 200,
    span: Duration::from_secs(10),
};

/// Even upstreams that do not report a pace, with a long tail of slow requests: every placement is
/// the one that was chosen before the capacity of upstreams was learned.
#[test]
fn even_upstreams_get_the_same_placements_as_before() {
    let mut simulation = Simulation::new(10, 7);
    simulation.run(LOAD, |_| 1.0);
    simulation.run(OVERLOAD, |_| 1.0);
    let upstreams: Vec<u8> = simulation.done.iter().map(|d| d.upstream as u8).collect();
    assert_eq!(
        (upstreams.len(), xxh3_64(&upstreams)),
        (10218, 4418243618674824602)
    );
}

/// Requests that are each for an object of its own, so that no upstream has a cached one.
const UNCACHED_LOAD: Load = Load {
    rate: 80,
    objects: u64::MAX,
    span: Duration::from_secs(20),
};

/// Time between the starts of two slow spells of a machine.
const SPELL_PERIOD: Duration = Duration::from_secs(4);
const SPELL: Duration = Duration::from_millis(600);

/// Machines that are 2.5 times slower for 600 ms at a time, 15 in 100 of them at any moment.
fn spells(moment: Moment) -> f64 {
    let shift = SPELL_PERIOD.mul_f64(moment.upstream as f64 * 0.37);
    let in_period = (moment.at + shift).as_secs_f64() % SPELL_PERIOD.as_secs_f64();
    if in_period < SPELL.as_secs_f64() {
        2.5
    } else {
        1.0
    }
}

fn percent(text: &str) -> PaceReport {
    PaceReport::parse(text).expect("valid pace")
}

/// Slow spells of machines. Without the reported pace, requests go on to a machine whose spell has
/// begun until some that started there have ended.
#[test]
fn fewer_requests_start_in_a_slow_spell_if_answers_report_it() {
    let run = |reports_pace| {
        let mut simulation = Simulation::new(10, 7);
        simulation.reports_pace = reports_pace;
        simulation.run(UNCACHED_LOAD, spells);
        let is_slow = |d: &&uneven_upstreams::Done| {
            let moment = Moment {
                upstream: d.upstream,
                at: d.placed,
                running: 1,
            };
            spells(moment) > 1.0
        };
        let slow = simulation.done.iter().filter(is_slow).count();
        (slow, simulation.mean_latency(Duration::ZERO))
    };
    let (unreported, reported) = (run(false), run(true));
    assert!(
        reported.0 * 4 < unreported.0 * 3,
        "{reported:?} {unreported:?}"
    );
    assert!(reported.1 < unreported.1, "{reported:?} {unreported:?}");
}

/// Runs during a slow spell whose end the host learns from later reports. Their times would count
/// as a slow upstream for seconds after the spell, and as a longer work of the object's position.
#[test]
fn a_slow_spell_is_not_learned_as_a_slow_upstream() {
    let mut simulation = Simulation::new(1, 7);
    let key = simulation.key(0);
    let mut end = |held: Duration, pace: &str, gap: Duration| {
        simulation.now += gap;
        let end = RunEnd {
            key,
            route: Some(ROUTE),
            list_index: Some(0),
            end: TryEnd::Whole,
            held,
            load: Some(LoadReport {
                running: 1,
                waiting: 0,
                pace: Some(percent(pace)),
            }),
        };
        simulation
            .upstreams
            .record_run_end(simulation.now, &end, true);
    };
    let gap = Duration::from_millis(50);
    for _ in 0..40 {
        end(CACHED_WORK, "100", gap);
    }
    // The spell begins halfway between two answers. A run is slow for its part in the spell only:
    // of each millisecond there, three fifths are lost.
    for n in 0..12 {
        let in_spell = gap.mul_f64(f64::from(n) + 0.5);
        let held = CACHED_WORK + in_spell.mul_f64(0.6);
        end(held.min(CACHED_WORK.mul_f64(2.5)), "250", gap);
    }
    end(CACHED_WORK.mul_f64(2.5) - gap / 2, "100", gap);
    let now = simulation.now;
    let pool = simulation.upstreams.pool(&service()).expect("pool");
    let slowness = pool.upstreams[0].slowness.factor(now);
    assert!((slowness - 1.0).abs() < 0.15, "{slowness}");
    let work = pool.work_of(ROUTE).expected_seconds(Some(0));
    let off = (work / CACHED_WORK.as_secs_f64() - 1.0).abs();
    assert!(off < 0.1, "{work}");
}

/// An upstream that is slow by itself on a machine with the usual pace is still learned as slow.
#[test]
fn the_slowness_that_the_pace_does_not_explain_is_learned() {
    let mut simulation = Simulation::new(4, 7);
    simulation.reports_pace = true;
    simulation.run(UNCACHED_LOAD, |_| 1.0);
    let now = simulation.now;
    let key = simulation.key(0);
    let end = |held| RunEnd {
        key,
        route: Some(ROUTE),
        list_index: None,
        end: TryEnd::Whole,
        held,
        load: Some(LoadReport {
            running: 1,
            waiting: 0,
            pace: Some(percent("100")),
        }),
    };
    for _ in 0..4 {
        simulation
            .upstreams
            .record_run_end(now, &end(UNCACHED_WORK * 4), true);
    }
    let pool = simulation.upstreams.pool(&service()).expect("pool");
    let u = pool.upstreams.iter().find(|u| u.key == key).expect("known");
    assert!(u.slowness.factor(now) > 1.5);
}

/// A spell of about 600 ms ends before a long request does, and nobody knows whether it goes on a
/// second after the last report.
#[test]
fn the_pace_counts_less_for_long_work_and_fades() {
    let now = Instant::now();
    let mut pace = MachinePace::default();
    assert_eq!(pace.expected_factor(now, 0.4), 1.0);
    pace.record(now, percent("250"));
    let (short, long) = (
        pace.expected_factor(now, 0.4),
        pace.expected_factor(now, 1.6),
    );
    assert!(short > 1.5 && short < 2.5, "{short}");
    assert!(long > 1.1 && long < 1.3, "{long}");
    let half = pace.expected_factor(now + Duration::from_millis(500), 0.4);
    assert!(half > 1.2 && half < short, "{half}");
    let later = now + Duration::from_secs(1);
    assert_eq!(pace.expected_factor(later, 0.4), 1.0);
    // A report that was made earlier but arrives later says nothing new.
    let mut pace = MachinePace::default();
    pace.record(now, percent("100"));
    pace.record(now, percent("250").aged(Duration::from_millis(300)));
    assert_eq!(pace.expected_factor(now, 0.4), 1.0);
}

/// A refusal reports the pace as well, and a new start of an upstream runs on the same machine.
#[test]
fn a_refusal_reports_the_pace_and_a_new_start_keeps_it() {
    let mut simulation = Simulation::new(1, 7);
    let (now, key) = (simulation.now, simulation.key(0));
    let end = RunEnd {
        key,
        route: Some(ROUTE),
        list_index: None,
        end: TryEnd::Shed,
        held: Duration::ZERO,
        load: Some(LoadReport {
            running: 1,
            waiting: 0,
            pace: Some(percent("250")),
        }),
    };
    simulation.upstreams.record_run_end(now, &end, true);
    simulation.upstreams.register(now, registration(0, 2), None);
    let u = simulation.upstreams.find(key).expect("known");
    assert_eq!(u.pace.percent(now), Some(250));
}

/// A bad fourth number must not be taken for a pace, and an extreme one has a bounded effect.
#[test]
fn invalid_paces_are_ignored_and_extreme_ones_clamped() {
    for text in ["0", "-5", "10001", "fast", "", "1e2", "inf", "NaN", "."] {
        assert_eq!(PaceReport::parse(text), None, "{text}");
    }
    for (text, percent) in [("1", 20), (" 137 ", 137), ("99.6", 100), ("10000", 1000)] {
        let report = PaceReport::parse(text).expect("valid pace");
        assert_eq!(report.percent(), percent, "{text}");
    }
}

/// Hosts of an older release drop messages that have more fields than they know. Without the
/// number, the end of an attempt is therefore encoded as before; with it, it arrives whole.
#[test]
fn messages_between_hosts_carry_the_pace_only_if_there_is_one() {
    let load = |pace| LoadReport {
        running: 3,
        waiting: 1,
        pace,
    };
    let plain = rmp_serde::to_vec(&load(None)).expect("encodes");
    assert_eq!(plain, rmp_serde::to_vec(&(3, 1)).expect("encodes"));
    let aged = percent("250").aged(Duration::from_millis(40));
    for pace in [None, Some(aged)] {
        let msg = Datagram::Finished(Finished {
            from: Sender {
                host: "north-a-1".parse().expect("host"),
                incarnation: Incarnation(7),
                sequence: 1,
            },
            run: RunId(9),
            upstream: 5,
            end: TryEnd::Whole,
            held_ms: 150,
            load: Some(load(pace)),
        });
        let bytes = rmp_serde::to_vec(&msg).expect("encodes");
        let read: Datagram = rmp_serde::from_slice(&bytes).expect("decodes");
        assert_eq!(read, msg);
    }
}

/// Records a request every 20 ms for `seconds`; `next` returns the number in flight and the relative
/// work of the n-th one under a limit. 3 in 100 take seven times as long.
fn learn(
    limit: &mut ConcurrencyLimit,
    now: &mut Instant,
    seconds: u64,
    next: impl Fn(u32, u32) -> (u32, f64),
) {
    for n in 0..seconds * 50 {
        *now += Duration::from_millis(20);
        limit.probe(*now);
        let (running, ratio) = next(n as u32, limit.limit(SLOTS));
        let tail = if n % 33 == 7 { 7.0 } else { 1.0 };
        limit.record(*now, CACHED_WORK, (running, SLOTS), ratio * tail);
    }
}

fn slow_above_half(running: u32) -> f64 {
    if running > SLOTS / 2 { 2.5 } else { 1.0 }
}

/// An upstream that slows down when more than half of its slots are taken, and that stops doing so.
/// Without the limit it gets all of its slots and answers fewer requests than with half of them.
#[test]
fn the_limit_falls_to_the_best_throughput_and_rises_when_the_upstream_recovers() {
    let (mut limit, mut now) = (ConcurrencyLimit::default(), Instant::now());
    learn(&mut limit, &mut now, 20, |n, limit| {
        let running = n % limit + 1;
        (running, slow_above_half(running))
    });
    assert_eq!(limit.limit(SLOTS), SLOTS / 2);
    learn(&mut limit, &mut now, 120, |n, limit| (n % limit + 1, 1.0));
    assert_eq!(limit.limit(SLOTS), SLOTS);
}

/// A sustained overload from the start: the upstream has never been seen at fewer requests.
#[test]
fn a_lower_limit_is_tried_on_an_upstream_that_is_slow_and_full() {
    let (mut limit, mut now) = (ConcurrencyLimit::default(), Instant::now());
    let overload = |_, limit| (limit, slow_above_half(limit));
    learn(&mut limit, &mut now, 30, overload);
    // A higher limit may be on trial at a single moment.
    let mut at_half = 0;
    for _ in 0..60 {
        learn(&mut limit, &mut now, 1, overload);
        at_half += u32::from(limit.limit(SLOTS) == SLOTS / 2);
    }
    assert!(at_half >= 45, "{at_half} of 60 s");
}

/// An upstream that is slow at any load, and one of the usual speed whose single requests have a
/// long tail, gain nothing from fewer requests. A limit would take capacity away.
#[test]
fn uneven_speeds_and_a_long_tail_lower_no_limit() {
    for speed in [1.0, 3.0] {
        let (mut limit, mut now) = (ConcurrencyLimit::default(), Instant::now());
        for _ in 0..120 {
            learn(&mut limit, &mut now, 1, |n, limit| (n % limit + 1, speed));
            assert_eq!(limit.limit(SLOTS), SLOTS, "speed {speed}");
        }
    }
}

/// An overloaded upstream that slows down above half of its slots. Its limit must reach placement,
/// and a new start of it must not inherit the limit.
#[test]
fn placement_keeps_to_the_limit_until_the_upstream_starts_again() {
    let mut simulation = Simulation::new(1, 7);
    let load = |rate, seconds| Load {
        rate,
        objects: 6,
        span: Duration::from_secs(seconds),
    };
    simulation.run(load(10, 5), |m| slow_above_half(m.running));
    simulation.run(load(24, 10), |m| slow_above_half(m.running));
    let key = simulation.key(0);
    let u = simulation.upstreams.find(key).expect("known");
    assert!(u.limit() < SLOTS);
    let (now, free) = (
        simulation.now,
        u.limit().saturating_sub(u.load(simulation.now)),
    );
    assert_eq!(u.free(now), free);
    let zone = u.zone_hash;
    let within = |s: &Simulation| {
        s.upstreams
            .pool(&service())
            .map(|p| p.slots_within_limits(zone))
    };
    assert_eq!(within(&simulation), Some(u.limit()));
    simulation.upstreams.register(now, registration(0, 2), None);
    let u = simulation.upstreams.find(key).expect("known");
    assert_eq!(u.limit(), SLOTS);
    assert_eq!(within(&simulation), Some(SLOTS));
}
