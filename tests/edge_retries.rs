//! All upstreams shed some of their requests at the same time, so that the hosts want more
//! retries than the operator allows. Together the hosts must stay within the operator's
//! ratio, but use most of it.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use cardamomroad::{
    edge::settings::Bounds,
    retry::Budget, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

const HOSTS: usize = 65;
/// Requests within the operator's window, at a constant request rate.
const WINDOW_REQUESTS: usize = 20_000;
/// Upstreams shed one request in this many.
const SHED_ONE_IN: u32 = 2;

fn bounds() -> Bounds {
    Bounds {
        revocation: Duration::from_secs(5),
        drain: Duration::from_millis(2500),
        adoption: Duration::from_millis(2500),
        evacuation: Duration::from_secs(5),
        grace: Duration::from_secs(6),
        upstream_heartbeat: Duration::from_millis(1500),
        reregistration: Duration::from_secs(2),
        lookup_ttl: Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_slack: 170.0,
        max_shift: 0.15,
    }
}

#[test]
fn hosts_together_keep_to_the_ratio_in_every_window() {
    let bounds = bounds();
    let mut rng = StdRng::seed_from_u64(5);
    let mut budgets: Vec<Budget> = (0..HOSTS)
        .map(|_| bounds.host_retry_allowance(HOSTS))
        .collect();
    let mut window: VecDeque<usize> = VecDeque::new();
    let (mut in_window, mut max_in_window, mut total, mut wanted) = (0, 0, 0, 0);
    for request in 0..5 * WINDOW_REQUESTS {
        let budget = &mut budgets[rng.random_range(0..HOSTS)];
        budget.deposit();
        // No request is shed in the first window, so that every host saves up all it may.
        let mut retries = 0;
        while request > WINDOW_REQUESTS && rng.random_ratio(1, SHED_ONE_IN) {
            wanted += 1;
            if !budget.try_withdraw() {
                break;
            }
            retries += 1;
        }
        window.push_back(retries);
        in_window += retries;
        total += retries;
        if window.len() > WINDOW_REQUESTS {
            in_window -= window.pop_front().unwrap_or_default();
        }
        max_in_window = max_in_window.max(in_window);
    }
    let allowed = bounds.retry_ratio * WINDOW_REQUESTS as f64;
    assert!(
        max_in_window as f64 <= allowed + bounds.retry_slack,
        "{max_in_window}"
    );
    assert!(wanted > total);
    let used = total as f64 / (4.0 * allowed);
    assert!(
        used >= 0.8,
        "{used} of the retries that the operator allows"
    );
}

#[test]
fn a_host_that_learns_of_others_gives_up_what_it_saved_for_them() {
    let bounds = bounds();
    let mut budget = bounds.host_retry_allowance(1);
    (0..10_000).for_each(|_| budget.deposit());
    budget.set_max(bounds.saved_retries_max_milli(HOSTS));
    let retries = std::iter::repeat_with(|| budget.try_withdraw()).take_while(|t| *t);
    assert!(retries.count() as f64 <= bounds.retry_slack / HOSTS as f64);
}
