//! Callers that differ in patience, and callers that return after a refusal with less time left.

use std::time::Duration;

use cardamomroad::edge::caller_timeouts::CallerTimeouts;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Longest timeout of a first attempt.
const PATIENCE_MS: u64 = 2000;
/// Spread of the timeouts of first attempts.
const SPREAD_MS: u64 = 300;
/// Time that a returning caller has lost.
const LOST_MS: u64 = 600;
const ATTEMPTS: u32 = 2000;

fn first_timeout(rng: &mut StdRng) -> Duration {
    Duration::from_millis(PATIENCE_MS - rng.random_range(0..=SPREAD_MS))
}

/// Most first attempts must count as such: a request that seems late gets little time in the queue.
#[test]
fn patience_is_not_taken_for_lost_time() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut timeouts = CallerTimeouts::default();
    let mut mistaken = 0;
    for _ in 0..ATTEMPTS {
        let lost = timeouts.record(first_timeout(&mut rng));
        mistaken += u32::from(!lost.is_zero());
    }
    assert!(mistaken * 20 < ATTEMPTS, "{mistaken} of {ATTEMPTS}");
}

/// A third of the attempts comes from callers that were refused before.
#[test]
fn returning_callers_are_recognised_under_overload() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut timeouts = CallerTimeouts::default();
    let (mut returned, mut recognised, mut mistaken) = (0, 0, 0);
    for _ in 0..ATTEMPTS {
        let first = first_timeout(&mut rng);
        if rng.random_ratio(1, 3) {
            returned += 1;
            let lost = timeouts.record(first - Duration::from_millis(LOST_MS));
            let error = lost.abs_diff(Duration::from_millis(LOST_MS));
            recognised += u32::from(error <= Duration::from_millis(SPREAD_MS));
        } else {
            mistaken += u32::from(!timeouts.record(first).is_zero());
        }
    }
    assert!(recognised * 10 > returned * 9, "{recognised} of {returned}");
    assert!(mistaken * 20 < ATTEMPTS, "{mistaken} of {ATTEMPTS}");
}

/// One caller with a much longer timeout must neither make all others look late nor hide those that
/// are.
#[test]
fn a_single_patient_caller_changes_nothing() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut timeouts = CallerTimeouts::default();
    timeouts.record(Duration::from_secs(60));
    for _ in 0..100 {
        timeouts.record(first_timeout(&mut rng));
    }
    let late = first_timeout(&mut rng) - Duration::from_millis(LOST_MS);
    assert!(!timeouts.record(late).is_zero());
    assert!(
        timeouts
            .record(Duration::from_millis(PATIENCE_MS))
            .is_zero()
    );
}

#[test]
fn equal_timeouts_lose_nothing() {
    let mut timeouts = CallerTimeouts::default();
    for _ in 0..10 {
        assert!(timeouts.record(Duration::from_secs(2)).is_zero());
    }
}
