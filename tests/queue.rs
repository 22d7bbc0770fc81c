//! Tests of the order, the time limit and the length limit of the fair queue.

use std::time::Duration;

use cardamomroad::{
    queue::{
        FairQueue,
        WAITING_PER_ORGANISATION_MAX, //
    },
    util::id::OrganisationName, //
};
use tokio::time::Instant;

const DEADLINE: Duration = Duration::from_secs(2);

fn organisation(name: &str) -> OrganisationName {
    name.parse().unwrap()
}

#[test]
fn a_small_organisation_goes_before_the_backlog_of_a_large_one() {
    let now = Instant::now();
    let (large, small) = (organisation("large"), organisation("small"));
    let mut queue = FairQueue::new();
    for _ in 0..10 {
        assert!(queue.start(&large, 1));
    }
    for _ in 0..20 {
        queue.push(now, &large, 1, now + DEADLINE, "large").unwrap();
    }
    queue.push(now, &small, 1, now + DEADLINE, "small").unwrap();
    assert!(
        !queue.start(&large, 1),
        "a new request does not overtake waiting ones"
    );
    queue.finish(&large);
    assert_eq!(queue.pop(), Some("small"));
    assert_eq!(queue.pop(), Some("large"));
}

#[test]
fn weights_divide_the_slots() {
    let now = Instant::now();
    let (a, b) = (organisation("a"), organisation("b"));
    let mut queue = FairQueue::new();
    for _ in 0..WAITING_PER_ORGANISATION_MAX {
        queue.push(now, &a, 3, now + DEADLINE, "a").unwrap();
        queue.push(now, &b, 1, now + DEADLINE, "b").unwrap();
    }
    let first: Vec<_> = (0..40).filter_map(|_| queue.pop()).collect();
    assert_eq!(first.iter().filter(|t| **t == "a").count(), 30);
}

#[test]
fn waiting_is_bounded_in_time_and_number() {
    let now = Instant::now();
    let a = organisation("a");
    let mut queue = FairQueue::new();
    let soon = now + Duration::from_millis(200);
    queue.push(now, &a, 1, soon, 0).unwrap();
    for i in 1..WAITING_PER_ORGANISATION_MAX {
        queue.push(now, &a, 1, now + DEADLINE, i).unwrap();
    }
    assert_eq!(queue.push(now, &a, 1, soon, 99), Err(99));
    assert_eq!(
        queue.expire(now + Duration::from_millis(100)).as_slice(),
        [0]
    );
    assert_eq!(
        queue.expire(now + DEADLINE / 2).len(),
        WAITING_PER_ORGANISATION_MAX - 1
    );
    assert!(queue.is_empty());
    assert!(queue.start(&a, 1));
}
