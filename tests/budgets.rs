//! The rate and burst of an organisation hold over all hosts together, under load
//! skew, message loss, pauses, restarts, partitions and configuration changes.

use std::time::Duration;

use cardamomroad::{
    bucket::Quota,
    util::id::Generation, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{
    Faults,
    Fleet,
    STEP,
    fleet_quota,
    member,
    poisson,
    zone, //
};

const QUOTA: Quota = Quota::new(100_000, 50_000);
/// Fewer than one in this many arrivals may be refused wrongfully, that is although
/// a single bucket for the whole fleet would have accepted it.
const ARRIVALS_PER_WRONGFUL_MIN: u64 = 10_000;
/// Arrivals a second at one host that always exceed its share.
const OVERLOAD_PER_SECOND: f64 = 40.0;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn settled(seed: u64, zones: usize, hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, zones, hosts, QUOTA);
    fleet.run(secs(12), |_, _| 0);
    fleet
}

fn assert_within(fleet: &Fleet) {
    let excess = fleet.excess(QUOTA.rate, fleet.start);
    assert!(excess <= QUOTA.burst, "excess {excess} over {:?}", QUOTA);
    assert!(!fleet.starts.is_empty());
}

fn assert_few_wrongful(fleet: &Fleet) {
    let Fleet {
        arrivals, wrongful, ..
    } = fleet;
    let mut wait_times = fleet.wait_times.clone();
    wait_times.sort();
    let at = |percent: usize| wait_times[wait_times.len() * percent / 100];
    println!(
        "arrivals={arrivals} wrongful={wrongful} messages={} held_p50={:?} p90={:?} p99={:?}",
        fleet.messages,
        at(50),
        at(90),
        at(99)
    );
    assert!(
        wrongful * ARRIVALS_PER_WRONGFUL_MIN < *arrivals,
        "{wrongful} of {arrivals}"
    );
}

#[test]
fn the_whole_is_shared_out_after_the_start() {
    let mut fleet = settled(1, 6, 2);
    assert_eq!(fleet.quota(), QUOTA);
}

#[test]
fn skew_to_one_host_is_served() {
    let mut fleet = settled(2, 6, 2);
    fleet.run(secs(120), |i, rng| match i {
        3 => poisson(rng, 80.0),
        _ => 0,
    });
    assert_few_wrongful(&fleet);
    assert_within(&fleet);
}

#[test]
fn a_static_split_refuses_what_loans_serve() {
    let mut fleet = settled(2, 6, 2);
    fleet.loans = false;
    fleet.run(secs(120), |i, rng| match i {
        3 => poisson(rng, 80.0),
        _ => 0,
    });
    println!("arrivals={} wrongful={}", fleet.arrivals, fleet.wrongful);
    assert!(fleet.wrongful * 2 > fleet.arrivals);
}

#[test]
fn skew_that_moves_between_zones_is_served() {
    let mut fleet = settled(3, 6, 2);
    for round in 0..10 {
        fleet.run(secs(15), |i, rng| match i / 2 == round % 6 {
            true => poisson(rng, 40.0),
            false => 0,
        });
    }
    assert_few_wrongful(&fleet);
    assert_within(&fleet);
}

#[test]
fn even_load_near_the_rate_is_served() {
    let mut fleet = settled(4, 6, 2);
    fleet.run(secs(120), |_, rng| poisson(rng, 90.0 / 12.0));
    assert_few_wrongful(&fleet);
    assert_within(&fleet);
}

