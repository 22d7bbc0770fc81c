//! Shared set-up and helpers of the `proof_*` tests, which run real processes.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use cardamomroad_standins::{
    caller::{
        Ask,
        Caller,
        Options,
        Reply, //
    },
    fleet::{
        Fleet,
        FleetBuilder,
        demonstration_key,
        example,
        limit,
        narrow, //
    },
    upstream::Entry,
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};

/// The organisation that sends most requests of these tests.
pub const MAIN_ORGANISATION: &str = "hanoi-stations";
/// A second organisation, for tests that need two keys.
pub const OTHER_ORGANISATION: &str = "hue-fitters";
/// The only zone that provides `workbench`, so that other zones must forward to it.
pub const REMOTE_ZONE: &str = "trung-a";
/// The maximum number of retries after a refusal that permits a retry.
const ADMIT_TRIES: u32 = 100;
/// The pause before each of these retries.
const ADMIT_PAUSE: Duration = Duration::from_millis(100);
/// The timeout for one raw request and its answer.
const EXCHANGE_MAX: Duration = Duration::from_secs(20);

/// Starts a fleet in two zones of two regions, with rate limits too high to
/// affect the tests.
pub async fn fleet(hosts_per_zone: usize, upstream_args: &[&str]) -> Fleet {
    let mut set = example("thanh-clockworks").unwrap();
    narrow(&mut set, &["bac-a", REMOTE_ZONE], 2);
    let in_remote_zone = |p: &cardamomroad::config::object::Pool| p.zone.as_str() == REMOTE_ZONE;
    set.pools
        .retain(|p| p.service.as_str() != "workbench" || in_remote_zone(p));
    for o in set.organisations.clone() {
        limit(&mut set, &o.name, 10_000, 10_000);
    }
    let builder = FleetBuilder::new(set).with_hosts_per_zone(hosts_per_zone);
    let builder = builder
        .with_upstream_args(upstream_args)
        .with_log_level("debug");
    let fleet = builder.start().await.unwrap();
    for organisation in [MAIN_ORGANISATION, OTHER_ORGANISATION] {
        fleet.wait_for_budget(organisation, 200).await.unwrap();
    }
    fleet
}

/// Returns a caller with the organisation's key.
pub fn caller(fleet: &Fleet, name: &str, organisation: &str, service: &str) -> Arc<Caller> {
    Arc::new(Caller::new(options(fleet, name, organisation, service)))
}

/// Returns the options of a caller with the organisation's key.
pub fn options(fleet: &Fleet, name: &str, organisation: &str, service: &str) -> Options {
    let options = fleet.caller(name, service);
    options.with_key(&demonstration_key(organisation))
}

/// Sends a request and retries it while it is refused with `rate`, `link` or
/// `overload`. Each such refusal must say that the request did not run.
pub async fn send_until_admitted(caller: &Caller, host: SocketAddr, ask: &Ask) -> Reply {
    let mut reply = caller.send_to(host, ask, None).await;
    for _ in 0..ADMIT_TRIES {
        let reason = reply.reason.as_deref().unwrap_or_default();
        if !["rate", "link", "overload"].contains(&reason) {
            break;
        }
        assert_eq!(reply.outcome.as_deref(), Some("not-run"), "{reply}");
        sleep(ADMIT_PAUSE).await;
        reply = caller.send_to(host, ask, None).await;
    }
    reply
}

/// Returns the request log entries of all upstreams, including processes that
/// crashed or were restarted.
pub fn all_entries(fleet: &Fleet) -> Vec<Entry> {
    let logs = fleet.upstreams().iter().map(|u| u.read_log_file().unwrap());
    logs.flatten().collect()
}

/// Returns how often the request of each token was started, over all upstreams.
pub fn starts(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut starts = BTreeMap::new();
    for entry in all_entries(fleet) {
        if entry.started_ms.is_some() {
            *starts.entry(entry.token).or_default() += 1;
        }
    }
    starts
}

/// Sends raw bytes on a new connection and returns everything received until it closes.
pub async fn raw(address: SocketAddr, request: &str) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        // The server may reset the connection after its answer.
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    };
    timeout(EXCHANGE_MAX, exchange).await.unwrap()
}
