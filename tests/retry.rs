//! Tests of the retry budget, deadlines and retry delays.

use std::time::Duration;

use cardamomroad::retry::{
    Budget,
    Failure,
    NoRetry,
    RETRY_AFTER_MAX,
    RateMeter,
    Retry,
    TRIES_MAX,
    decide,
    next_hop_timeout, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time::Instant;

fn failure(now: Instant) -> Failure {
    Failure {
        idempotent: true,
        not_started: false,
        tries: 1,
        deadline: now + Duration::from_secs(2),
    }
}

#[test]
fn retries_stay_within_a_tenth_of_first_tries() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut budget = Budget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        let retry = decide(&mut budget, now, failure(now), &mut rng);
        retries += u32::from(matches!(retry, Retry::After(_)));
    }
    assert_eq!(
        retries, 1000,
        "every request fails, and one in ten is retried"
    );
}

#[test]
fn a_request_that_may_have_started_is_not_repeated() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut budget = Budget::new();
    (0..100).for_each(|_| budget.deposit());
    let booking = Failure {
        idempotent: false,
        ..failure(now)
    };
    let no = decide(&mut budget, now, booking, &mut rng);
    assert_eq!(no, Retry::No(NoRetry::MayHaveStarted));
    let refused = Failure {
        not_started: true,
        ..booking
    };
    let again = decide(&mut budget, now, refused, &mut rng);
    assert!(matches!(again, Retry::After(_)));
}

#[test]
fn no_retry_past_the_deadline_or_the_most_tries() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut budget = Budget::new();
    (0..100).for_each(|_| budget.deposit());
    let late = Failure {
        deadline: now + Duration::from_millis(5),
        ..failure(now)
    };
    let no = decide(&mut budget, now, late, &mut rng);
    assert_eq!(no, Retry::No(NoRetry::Deadline));
    let exhausted = Failure {
        tries: TRIES_MAX,
        ..failure(now)
    };
    let no = decide(&mut budget, now, exhausted, &mut rng);
    assert_eq!(no, Retry::No(NoRetry::Tries));
}

#[test]
fn a_passed_deadline_shrinks_by_both_ways_of_the_hop() {
    let now = Instant::now();
    let hop = Duration::from_millis(35);
    let at = |ms| next_hop_timeout(now, now + Duration::from_millis(ms), hop);
    assert_eq!(at(200), Some(Duration::from_millis(130)));
    assert_eq!(at(70), None);
}

#[test]
fn the_time_to_come_back_follows_the_measured_rate() {
    let start = Instant::now();
    let mut meter = RateMeter::new(start);
    assert_eq!(meter.retry_after(start, 0), RETRY_AFTER_MAX);
    let mut now = start;
    for _ in 0..300 {
        now += Duration::from_millis(100);
        meter.record(now);
    }
    let seconds = meter.retry_after(now, 49).as_secs_f64();
    assert!(
        (4.5..5.5).contains(&seconds),
        "50 requests at 10/s: {seconds} s"
    );
    let idle = meter.retry_after(now + Duration::from_secs(60), 49);
    assert_eq!(idle, RETRY_AFTER_MAX);
}
