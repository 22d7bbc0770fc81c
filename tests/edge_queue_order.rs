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
