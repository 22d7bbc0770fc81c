//! A host accepts keys only while its knowledge of withdrawn keys is recent enough.

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
    assert!(!f.is_fresh(Instant::now()));
}

#[test]
fn the_proof_counts_from_the_sending_of_the_read() {
    let t0 = Instant::now();
    let mut f = Freshness::new(BOUND);
    // The answer took four seconds; a withdrawal may have followed immediately after the request.
    f.confirm(t0, Duration::ZERO);
    assert!(f.is_fresh(t0 + 4 * SECOND));
    assert!(!f.is_fresh(t0 + BOUND));
}

#[test]
fn a_later_answer_to_an_earlier_read_does_not_shorten_the_proof() {
    let t0 = Instant::now();
    let mut f = Freshness::new(BOUND);
    f.confirm(t0 + 3 * SECOND, Duration::ZERO);
    f.confirm(t0, Duration::ZERO);
    assert!(f.is_fresh(t0 + 7 * SECOND));
}

#[test]
fn a_suspension_ends_the_proof_and_that_of_reads_sent_before_it() {
    let t0 = Instant::now();
    let mut f = Freshness::new(BOUND);
    f.confirm(t0, Duration::ZERO);
    f.observe_suspension(3 * SECOND);
    assert!(!f.is_fresh(t0));
    // The answer belongs to a read that was sent before the suspension.
    f.confirm(t0, Duration::ZERO);
    assert!(!f.is_fresh(t0));
    f.confirm(t0 + SECOND, 3 * SECOND);
    assert!(f.is_fresh(t0 + SECOND));
}

/// With withdrawals, reads, suspensions and checks in any order, no check passes if the last
/// confirmation is older than the bound in real time, which includes suspensions.
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
            let (mut steady, mut suspended) = (Duration::ZERO, Duration::ZERO);
            let mut f = Freshness::new(BOUND);
            let mut confirmed_at: Option<Duration> = None;
            for (action, ms, latency) in steps {
                steady += Duration::from_millis(ms);
                match action {
                    0 => suspended += Duration::from_millis(ms),
                    1 | 2 => {
                        let sent_at = steady;
                        steady += Duration::from_millis(latency);
                        f.observe_suspension(suspended);
                        f.confirm(t0 + sent_at, suspended);
                        confirmed_at = Some(sent_at + suspended);
                    }
                    _ => {
                        f.observe_suspension(suspended);
                        let real = steady + suspended;
                        if f.is_fresh(t0 + steady) {
                            let age = confirmed_at.map(|p| real - p);
                            // Suspensions too short to be detected may add up between two reads.
                            prop_assert!(age.is_some_and(|a| a <= BOUND), "{age:?}");
                        }
                    }
                }
            }
            Ok(())
        })
        .expect("no outdated confirmation is used");
}
