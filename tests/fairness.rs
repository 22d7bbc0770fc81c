//! Tests of weighted max-min fairness: exact division, and slots allotted one request at a time.

use cardamomroad::{
    fairness::{
        Claim,
        Slots,
        divide, //
    },
    util::id::OrganisationName,
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};

fn organisation(i: usize) -> OrganisationName {
    format!("o{i}").parse().unwrap()
}

#[test]
fn small_claims_are_filled_and_large_ones_share_by_weight() {
    let claims = [Claim::new(2, 1), Claim::new(100, 1), Claim::new(100, 3)];
    assert_eq!(divide(42, &claims), [2, 10, 30]);
    assert_eq!(divide(3, &[Claim::new(5, 1); 2]), [2, 1]);
    assert_eq!(divide(5, &[]), [0_u64; 0]);
}

#[test]
fn a_flood_of_one_organisation_leaves_the_others_their_part() {
    let mut slots = Slots::new(12);
    for _ in 0..1000 {
        slots.wait(&organisation(0), 1);
    }
    while slots.start(&organisation(0)) {}
    assert_eq!(slots.in_flight(), 12);
    for _ in 0..10 {
        slots.wait(&organisation(1), 1);
        slots.wait(&organisation(2), 2);
    }
    // As organisation 0's requests end, their slots go to the organisations below their share.
    for _ in 0..12 {
        slots.finish(&organisation(0));
        let next = slots.next().unwrap().clone();
        if next != organisation(0) {
            assert!(!slots.start(&organisation(0)));
        }
        assert!(slots.start(&next));
        assert!(!slots.start(&next));
    }
    let own = |i: usize, slots: &Slots| {
        let all: Vec<_> = slots.shares();
        all.iter().find(|(n, _)| *n == organisation(i)).unwrap().1
    };
    assert_eq!([own(0, &slots), own(1, &slots), own(2, &slots)], [3, 3, 6]);
    assert_eq!(slots.running(&organisation(1)), 3);
    assert_eq!(slots.running(&organisation(2)), 6);
}

#[test]
fn nobody_waits_while_a_slot_is_free() {
    let mut slots = Slots::new(4);
    slots.wait(&organisation(0), 1);
    assert!(slots.start(&organisation(0)));
    slots.wait(&organisation(1), 1);
    slots.cancel_wait(&organisation(1));
    assert_eq!((slots.waiting(), slots.next()), (0, None));
    for _ in 0..3 {
        slots.wait(&organisation(0), 1);
        assert!(slots.start(&organisation(0)));
    }
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0..200_u64, 1..8_u32).prop_map(|(d, w)| Claim::new(d, w));
    prop::collection::vec(claim, 1..10)
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(22),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_division_is_exact_and_max_min(capacity in 0..600_u64, claims in claims()) {
        let shares = divide(capacity, &claims);
        let demand: u64 = claims.iter().map(|c| c.demand).sum();
        prop_assert_eq!(shares.iter().sum::<u64>(), capacity.min(demand));
        for (a, x) in claims.iter().zip(&shares) {
            prop_assert!(*x <= a.demand);
            for (b, y) in claims.iter().zip(&shares) {
                // Relative to its weight, an unsatisfied claim has at most one unit
                // less than any other claim.
                let short = *x < a.demand;
                let less = (x + 1) * u64::from(b.weight) < y.saturating_sub(1) * u64::from(a.weight);
                prop_assert!(!(short && less), "{:?}", shares);
            }
        }
    }

    #[test]
    fn starting_request_by_request_reaches_the_division(capacity in 1..60_u64, claims in claims()) {
        let mut slots = Slots::new(capacity);
        for (i, claim) in claims.iter().enumerate() {
            for _ in 0..claim.demand {
                slots.wait(&organisation(i), claim.weight);
            }
        }
        while let Some(next) = slots.next().cloned() {
            prop_assert!(slots.start(&next));
        }
        let shares = divide(capacity, &claims);
        for (i, share) in shares.iter().enumerate() {
            let running = slots.running(&organisation(i));
            prop_assert!(running.abs_diff(*share) <= 1, "{i}: {running} {share}");
        }
    }
}