#[test]
fn what_one_host_borrowed_the_lenders_do_not_spend() {
    for (seed, delay_permille) in [(16, 0), (17, 500)] {
        let mut fleet = settled(seed, 1, 4);
        fleet.faults = Faults {
            loss_permille: delay_permille / 5,
            repeat_permille: delay_permille,
            delay_permille,
        };
        for borrower in [0, 1, 2, 3, 0, 1] {
            fleet.run(secs(6), |i, rng| match i == borrower {
                true => poisson(rng, OVERLOAD_PER_SECOND * 4.0),
                false => 0,
            });
            fleet.run(secs(8), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
        }
        assert_within(&fleet);
    }
}

#[test]
fn without_contact_each_host_spends_its_own_share() {
    let mut fleet = settled(5, 6, 2);
    fleet.faults.loss_permille = 1000;
    fleet.store_up = false;
    let from = fleet.starts.len();
    fleet.run(secs(60), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
    assert_within(&fleet);
    // All hosts' own rates over the minute, less one request per host for rounding.
    let own = (QUOTA.rate / 1000) as usize * 60;
    assert!(fleet.starts.len() - from >= own - 12);
}

#[test]
fn a_pause_across_a_lapse_spends_nothing_that_lapsed() {
    for (seed, pause) in [(6, 5), (7, 8), (8, 25)] {
        let mut fleet = settled(seed, 1, 4);
        for borrower in 0..4 {
            // One host borrows from the others and pauses. Its loans expire and the
            // others' buckets refill; then it resumes and all hosts are under load.
            fleet.run(secs(6), |i, rng| match i == borrower {
                true => poisson(rng, OVERLOAD_PER_SECOND * 4.0),
                false => 0,
            });
            fleet.pause(borrower, secs(pause));
            fleet.run(secs(pause), |_, _| 0);
            fleet.run(STEP, |_, _| 60);
            fleet.run(secs(2), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
        }
        assert_within(&fleet);
    }
}

#[test]
fn a_loan_that_nobody_can_renew_is_spent_once() {
    let mut fleet = settled(18, 1, 4);
    for borrower in [0, 1, 2, 3] {
        fleet.faults.loss_permille = 0;
        fleet.run(secs(9), |i, rng| match i == borrower {
            true => poisson(rng, OVERLOAD_PER_SECOND * 4.0),
            false => 0,
        });
        // Every message is lost while lenders and borrower are under load.
        fleet.faults.loss_permille = 1000;
        fleet.run(secs(8), |_, rng| poisson(rng, OVERLOAD_PER_SECOND * 4.0));
    }
    assert_within(&fleet);
}

#[test]
fn a_host_that_wakes_after_its_share_moved_spends_nothing_of_it() {
    let mut fleet = settled(15, 1, 2);
    fleet.run(secs(5), |_, rng| poisson(rng, OVERLOAD_PER_SECOND * 3.0));
    fleet.pause(1, secs(60));
    fleet.unlisted.push(member(0, 1));
    fleet.run(secs(59), |_, rng| poisson(rng, OVERLOAD_PER_SECOND * 3.0));
    // The share has moved: after this silence the paused host has to revalidate
    // before it spends anything.
    assert_eq!(fleet.quota_of(0), QUOTA);
    fleet.run(secs(10), |_, rng| poisson(rng, OVERLOAD_PER_SECOND * 3.0));
    assert_within(&fleet);
}

#[test]
fn restart_loops_mint_nothing() {
    let mut fleet = settled(9, 3, 2);
    for round in 0..12 {
        fleet.run(secs(5), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
        // The lender restarts while its loans are running.
        fleet.restart(round % 3);
        fleet.run(secs(1), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
        fleet.restart(round % 3);
    }
    assert_within(&fleet);
}

#[test]
fn a_lender_that_restarts_does_not_spend_what_it_lent() {
    let mut fleet = settled(10, 1, 4);
    for _ in 0..5 {
        fleet.run(secs(9), |i, rng| match i {
            0 => poisson(rng, OVERLOAD_PER_SECOND * 4.0),
            _ => 0,
        });
        for lender in 1..4 {
            fleet.restart(lender);
        }
        fleet.run(secs(8), |_, rng| poisson(rng, OVERLOAD_PER_SECOND * 4.0));
    }
    assert_within(&fleet);
}

#[test]
fn a_cut_with_both_sides_loaded_and_its_heal_double_nothing() {
    let mut fleet = settled(11, 6, 2);
    for cut in [0, 3, 5] {
        fleet.run(secs(5), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
        fleet.cut_zone = Some(cut);
        let before = fleet.starts.len();
        fleet.run(secs(20), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
        // Both sides keep working: together they start what the quota allows, less
        // the loans that expired.
        assert!(fleet.starts.len() - before > 1500);
        fleet.cut_zone = None;
        fleet.run(secs(5), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
    }
    assert_within(&fleet);
}

#[test]
fn rate_lowered_host_added_and_host_removed_at_once() {
    let mut fleet = settled(12, 3, 2);
    fleet.run(secs(10), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
    let lower = Quota::new(40_000, 20_000);
    fleet.fleet_quotas = vec![fleet_quota(lower)];
    fleet.generation = Generation(2);
    fleet.add_host(0, 9);
    fleet.unlisted.push(member(1, 0));
    fleet.hosts[2].alive = false;
    let changed = fleet.now;
    fleet.run(secs(70), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
    assert_within(&fleet);
    // The new quota holds after a loan's duration, two heartbeats and one round of the relay.
    let after = fleet.excess(lower.rate, changed + secs(8));
    assert!(after <= lower.burst, "excess {after}");
    // The share of the removed host has moved to the others.
    assert_eq!(fleet.quota(), lower);
}

#[test]
fn a_zone_added_takes_nothing_before_the_others_gave_it_up() {
    let mut fleet = settled(13, 3, 2);
    fleet.cut_zone = Some(1);
    fleet.zones.push(zone(3));
    fleet.generation = Generation(2);
    fleet.add_host(3, 0);
    fleet.run(secs(30), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
    assert_within(&fleet);
    fleet.cut_zone = None;
    fleet.run(secs(30), |_, rng| poisson(rng, OVERLOAD_PER_SECOND));
    assert_within(&fleet);
    fleet.run(secs(20), |_, _| 0);
    assert_eq!(fleet.quota(), QUOTA);
}

#[test]
fn a_graceful_stop_brings_loans_home_at_once() {
    let mut fleet = settled(14, 3, 2);
    fleet.run(secs(10), |i, rng| match i {
        0 => poisson(rng, 90.0),
        _ => 0,
    });
    fleet.stop(0);
    fleet.run(Duration::from_millis(200), |_, _| 0);
    let others = fleet.quota();
    assert!(others.rate >= QUOTA.rate * 5 / 6 - 1, "{others:?}");
    assert_within(&fleet);
}

#[derive(Clone, Debug)]
enum Event {
    Load(Vec<u8>),
    Pause(usize, u64),
    Restart(usize),
    Cut(usize),
    Heal,
    Net(u32, u32, u32),
    Store(bool),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => prop::collection::vec(0..4_u8, 6).prop_map(Event::Load),
        3 => (0..6_usize, 1..15_u64).prop_map(|(i, s)| Event::Pause(i, s)),
        3 => (0..6_usize).prop_map(Event::Restart),
        1 => (0..3_usize).prop_map(Event::Cut),
        1 => Just(Event::Heal),
        2 => (0..300_u32, 0..300_u32, 0..300_u32).prop_map(|(l, r, s)| Event::Net(l, r, s)),
        1 => any::<bool>().prop_map(Event::Store),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 8,
        max_shrink_iters: 40,
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_sequence_of_faults_passes_the_whole(
        seed in any::<u64>(),
        events in prop::collection::vec((event(), 200..5000_u64), 4..14),
    ) {
        let mut fleet = settled(seed, 3, 2);
        let mut load = vec![3_u8; 6];
        for (event, millis) in events {
            match event {
                Event::Load(next) => load = next,
                Event::Pause(i, s) => fleet.pause(i, secs(s)),
                Event::Restart(i) => fleet.restart(i),
                Event::Cut(z) => fleet.cut_zone = Some(z),
                Event::Heal => fleet.cut_zone = None,
                Event::Net(loss_permille, repeat_permille, delay_permille) => {
                    fleet.faults = Faults { loss_permille, repeat_permille, delay_permille };
                }
                Event::Store(up) => fleet.store_up = up,
            }
            fleet.run(Duration::from_millis(millis), |i, rng| {
                poisson(rng, f64::from(load[i]) * 20.0)
            });
        }
        let excess = fleet.excess(QUOTA.rate, fleet.start);
        prop_assert!(excess <= QUOTA.burst, "excess {excess}");
    }
}
