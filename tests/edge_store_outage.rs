//! Upstreams that leave while the store fails, or seems to, under virtual time: at a host alone, and
//! at the leader of a zone and its followers.

#[path = "support/rollback_fleet.rs"]
mod rollback_fleet;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use cardamomroad::edge::{
    model::Standing,
    store_health::{
        StoreHealth,
        StoreState, //
    },
    topic::{
        Record,
        Topic, //
    },
};
use rollback_fleet::{
    FakeStore,
    Fault,
    Host,
    start_fleet,
    upstream, //
};
use tokio::time::{
    Instant,
    sleep,
    sleep_until, //
};

/// How long an upstream may get work after the store has accepted its removal.
const DRAIN: Duration = Duration::from_millis(2500);
/// Time after which upstreams that lapsed in an outage have registered again.
const REREGISTRATION: Duration = Duration::from_secs(2);

/// What disturbs the reads of the store as an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The waiting watches are closed this many times, 250 ms apart.
    Cuts(usize),
    /// The connections of the waiting watches go silent.
    Silence,
    /// All calls are refused for a moment.
    Refusals,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

async fn start(count: usize) -> (Arc<FakeStore>, Vec<Host>) {
    let (store, hosts) = start_fleet(None, count).await;
    assert_eq!(users(&hosts).await, names(&hosts));
    (store, hosts)
}

fn names(hosts: &[Host]) -> BTreeSet<String> {
    hosts.iter().map(|h| h.settings.host.to_string()).collect()
}

/// Returns the hosts that send requests to the upstream of zone `b`.
async fn users(hosts: &[Host]) -> BTreeSet<String> {
    let mut users = BTreeSet::new();
    for host in hosts {
        if host.used_zones().await.contains("b") {
            users.insert(host.settings.host.to_string());
        }
    }
    users
}

fn remove_upstream(store: &FakeStore) -> Instant {
    store.write(Topic::Upstreams, "u-b", None);
    Instant::now()
}

/// Fails where a failed call counts as an outage of the store, after which a removed upstream stays
/// in use because it may only have lapsed, and where the retries and waits of the host that reads
/// the store add up to more than the bound.
#[tokio::test(start_paused = true)]
async fn closed_and_silent_watches_do_not_keep_a_removed_upstream_in_use() {
    for trouble in [
        Trouble::Cuts(2),
        Trouble::Cuts(5),
        Trouble::Silence,
        Trouble::Refusals,
    ] {
        for count in [1, 3] {
            let (store, hosts) = start(count).await;
            for phase in 0..8 {
                store.write_upstream("b", Standing::Ready);
                sleep(ms(6000 + phase * 130)).await;
                assert_eq!(users(&hosts).await, names(&hosts));
                let removed = remove_during(&store, trouble).await;
                sleep_until(removed + DRAIN).await;
                let case = format!("{count} hosts, {trouble:?}, phase {phase}");
                assert_eq!(users(&hosts).await, BTreeSet::new(), "{case}");
            }
        }
    }
}

/// Removes the upstream of zone `b` just after the trouble has begun; returns when.
async fn remove_during(store: &FakeStore, trouble: Trouble) -> Instant {
    match trouble {
        Trouble::Cuts(_) => store.cut_watches(),
        Trouble::Silence => store.silence_watches(),
        Trouble::Refusals => store.set_fault(Some(Fault::Refused)),
    }
    sleep(ms(50)).await;
    let removed = remove_upstream(store);
    sleep(ms(250)).await;
    store.set_fault(None);
    if let Trouble::Cuts(cuts) = trouble {
        for _ in 1..cuts {
            store.cut_watches();
            sleep(ms(250)).await;
        }
    }
    removed
}

