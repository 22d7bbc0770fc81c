//! Order of waiting requests under sustained overload by urgent ones.

use std::time::Duration;

use cardamomroad::edge::{
    model::Priority,
    queue_order::sort_waiting, //
};
use tokio::time::Instant;

/// Time that a request waits before it is refused.
const WAIT_MAX: Duration = Duration::from_millis(50);
/// Requests of each priority that arrive per millisecond; one request is served in that time.
const ARRIVALS_PER_MS: u32 = 1;

/// Serves one request per millisecond; returns the number of served requests of each priority.
fn serve(priorities: u32, turns: u32) -> Vec<u32> {
    let t0 = Instant::now();
    let mut waiting: Vec<(Priority, Instant)> = Vec::new();
    let mut served = vec![0; priorities as usize];
    for turn in 0..turns {
        let now = t0 + Duration::from_millis(u64::from(turn));
        for priority in 0..priorities {
            for _ in 0..ARRIVALS_PER_MS {
                waiting.push((Priority(priority), now));
            }
        }
        waiting.retain(|(_, since)| now < *since + WAIT_MAX);
        sort_waiting(turn, &mut waiting, |w| *w);
        let (Priority(priority), _) = waiting.remove(0);
        served[priority as usize] += 1;
    }
    served
}

/// Users are promised that each priority is served at least a quarter as often as the mean.
#[test]
fn the_least_urgent_requests_are_not_starved() {
    for priorities in 2..=3 {
        let served = serve(priorities, 3000);
        let mean = served.iter().sum::<u32>() / priorities;
        let least = served.iter().min().expect("a priority");
        assert!(least * 4 >= mean, "{served:?} of {priorities} priorities");
    }
}

#[test]
fn the_most_urgent_requests_are_served_most() {
    let served = serve(3, 3000);
    assert!(served[0] > served[1] + served[2], "{served:?}");
}

/// A burst of 300 requests of a lower rank waits when requests of a higher rank begin to arrive, one
/// every two turns. The higher rank waits for the turns in rotation at most, although it arrived
/// later; the burst still gets the turns that are left.
#[test]
fn a_burst_of_a_lower_rank_delays_a_higher_one_by_the_rotation_only() {
    let t0 = Instant::now();
    let (high, low) = ((Priority(0), Priority(1)), (Priority(0), Priority(2)));
    let mut waiting = vec![(low, t0); 300];
    let mut served_low = 0;
    for turn in 0..600_u32 {
        let now = t0 + Duration::from_millis(u64::from(turn));
        if turn.is_multiple_of(2) {
            waiting.push((high, now));
        }
        sort_waiting(turn, &mut waiting, |w| *w);
        let (rank, since) = waiting.remove(0);
        if rank == high {
            let waited = now - since;
            assert!(waited <= Duration::from_millis(3), "{waited:?}");
        } else {
            served_low += 1;
        }
    }
    assert!(served_low >= 250, "{served_low}");
}

/// The organisation's rank comes first, then the route's, then the arrival.
#[test]
fn ranks_come_before_arrival() {
    let t0 = Instant::now();
    let request = |organisation, route, ms| {
        let rank = (Priority(organisation), Priority(route));
        (rank, t0 + Duration::from_millis(ms))
    };
    let sorted = [
        request(0, 0, 9),
        request(0, 2, 3),
        request(0, 2, 5),
        request(1, 0, 1),
        request(1, 1, 0),
    ];
    let mut waiting = sorted;
    waiting.reverse();
    sort_waiting(1, &mut waiting, |w| *w);
    assert_eq!(waiting, sorted);
}
