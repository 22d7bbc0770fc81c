//! Learning which routes have large answers. A route that is taken to have large answers by mistake
//! loses the choice between zones; one that is overlooked costs billed traffic.

use cardamomroad::edge::answer_size::{
    AnswerSizes,
    LARGE_ANSWER_MIN_BYTES,
    SizeChange, //
};

const ROUTE: u64 = 1;
const LARGE: u64 = 90_000;
const SMALL: u64 = 2_000;

#[test]
fn a_route_counts_from_its_first_large_answer_and_is_reported_once() {
    let mut sizes = AnswerSizes::default();
    assert_eq!(sizes.expected_bytes(ROUTE), 0);
    let change = SizeChange {
        is_large: true,
        mean_bytes: LARGE,
    };
    assert_eq!(sizes.record(ROUTE, LARGE), Some(change));
    for _ in 0..100 {
        assert_eq!(sizes.record(ROUTE, LARGE), None);
    }
    assert_eq!(sizes.expected_bytes(ROUTE), LARGE);
    assert_eq!(sizes.expected_bytes(ROUTE + 1), 0, "another route");
}

#[test]
fn answers_below_the_limit_count_as_nothing() {
    let mut sizes = AnswerSizes::default();
    for _ in 0..500 {
        assert_eq!(sizes.record(ROUTE, LARGE_ANSWER_MIN_BYTES - 1), None);
        assert_eq!(sizes.expected_bytes(ROUTE), 0);
    }
}

/// One in a hundred answers is large, and the others are small: the mean counts. A later run of
/// small answers makes a large route small again.
#[test]
fn the_mean_follows_the_answers_and_not_single_ones() {
    let mut sizes = AnswerSizes::default();
    for n in 1..1000 {
        let bytes = if n % 100 == 0 { LARGE } else { SMALL };
        sizes.record(ROUTE, bytes);
        assert_eq!(sizes.expected_bytes(ROUTE), 0, "after {n}");
    }
    let became_large = (0..60).filter_map(|_| sizes.record(ROUTE, LARGE)).count();
    let became_small = (0..200).filter_map(|_| sizes.record(ROUTE, SMALL)).count();
    assert_eq!((became_large, became_small), (1, 1));
}

/// Configurations change thousands of times a day, and each change may bring other prefixes.
#[test]
fn routes_that_are_no_longer_used_are_dropped() {
    let mut sizes = AnswerSizes::default();
    for route in 0..20_000 {
        sizes.record(route, LARGE);
        sizes.record(u64::MAX, LARGE);
    }
    assert!(sizes.large_routes() <= 2000, "{}", sizes.large_routes());
    assert_eq!(sizes.expected_bytes(u64::MAX), LARGE, "still in use");
    assert_eq!(sizes.expected_bytes(0), 0, "unused for long");
}
