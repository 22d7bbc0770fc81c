//! Changes that the platform publishes take effect within the operator's bounds, even if the
//! host that reads the store for all others silently loses its connection.

use std::time::Duration;

use cardamomroad::edge::{
    settings::Bounds,
    topic::Topic, //
    topic_watch::{
        FollowTimings,
        RelayLevel, //
    },
};

/// The time that a host's own read of the store takes, from the farthest region.
const READ_TIME: Duration = Duration::from_millis(200);
/// How long a host pauses after one failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long before the revocation bound a host stops accepting keys.
const KEY_MARGIN: Duration = Duration::from_millis(500);

fn bounds(drain_ms: u64, adoption_ms: u64) -> Bounds {
    Bounds {
        revocation: Duration::from_secs(5),
        drain: Duration::from_millis(drain_ms),
        adoption: Duration::from_millis(adoption_ms),
        evacuation: Duration::from_secs(5),
        grace: Duration::from_secs(6),
        upstream_heartbeat: Duration::from_millis(1500),
        reregistration: Duration::from_secs(2),
        lookup_ttl: Duration::from_secs(1),
        retry_ratio: 0.2,
        retry_slack: 62.0,
        max_shift: 0.15,
    }
}

#[test]
fn news_that_stops_is_read_again_within_its_bound() {
    for ms in [2000, 2500, 3000, 4000, 8000] {
        let bounds = bounds(ms, ms);
        let limits = [
            (Topic::Upstreams, bounds.drain),
            (Topic::Configuration, bounds.adoption),
            (Topic::Configuration, bounds.revocation - KEY_MARGIN),
            (Topic::Evacuations, bounds.evacuation),
        ];
        for (topic, bound) in limits {
            let timings = FollowTimings::new(topic, &bounds);
            // A host without followers notices a silent connection one second after the wait, and
            // then reads the topic again.
            let recovery = Duration::from_secs(1) + RETRY_PAUSE + READ_TIME;
            let without_followers = timings.wait_without_followers + recovery;
            assert!(without_followers <= bound, "{topic} {bound:?} {timings:?}");
            assert!(
                timings.relayed_max_age(RelayLevel::Member) + READ_TIME <= bound,
                "{topic} {bound:?} {timings:?}"
            );
        }
    }
}

/// A relay whose own source has failed has time to read the store before its followers do.
#[test]
fn hosts_farther_down_wait_longer() {
    for topic in [Topic::Upstreams, Topic::Configuration, Topic::Evacuations] {
        let timings = FollowTimings::new(topic, &bounds(2500, 2500));
        let levels = [RelayLevel::Region, RelayLevel::Zone, RelayLevel::Member]
            .map(|l| timings.relayed_max_age(l));
        assert!(levels[0] + READ_TIME <= levels[1], "{topic} {levels:?}");
        assert!(levels[1] + READ_TIME <= levels[2], "{topic} {levels:?}");
    }
}

/// Each call to the store has a cost, so wider bounds lead to longer waits.
#[test]
fn wider_bounds_make_fewer_calls() {
    let (tight, wide) = (bounds(2500, 2500), bounds(5000, 5000));
    for topic in [Topic::Upstreams, Topic::Configuration] {
        let (tight, wide) = (
            FollowTimings::new(topic, &tight),
            FollowTimings::new(topic, &wide),
        );
        assert!(wide.wait > tight.wait * 2, "{tight:?} {wide:?}");
    }
}