/// Fails where an outage is not told from a failed call, or only by the host that reads the store:
/// the registrations of running upstreams lapse while they cannot renew them.
#[tokio::test(start_paused = true)]
async fn upstreams_that_lapsed_in_an_outage_stay_in_use_until_they_are_back() {
    for (outage, fault) in [
        (ms(3300), Fault::Refused),
        (ms(6000), Fault::Refused),
        (ms(6000), Fault::Silent),
    ] {
        for count in [1, 3] {
            let (store, hosts) = start(count).await;
            for is_back in [true, false] {
                let case = format!("{count} hosts, {outage:?} {fault:?}, returns {is_back}");
                store.set_fault(Some(fault));
                sleep(outage).await;
                remove_upstream(&store);
                store.set_fault(None);
                let returned = Instant::now();
                while Instant::now() < returned + REREGISTRATION - ms(200) {
                    assert_eq!(users(&hosts).await, names(&hosts), "{case}");
                    sleep(ms(100)).await;
                }
                if is_back {
                    store.write_upstream("b", Standing::Ready);
                    sleep(ms(6000)).await;
                    assert_eq!(users(&hosts).await, names(&hosts), "{case}");
                    continue;
                }
                sleep_until(returned + REREGISTRATION + DRAIN).await;
                assert_eq!(users(&hosts).await, BTreeSet::new(), "{case}");
            }
        }
    }
}

/// Fails where the waits of the start outlast bounds that were tightened since: a silent connection is
/// then noticed too late.
#[tokio::test(start_paused = true)]
async fn tightened_bounds_hold_without_a_restart() {
    let tight = ms(1400);
    for count in [1, 3] {
        let (store, hosts) = start(count).await;
        for host in &hosts {
            let mut settings = host.settings.clone();
            settings.bounds.drain = tight;
            settings.bounds.adoption = tight;
            host.settings_tx.send_replace(Arc::new(settings));
        }
        for phase in 0..12 {
            store.write_upstream("b", Standing::Ready);
            sleep(ms(6000 + phase * 30)).await;
            let removed = remove_during(&store, Trouble::Silence).await;
            sleep_until(removed + tight).await;
            let case = format!("{count} hosts, phase {phase}");
            assert_eq!(users(&hosts).await, BTreeSet::new(), "{case}");
        }
    }
}

/// Fails where an entry of another writer, without a time of start, passes for a restart of an
/// upstream that is draining.
#[tokio::test(start_paused = true)]
async fn an_entry_without_a_time_of_start_does_not_end_a_drain() {
    let (store, hosts) = start(3).await;
    store.write_upstream("b", Standing::Draining);
    sleep(ms(1000)).await;
    let mut entry = upstream("b", Standing::Ready);
    entry.born = None;
    let record = Record::Upstream(Box::new(entry));
    store.write(Topic::Upstreams, "u-b", Some(record));
    for _ in 0..20 {
        sleep(ms(100)).await;
        assert_eq!(users(&hosts).await, BTreeSet::new());
    }
    store.write_upstream("b", Standing::Ready);
    sleep(ms(1500)).await;
    assert_eq!(users(&hosts).await, names(&hosts));
}

/// Fails where one refused call, or several that were sent together, end the host's role as the reader
/// of the store, which makes all others follow another one.
#[test]
fn only_repeated_failures_make_a_store_fail() {
    let t0 = Instant::now();
    let mut store = StoreHealth::new(ms(1500));
    store.record_answer(t0);
    store.record_failure(t0 + ms(900), t0, true);
    for _ in 0..4 {
        store.record_failure(t0 + ms(1010), t0 + ms(1000), false);
    }
    assert_eq!(store.state(), StoreState::Doubtful);
    store.record_failure(t0 + ms(1120), t0 + ms(1110), false);
    assert_eq!(store.state(), StoreState::Failing);
    store.record_answer(t0 + ms(1400));
    assert_eq!(store.state(), StoreState::Answering);
    assert_eq!(store.outage_ended_at(), None, "too short");
}

/// Fails where a failure of long ago makes an outage of the next time in which the relay is silent: the
/// relay's answers have ended it.
#[test]
fn answers_of_the_relay_end_a_failure() {
    let t0 = Instant::now();
    let mut store = StoreHealth::new(ms(1500));
    store.record_answer(t0);
    for sent in [2000, 2100] {
        store.record_failure(t0 + ms(sent + 10), t0 + ms(sent), false);
    }
    assert_eq!(store.state(), StoreState::Failing);
    for sent in [1900, 2500, 60_000] {
        store.record_relayed_answer(t0 + ms(sent));
    }
    assert_eq!(store.state(), StoreState::Answering);
    store.record_answer(t0 + ms(62_200));
    assert_eq!(store.outage_ended_at(), None);
}
