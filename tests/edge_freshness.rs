//! A host trusts its keys only as long as it would have heard of a withdrawal.

use std::time::Duration;

use cardamomroad::edge::freshness::Freshness;
use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    },
};
use tokio::time::Instant;

const BOUND: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_host_that_has_read_nothing_trusts_no_key() {
    let f = Freshness::new(BOUND);
    assert!(!f.holds(Instant::now()));
}

#[test]
fn the_proof_counts_from_the_sending_of_the_read() {
    let t0 = Instant::now();
    let mut f = Freshness::new(BOUND);
    // The answer took four seconds; the withdrawal may have come just after the start.
    f.confirm(t0, Duration::ZERO);
    assert!(f.holds(t0 + 4 * SECOND));
    assert!(!f.holds(t0 + BOUND));
}

#[test]
fn a_later_answer_to_an_earlier_read_does_not_shorten_the_proof() {
    let t0 = Instant::now();
    let mut f = Freshness::new(BOUND);
    f.confirm(t0 + 3 * SECOND, Duration::ZERO);
    f.confirm(t0, Duration::ZERO);
    assert!(f.holds(t0 + 7 * SECOND));
}

#[test]
fn a_suspension_ends_the_proof_and_that_of_reads_sent_before_it() {
    let t0 = Instant::now();
    let mut f = Freshness::new(BOUND);
    f.confirm(t0, Duration::ZERO);
    f.observe(3 * SECOND);
    assert!(!f.holds(t0));
    // The answer to a read that was sent before the suspension.
    f.confirm(t0, Duration::ZERO);
    assert!(!f.holds(t0));
    f.confirm(t0 + SECOND, 3 * SECOND);
    assert!(f.holds(t0 + SECOND));
}

/// Withdrawals, reads, suspensions and checks in any order: no check passes
/// whose last proof is older, in time that really passed, than the bound.
#[test]
fn no_check_passes_on_a_proof_that_is_older_than_the_bound() {
    let config = proptest::test_runner::Config {
        rng_seed: RngSeed::Fixed(1),
        cases: 500,
        ..Default::default()
    };
    let step = (0_u8..4, 1_u64..3000, 0_u64..3000);
    TestRunner::new(config)
        .run(&proptest::collection::vec(step, 1..60), |steps| {
            let t0 = Instant::now();
            let (mut steady, mut asleep) = (Duration::ZERO, Duration::ZERO);
            let mut f = Freshness::new(BOUND);
            let mut proof: Option<Duration> = None;
            for (what, ms, latency) in steps {
                steady += Duration::from_millis(ms);
                match what {
                    0 => asleep += Duration::from_millis(ms),
                    1 | 2 => {
                        let asked = steady;
                        steady += Duration::from_millis(latency);
                        f.observe(asleep);
                        f.confirm(t0 + asked, asleep);
                        proof = Some(asked + asleep);
                    }
                    _ => {
                        f.observe(asleep);
                        let real = steady + asleep;
                        if f.holds(t0 + steady) {
                            let age = proof.map(|p| real - p);
                            // Suspensions too short to be seen may add up between two reads.
                            prop_assert!(age.is_some_and(|a| a <= BOUND), "{age:?}");
                        }
                    }
                }
            }
            Ok(())
        })
        .expect("no old proof is used");
}
