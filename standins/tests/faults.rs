//! Guarantees under faults of processes and of the platform, checked against the
//! upstreams' counts and the answers that callers receive.

use std::time::{
    Duration,
    Instant, //
};

use cardamomroad::{
    config::object::ConfigSet,
    util::id::Generation, //
};
use cardamomroad_standins::{
    caller::{
        Ask,
        Caller,
        Repeats, //
    },
    fleet::{
        Fleet,
        FleetBuilder,
        demonstration_key,
        example,
        limit,
        narrow, //
    },
    store::{
        Stale,
        SwitchChange as StoreChange, //
    },
    upstream::{
        Health,
        SwitchChange, //
    },
};

/// The organisation that sends all requests of these tests.
const ORGANISATION: &str = "hanoi-stations";
/// The number of upstream crashes after which all hosts refuse a request.
const DEATHS_BEFORE_QUARANTINE: u64 = 3;
/// The time after which a draining upstream must receive no new requests.
const DRAIN_MAX: Duration = Duration::from_secs(5);

fn small_set(zones: &[&str], upstreams: usize) -> ConfigSet {
    let mut set = example("thanh-clockworks").unwrap();
    narrow(&mut set, zones, upstreams);
    set
}

fn caller(fleet: &Fleet, name: &str) -> Caller {
    let key = demonstration_key(ORGANISATION);
    let options = fleet.caller(name, "dispatch").with_key(&key);
    Caller::new(options.with_repeats(Repeats::Never))
}

