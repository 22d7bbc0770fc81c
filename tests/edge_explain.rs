//! Explanations in advance of requests that would not be sent: they must name the reason that the
//! request itself would get. Runs without a network, in virtual time.

#[path = "support/simulated_fleet.rs"]
mod simulated_fleet;

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use cardamomroad::{
    edge::{
        explain::{
            Decision,
            Explanation, //
        },
        message::{
            UpstreamNotice,
            UpstreamSaid, //
        },
        model::{
            ConfigVersion,
            Configuration,
            Priority,
            Route, //
        },
        serve::question::{
            ExplainQuery,
            KEY_HEADER,
            preview, //
        },
        upstreams::key_of,
    },
    quarantine::UpstreamStart,
};
use hyper::HeaderMap;
use simulated_fleet::{
    Host,
    Plan,
    TestFleet,
    service, //
};
use smallvec::SmallVec;
use tokio::time::Instant;

const PAUSE: Duration = Duration::from_secs(4);

fn plan(hosts: usize) -> Plan {
    Plan {
        zones: vec![("bac-a", "bac", hosts, 1)],
        slots: 4,
        cache_capacity: 8,
        uncached: Duration::from_millis(100),
        cached: Duration::from_millis(20),
        latency_target: Duration::from_millis(400),
        answer_bytes: 0,
    }
}

/// Returns a configuration with an open route that is bound to the region `bac`, and one that needs a
/// key.
fn configuration() -> Configuration {
    let route = |prefix: &'static str, open| Route {
        prefix: prefix.into(),
        services: SmallVec::from_iter([(service(), 1)]),
        idempotent: true,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(400),
        tries: 2,
        priority: Priority(1),
        open,
        affinity: true,
        regions: SmallVec::from_iter(["bac".parse().expect("region")]),
    };
    let routes = vec![route("/open/", true), route("/keyed/", false)];
    Configuration {
        version: ConfigVersion(1),
        routes: HashMap::from([("desk.example".into(), routes)]),
        services: HashMap::new(),
        organisations: Vec::new(),
        keys: HashMap::new(),
        body_bytes_max: 1000,
        unreadable_parts: 0,
        requires_keys: true,
        client_limits: Default::default(),
    }
}

async fn explain(host: &Host, query: &str) -> Explanation {
    let query = format!("host=desk.example&object=7&{query}");
    let mut headers = HeaderMap::new();
    headers.insert(KEY_HEADER, "unknown".parse().expect("a value"));
    let query = ExplainQuery::new(&query, &headers).expect("a valid query");
    let preview = preview(Some(&configuration()), &query, Instant::now());
    host.dispatcher.send(preview).await.expect("a dispatcher")
}

fn reason(explanation: &Explanation) -> (&str, u16) {
    match &explanation.decision {
        Decision::Refused { reason, status, .. } => (reason, *status),
        other => panic!("not refused: {other}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_refusal_is_explained_with_its_reason() {
    let fleet = TestFleet::start(plan(1)).await;
    let host = &fleet.hosts[0];
    let placed = explain(host, "path=/open/1").await;
    assert!(
        matches!(&placed.decision, Decision::Upstream { id, .. } if id == "i-bac-a-0"),
        "{placed}"
    );
    let cases = [
        ("path=/else/1", ("no-route", 404)),
        ("path=/keyed/1", ("key", 401)),
        ("path=/open/1&bytes=1001", ("too-long", 413)),
        ("path=/open/1&region=nam", ("no-upstream", 503)),
    ];
    for (query, expected) in cases {
        let explanation = explain(host, query).await;
        assert_eq!(reason(&explanation), expected, "{query}: {explanation}");
    }
    let id = "i-bac-a-0".parse().expect("id");
    let paused = UpstreamSaid {
        key: key_of(&id),
        upstream: UpstreamStart::new(SocketAddr::from(([10, 1, 0, 0], 90)), &id, Some(1)),
        notice: UpstreamNotice::Pause(PAUSE),
    };
    host.dispatcher.send(paused).await.expect("a dispatcher");
    let explanation = explain(host, "path=/open/1").await;
    assert_eq!(reason(&explanation), ("paused", 503), "{explanation}");
    let paused_ms = explanation.inputs.upstreams[0].paused_ms.expect("a pause");
    assert!(u128::from(paused_ms) >= PAUSE.as_millis(), "{explanation}");
}

#[tokio::test(start_paused = true)]
async fn another_host_that_schedules_the_domain_is_named() {
    let fleet = TestFleet::start(plan(2)).await;
    let mut schedulers = Vec::new();
    for host in fleet.hosts.iter() {
        let explanation = explain(host, "path=/open/1").await;
        let target = explanation.target.as_ref().expect("a target");
        let is_own = target.scheduler.as_deref() == Some(host.settings.host.as_str());
        let is_claim = matches!(&explanation.decision, Decision::Claim { local_view, .. }
            if matches!(**local_view, Decision::Upstream { .. }));
        assert_eq!(is_claim, !is_own, "{explanation}");
        schedulers.push(target.scheduler.clone().expect("a scheduler"));
    }
    assert_eq!(schedulers[0], schedulers[1]);
}
