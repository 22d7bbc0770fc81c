//! Which requests a stopping host still sends to upstreams, in virtual time.

use std::time::Duration;

use cardamomroad::edge::{
    settings::Bounds,
    shutdown::ShutdownSchedule, //
};
use tokio::time::Instant;

fn schedule(start: Instant, grace: Duration) -> ShutdownSchedule {
    let bounds = Bounds {
        revocation: Duration::from_secs(5),
        drain: Duration::from_millis(2500),
        adoption: Duration::from_millis(2500),
        evacuation: Duration::from_secs(5),
        grace,
        upstream_heartbeat: Duration::from_millis(1500),
        reregistration: Duration::from_secs(2),
        lookup_ttl: Duration::from_secs(1),
        retry_ratio: 0.2,
        retry_slack: 170.0,
        max_shift: 0.15,
    };
    ShutdownSchedule::new(start, &bounds)
}

/// Guards against requests that are sent although they may take longer than the host runs, and
/// against refusals of those that have the time.
#[tokio::test(start_paused = true)]
async fn requests_are_sent_if_they_usually_end_before_the_exit() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let work = |ms| Some(Duration::from_millis(ms));
    let stop = schedule(start, Duration::from_secs(6));
    assert!(stop.ends_in_time(at(0), at(2000), None));
    assert!(!stop.ends_in_time(at(0), at(9000), None));
    assert!(stop.ends_in_time(at(1000), at(9000), work(500)));
    assert!(!stop.ends_in_time(at(1000), at(9000), work(2000)));
    // Held up until new connections are no longer accepted.
    assert!(!stop.ends_in_time(at(3100), at(9000), work(100)));
    assert!(stop.ends_in_time(at(3100), at(5500), work(100)));
    assert!(schedule(start, Duration::from_secs(12)).ends_in_time(at(1000), at(9000), work(2000)));
}