/// Sends `GET /histories/1` to each host in turn until the duration has passed;
/// returns the number of requests sent.
async fn load(fleet: &Fleet, caller: &Caller, duration: Duration) -> u64 {
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < duration {
        for address in fleet.callers() {
            caller
                .send_to(address, &Ask::get("/histories/1"), None)
                .await;
            sent += 1;
        }
    }
    sent
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replaced_host_never_goes_back_to_an_older_generation() {
    let mut fleet = FleetBuilder::new(small_set(&["bac-a", "bac-b"], 1))
        .start()
        .await
        .unwrap();
    fleet.wait_until_converged().await.unwrap();
    let first = fleet.hosts()[0].status().await.unwrap().generation.unwrap();

    let mut set = fleet.set().clone();
    set.routes[0].deadline += Duration::from_millis(1);
    fleet.apply(&set).await.unwrap();
    let second = Generation(first.0 + 1);
    fleet.wait_for_generation(second).await.unwrap();
    // From here on, the store returns each object as it was before its latest write.
    let stale = StoreChange {
        stale: Some(Stale::Previous),
        ..StoreChange::default()
    };
    fleet.store().switch(&stale).await.unwrap();

    fleet.host_mut("bac-b-1").unwrap().kill().await.unwrap();
    fleet.host_mut("bac-b-1").unwrap().restart().await.unwrap();
    let host = fleet.host("bac-b-1").unwrap();
    host.wait_until("a configuration", |s| s.generation.is_some())
        .await
        .unwrap();
    assert_eq!(host.status().await.unwrap().generation, Some(second));

    // The host also gets the newest generation from its peer while the store is down.
    let down = StoreChange {
        down: Some(true),
        ..StoreChange::default()
    };
    fleet.store().switch(&down).await.unwrap();
    fleet.host_mut("bac-b-1").unwrap().kill().await.unwrap();
    fleet.host_mut("bac-b-1").unwrap().restart().await.unwrap();
    let host = fleet.host("bac-b-1").unwrap();
    host.wait_until("a configuration", |s| s.generation.is_some())
        .await
        .unwrap();
    assert_eq!(host.status().await.unwrap().generation, Some(second));

    // No peer is running, and the store returns the older generation.
    let up = StoreChange {
        down: Some(false),
        ..StoreChange::default()
    };
    for name in ["bac-a-1", "bac-b-1"] {
        fleet.host_mut(name).unwrap().kill().await.unwrap();
    }
    fleet.store().switch(&up).await.unwrap();
    fleet.host_mut("bac-b-1").unwrap().restart().await.unwrap();
    let host = fleet.host("bac-b-1").unwrap();
    for _ in 0..25 {
        let generation = host.status().await.unwrap().generation;
        assert_eq!(generation, None, "a stale answer came into force");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let current = StoreChange {
        freeze: Some(false),
        ..StoreChange::default()
    };
    fleet.store().switch(&current).await.unwrap();
    host.wait_until("a configuration", |s| s.generation.is_some())
        .await
        .unwrap();
    assert_eq!(host.status().await.unwrap().generation, Some(second));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_kills_its_upstreams_stops_after_a_few() {
    let mut fleet = FleetBuilder::new(small_set(&["bac-a", "bac-b"], 5))
        .start()
        .await
        .unwrap();
    fleet.wait_until_converged().await.unwrap();
    fleet.wait_for_budget(ORGANISATION, 3).await.unwrap();
    let caller = caller(&fleet, "repeater");
    let ask = Ask::get("/histories/1").with_header("x-standin-crash", 1);
    let mut quarantined = 0;
    for _ in 0..12 {
        for address in fleet.callers() {
            let reply = caller.send_to(address, &ask, None).await;
            quarantined += u64::from(reply.reason.as_deref() == Some("quarantined"));
            // Leaves time for heartbeats to spread the suspicion to the other hosts.
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
    }
    let mut killed = 0;
    for upstream in fleet.upstreams_mut() {
        killed += u64::from(upstream.counts().await.is_err());
    }
    assert!(quarantined > 0, "the request was never refused");
    assert!(
        killed <= 2 * DEATHS_BEFORE_QUARANTINE,
        "{killed} upstreams were killed"
    );
    assert!(killed >= 1, "the request killed nothing");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_upstream_gets_no_new_work() {
    let fleet = FleetBuilder::new(small_set(&["bac-a"], 2))
        .with_hosts_per_zone(2)
        .start()
        .await
        .unwrap();
    fleet.wait_until_converged().await.unwrap();
    fleet.wait_for_budget(ORGANISATION, 3).await.unwrap();
    let caller = caller(&fleet, "steady");
    load(&fleet, &caller, Duration::from_secs(1)).await;

    // The upstream refuses new requests as draining while its health check still
    // reports ready.
    let leaving = fleet
        .upstreams()
        .iter()
        .find(|u| u.service().as_str() == "dispatch")
        .unwrap();
    let change = SwitchChange {
        drain: Some(true),
        health: Some(Health::Ready),
        ..SwitchChange::default()
    };
    leaving.switch(&change).await.unwrap();
    load(&fleet, &caller, DRAIN_MAX).await;
    let at_bound = leaving.counts().await.unwrap();
    load(&fleet, &caller, Duration::from_secs(4)).await;
    let after = leaving.counts().await.unwrap();
    assert_eq!(after.started, at_bound.started, "it started new work");
    let tally = caller.tally();
    assert_eq!(tally.with_verdict("whole"), tally.total(), "{tally:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_organisation_gets_more_than_its_rate_over_all_hosts() {
    const RATE: u64 = 20;
    const BURST: u32 = 10;
    let mut set = small_set(&["bac-a", "bac-b", "trung-a"], 1);
    limit(&mut set, &ORGANISATION.parse().unwrap(), RATE, BURST);
    let mut fleet = FleetBuilder::new(set).start().await.unwrap();
    fleet.wait_until_converged().await.unwrap();
    let greedy = caller(&fleet, "greedy");
    let start = Instant::now();
    load(&fleet, &greedy, Duration::from_secs(3)).await;

    // Pauses a host until its loans have expired and resumes it under load.
    fleet.host("bac-b-1").unwrap().pause().unwrap();
    let others: Vec<_> = ["bac-a-1", "trung-a-1"]
        .iter()
        .map(|name| fleet.host(name).unwrap().callers())
        .collect();
    let paused = Instant::now();
    while paused.elapsed() < Duration::from_secs(6) {
        for address in &others {
            greedy
                .send_to(*address, &Ask::get("/histories/1"), None)
                .await;
        }
    }
    fleet.host("bac-b-1").unwrap().resume().unwrap();
    load(&fleet, &greedy, Duration::from_secs(2)).await;

    // Kills and restarts a host several times.
    for _ in 0..3 {
        fleet.host_mut("trung-a-1").unwrap().kill().await.unwrap();
        fleet
            .host_mut("trung-a-1")
            .unwrap()
            .restart()
            .await
            .unwrap();
        load(&fleet, &greedy, Duration::from_millis(700)).await;
    }
    let elapsed = start.elapsed();
    let mut started = 0;
    for upstream in fleet.upstreams() {
        started += upstream.counts().await.unwrap().started;
    }
    let bound = u64::from(BURST) + (RATE as f64 * elapsed.as_secs_f64()).ceil() as u64;
    assert!(
        started <= bound,
        "{started} starts in {elapsed:?}; allowed {bound}"
    );
    assert!(started > u64::from(BURST), "{started} starts only");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateways_together_stay_within_the_slots_of_each_upstream() {
    let mut set = small_set(&["bac-a"], 2);
    for pool in &mut set.pools {
        // A short warm-up, so that only the division of slots limits the hosts.
        pool.warm_up = Duration::from_millis(100);
    }
    let fleet = FleetBuilder::new(set)
        .with_hosts_per_zone(3)
        .start()
        .await
        .unwrap();
    fleet.wait_until_converged().await.unwrap();
    fleet.wait_for_budget(ORGANISATION, 3).await.unwrap();
    let caller = std::sync::Arc::new(caller(&fleet, "crowd"));
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..60 {
        let address = fleet.callers()[i % 3];
        let caller = caller.clone();
        tasks.spawn(async move {
            let ask = Ask::get("/opening-hours").with_header("x-standin-delay-ms", 100);
            for _ in 0..5 {
                caller.send_to(address, &ask, None).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    for upstream in fleet.upstreams() {
        if upstream.service().as_str() != "dispatch" {
            continue;
        }
        // The stand-in refuses requests beyond its slots.
        let counts = upstream.counts().await.unwrap();
        let refused = counts.arrived - counts.started;
        assert_eq!(refused, 0, "{} got more than its slots", upstream.name());
        assert!(counts.started > 0, "{} ran nothing", upstream.name());
    }
}
