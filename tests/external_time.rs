//! Durations from outside the process, however long, can be added to instants.

use std::time::Duration;

use cardamomroad::util::time::{
    EXTERNAL_DURATION_MAX,
    SaturatingAdd,
    external_duration, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed,
        TestRunner, //
    },
};
use tokio::time::Instant;

#[test]
fn additions_never_panic_and_never_go_back() {
    let config = Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    };
    let seconds = prop_oneof![any::<u64>(), 0..1000_u64, Just(u64::MAX)];
    let run = TestRunner::new(config).run(&(seconds, 0..1_000_000_000_u32), |(secs, nanos)| {
        let (now, duration) = (Instant::now(), Duration::new(secs, nanos));
        let later = now.saturating_add(duration);
        prop_assert_eq!(later - now, duration.min(EXTERNAL_DURATION_MAX));
        Ok(())
    });
    run.expect("no addition panics");
}

#[test]
fn numbers_that_are_no_duration_are_rejected_and_long_ones_shortened() {
    for number in [-1.0, -1e-9, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(external_duration(number), None, "{number}");
    }
    assert_eq!(external_duration(0.5), Some(Duration::from_millis(500)));
    for number in [1e10, 1.8e19, f64::MAX] {
        assert_eq!(external_duration(number), Some(EXTERNAL_DURATION_MAX));
    }
}
