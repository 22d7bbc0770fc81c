//! The pattern: a standing overload of urgent requests.

use std::time::Duration;

use cardamomroad::edge::{
    model::Priority,
    waiting::order, //
};
use tokio::time::Instant;

/// How long a request waits before it is refused.
const PATIENCE: Duration = Duration::from_millis(50);
/// Requests of each rank that come in a millisecond; one is served.
const EACH: u32 = 1;

/// Serves one request a millisecond; returns how many of each rank were served.
fn serve(ranks: u32, turns: u32) -> Vec<u32> {
    let t0 = Instant::now();
    let mut waiting: Vec<(Priority, Instant)> = Vec::new();
    let mut served = vec![0; ranks as usize];
    for turn in 0..turns {
        let now = t0 + Duration::from_millis(u64::from(turn));
        for rank in 0..ranks {
            for _ in 0..EACH {
                waiting.push((Priority(rank), now));
            }
        }
        waiting.retain(|(_, since)| now < *since + PATIENCE);
        order(turn, &mut waiting, |w| *w);
        let (Priority(rank), _) = waiting.remove(0);
        served[rank as usize] += 1;
    }
    served
}

/// The users' bound: nobody is served less than a quarter as often as all.
#[test]
fn the_least_urgent_requests_are_not_starved() {
    for ranks in 2..=3 {
        let served = serve(ranks, 3000);
        let mean = served.iter().sum::<u32>() / ranks;
        let least = served.iter().min().expect("a rank");
        assert!(least * 4 >= mean, "{served:?} of {ranks} ranks");
    }
}

#[test]
fn the_most_urgent_requests_are_served_most() {
    let served = serve(3, 3000);
    assert!(served[0] > served[1] + served[2], "{served:?}");
}
