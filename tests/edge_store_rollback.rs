//! A store that comes back from an older copy, under virtual time.

#[path = "support/rollback_fleet.rs"]
mod rollback_fleet;

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

use cardamomroad::edge::{
    config_versions::{
        ConfigVersions,
        NEWER_VERSION_KEPT,
        OLDER_COPY_SUSPECTED, //
    },
    dispatcher::host_registration,
    message::TopicUpdate,
    model::{
        ConfigVersion,
        Standing, //
    },
    relay::{
        RelayQuery,
        SuspendAwareInstant,
        TopicCaches, //
    },
    rollback::{
        EVACUATION_KEPT,
        HOST_KEPT, //
    },
    store_era::{
        EraStep,
        EraTracker,
        LOWER_ERA_TIMEOUT, //
    },
    topic::{
        Change,
        Changes,
        Era,
        Position,
        Record,
        Revision,
        Source,
        Topic, //
    },
};
use rollback_fleet::{
    FakeStore,
    Host,
    configuration,
    start_fleet,
    start_host, //
};
use tokio::time::{
    Instant,
    sleep, //
};
use xtra::Mailbox;

const SECOND: Duration = Duration::from_secs(1);

fn position(era: u64, revision: u64) -> Option<Position> {
    Some(Position {
        era: Era(era),
        revision: Revision(revision),
    })
}

fn changes(era: Option<u64>, revision: u64, version: u64) -> Changes {
    Changes {
        changes: vec![Change {
            name: "main".to_owned(),
            record: Some(Record::Configuration(configuration(version))),
        }],
        revision: Revision(revision),
        era: era.map(Era),
        rewritten: Vec::new(),
    }
}

fn caches() -> TopicCaches {
    // Messages to the dispatcher are dropped.
    TopicCaches::new(Mailbox::unbounded().0)
}

/// Starts a fleet whose hosts use both upstreams.
async fn start(era: Option<u64>, count: usize) -> (Arc<FakeStore>, Vec<Host>) {
    let (store, hosts) = start_fleet(era, count).await;
    for host in &hosts {
        assert!(host.is_fresh().await);
        assert_eq!(host.used_zones().await, zones(&["a", "b"]));
    }
    (store, hosts)
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|z| (*z).to_owned()).collect()
}

/// Each rise counts, also by more than one. Lower eras are late unless nothing else arrives for
/// longer than a watch takes, and then other hosts cannot bring the higher one back.
#[test]
fn an_era_rises_at_once_and_falls_late() {
    let t0 = Instant::now();
    let changed = |old, new| EraStep::Changed {
        old: Era(old),
        new: Era(new),
    };
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.observe_store(Some(Era(4)), t0), EraStep::Current);
    assert_eq!(tracker.observe_store(Some(Era(7)), t0), changed(4, 7));
    assert_eq!(tracker.observe_store(None, t0), EraStep::Current);
    assert_eq!(tracker.known(), Some(Era(7)));
    assert_eq!(tracker.observe_report(Era(4)), EraStep::Late);
    assert_eq!(tracker.observe_store(Some(Era(4)), t0), EraStep::Late);
    // An answer in the known era shows that the lower ones were late.
    let t1 = t0 + LOWER_ERA_TIMEOUT;
    assert_eq!(tracker.observe_store(Some(Era(7)), t1), EraStep::Current);
    let t2 = t1 + SECOND;
    assert_eq!(tracker.observe_store(Some(Era(5)), t2), EraStep::Late);
    let t3 = t2 + LOWER_ERA_TIMEOUT;
    assert_eq!(tracker.observe_store(Some(Era(5)), t3), EraStep::Late);
    let t4 = t3 + SECOND;
    assert_eq!(tracker.observe_store(Some(Era(5)), t4), changed(7, 5));
    assert_eq!(tracker.observe_report(Era(7)), EraStep::Late);
    assert_eq!(tracker.observe_report(Era(8)), changed(5, 8));
}

/// The store assigns the revision of a waiting watch again. Its answer, a late answer of the older
/// era and a relay in that era would all bring older or mixed data.
#[tokio::test(start_paused = true)]
async fn answers_of_another_era_change_nothing() {
    const TOPIC: Topic = Topic::Configuration;
    let caches = caches();
    let apply = |base, news| caches.apply_read(TOPIC, base, news, SuspendAwareInstant::now());
    apply(None, TopicUpdate::Whole(changes(Some(1), 100, 3)));
    // The watch from (1, 100) is answered by the store of era 2, which has assigned 101 again.
    let step = apply(
        position(1, 100),
        TopicUpdate::Since(changes(Some(2), 101, 9)),
    );
    assert!(matches!(step, EraStep::Changed { .. }), "{step:?}");
    assert_eq!(caches.position(TOPIC), position(1, 100));
    assert_eq!(caches.watch_base(TOPIC), None, "the topic is to be listed");
    apply(None, TopicUpdate::Whole(changes(Some(2), 90, 4)));
    assert_eq!(caches.position(TOPIC), position(2, 90));
    for base in [None, position(1, 100), position(2, 90)] {
        let step = apply(base, TopicUpdate::Whole(changes(Some(1), 200, 5)));
        assert_eq!(step, EraStep::Late);
    }
    assert_eq!(caches.position(TOPIC), position(2, 90));
    assert_eq!(caches.configuration_version().map(|v| v.0), Some(4));
    // A relay that is still in era 1 is ignored, and its answers do not count as recent.
    let relay = self::caches();
    let news = TopicUpdate::Whole(changes(Some(1), 300, 8));
    relay.apply_read(TOPIC, None, news, SuspendAwareInstant::now());
    let query = RelayQuery {
        after: [None; 4],
        wait_ms: 0,
        configuration: None,
    };
    let answer = relay.answer(&query).await;
    let now = SuspendAwareInstant::now();
    caches.apply_relayed(&query, answer, now);
    assert_eq!(caches.position(TOPIC), position(2, 90));
    assert!(caches.relayed(TOPIC).is_none());
    // It learns the era from the follower, and has nothing for it until it has listed again.
    let after = caches.positions();
    let query = RelayQuery { after, ..query };
    assert!(relay.answer(&query).await.topics.is_empty());
    assert_eq!(relay.era(), Some(Era(2)));
    assert_eq!(relay.watch_base(TOPIC), None);
}

/// Without a rollback the header costs no call. With one each topic is listed once, by the host that
/// reads the store for the others, although the longest watch waits for 8 s.
#[tokio::test(start_paused = true)]
async fn a_rise_lists_each_topic_again_and_the_header_alone_costs_nothing() {
    let mut counts = Vec::new();
    for era in [None, Some(3)] {
        let (store, _hosts) = start(era, 3).await;
        sleep(60 * SECOND).await;
        counts.push(store.calls());
    }
    assert_eq!(counts[0], counts[1]);
    let (store, hosts) = start(Some(3), 3).await;
    let copy = store.copy();
    store.write_configuration(2);
    sleep(SECOND).await;
    let before = store.calls();
    store.go_back(&copy, 5);
    sleep(2 * SECOND).await;
    let after = store.calls();
    assert_eq!(after.0 - before.0, Topic::ALL.len());
    for host in &hosts {
        assert!(
            Topic::ALL
                .iter()
                .all(|t| host.caches.watch_base(*t).is_some())
        );
        assert_eq!(host.caches.era(), Some(Era(5)));
        assert_eq!(host.metrics.store_rollbacks.get(), 1);
    }
}

/// The store sends a lower era for good. Hosts that still have the higher one must not keep it alive
/// among themselves, and no host may trust keys on answers that it drops.
#[tokio::test(start_paused = true)]
async fn a_lower_era_that_stays_is_adopted_by_all_hosts() {
    let (store, hosts) = start(Some(5), 3).await;
    store.go_back(&store.copy(), 2);
    sleep(LOWER_ERA_TIMEOUT - SECOND).await;
    for host in &hosts {
        assert_eq!(host.caches.era(), Some(Era(5)));
        assert!(!host.is_fresh().await);
    }
    sleep(LOWER_ERA_TIMEOUT * 2).await;
    for host in &hosts {
        assert_eq!(host.caches.era(), Some(Era(2)));
        assert!(
            Topic::ALL
                .iter()
                .all(|t| host.caches.watch_base(*t).is_some())
        );
        assert!(host.is_fresh().await);
    }
}

/// Version 2 withdraws a key, and the store loses it. A host that starts then finds version 1 alone.
#[tokio::test(start_paused = true)]
async fn a_lost_withdrawal_stays_in_force_and_reaches_new_hosts() {
    let (store, mut hosts) = start(Some(1), 3).await;
    let copy = store.copy();
    store.write_configuration(2);
    sleep(SECOND).await;
    store.go_back(&copy, 2);
    for _ in 0..100 {
        sleep(SECOND / 10).await;
        assert!(hosts.iter().all(|h| h.version() == 2));
    }
    for host in &hosts {
        assert!(host.is_fresh().await, "it has the newest version");
    }
    let registry = hosts[0].registry();
    // The new host reads the store itself, since it replaces the one that did so.
    hosts.remove(0);
    let new = start_host("h0", &store, &registry).await;
    let end = Instant::now() + 20 * SECOND;
    while Instant::now() < end {
        sleep(SECOND / 100).await;
        assert!(
            new.version() == 2 || !new.is_fresh().await,
            "an old key works"
        );
    }
    assert!(new.is_fresh().await);
    // The operator writes the next version.
    store.write_configuration(3);
    sleep(2 * SECOND).await;
    assert!(new.version() == 3 && new.is_fresh().await);
}

/// Another host has a newer version. Shortly after a rise, the own reads may be of an older copy, so
/// that the trust in keys ends at once; otherwise it is an ordinary publication, and only the next
/// reads prove nothing. A version that no running host has must not block a fleet for ever.
#[test]
fn a_newer_version_elsewhere_ends_the_trust_in_keys_for_a_limited_time() {
    let t0 = Instant::now();
    let (own, newer) = (Some(ConfigVersion(4)), Some(ConfigVersion(5)));
    let mut versions = ConfigVersions::default();
    versions.observe_era(t0, Era(2));
    assert!(versions.blocks_keys(t0, own), "a new process has to listen");
    versions.hear(t0, newer);
    assert!(versions.blocks_keys(t0, own));
    assert!(!versions.blocks_keys(t0, newer));
    assert!(versions.may_confirm(t0, newer));
    let forgotten = t0 + NEWER_VERSION_KEPT;
    assert!(!versions.may_confirm(forgotten - SECOND, own));
    assert!(versions.may_confirm(forgotten, own));
    let later = forgotten + OLDER_COPY_SUSPECTED;
    versions.hear(later, newer);
    assert!(!versions.blocks_keys(later, own));
    assert!(!versions.may_confirm(later, own));
    versions.observe_era(later, Era(3));
    assert!(versions.blocks_keys(later, own));
}

/// The upstream of zone `b` drains, and later that of `a` is removed. An older copy lists both as
/// ready, also for a host that starts then and gets its data from another one.
#[tokio::test(start_paused = true)]
async fn a_start_that_left_gets_nothing_until_it_is_written_again() {
    let (store, mut hosts) = start(Some(1), 2).await;
    let copy = store.copy();
    store.write_upstream("b", Standing::Draining);
    sleep(SECOND).await;
    store.go_back(&copy, 2);
    sleep(2 * SECOND).await;
    let new = start_host("h2", &store, &hosts[0].registry()).await;
    hosts.push(new);
    sleep(2 * SECOND).await;
    for host in &hosts {
        assert_eq!(host.used_zones().await, zones(&["a"]));
    }
    // A second rollback changes nothing.
    store.go_back(&copy, 3);
    sleep(20 * SECOND).await;
    for host in &hosts[..2] {
        assert_eq!(host.used_zones().await, zones(&["a"]));
    }
    store.write_upstream("b", Standing::Ready);
    sleep(SECOND).await;
    store.write(Topic::Upstreams, "u-a", None);
    sleep(2 * SECOND).await;
    for host in &hosts {
        assert_eq!(host.used_zones().await, zones(&["b"]));
    }
    store.go_back(&copy, 4);
    sleep(2 * SECOND).await;
    for host in &hosts {
        assert_eq!(host.used_zones().await, zones(&["b"]));
    }
}

/// An evacuation that the store has lost stays in force for a while; one that reappears is honoured.
#[tokio::test(start_paused = true)]
async fn evacuations_survive_and_reappear() {
    let (store, hosts) = start(Some(1), 2).await;
    let evacuation = || Some(Record::Evacuation("b".parse().expect("zone")));
    let without = store.copy();
    store.write(Topic::Evacuations, "b", evacuation());
    sleep(2 * SECOND).await;
    let with = store.copy();
    store.go_back(&without, 2);
    sleep(EVACUATION_KEPT - 2 * SECOND).await;
    for host in &hosts {
        assert_eq!(host.used_zones().await, zones(&["a"]), "lost");
    }
    sleep(5 * SECOND).await;
    for host in &hosts {
        assert_eq!(host.used_zones().await, zones(&["a", "b"]), "not written");
    }
    store.go_back(&with, 3);
    sleep(2 * EVACUATION_KEPT).await;
    for host in &hosts {
        assert_eq!(host.used_zones().await, zones(&["a"]), "reappeared");
    }
    store.write(Topic::Evacuations, "b", None);
    sleep(5 * SECOND).await;
    for host in &hosts {
        assert_eq!(host.used_zones().await, zones(&["a", "b"]), "removed");
    }
}

/// The copy lacks the registrations of all hosts. Those that still send messages stay known until
/// they have registered again; a host learns that it has to.
#[tokio::test(start_paused = true)]
async fn hosts_that_the_store_has_lost_stay_known() {
    let store = FakeStore::new(Some(1));
    store.write_configuration(1);
    store.write_upstream("a", Standing::Ready);
    let empty = store.copy();
    let registry = Arc::default();
    let mut hosts = Vec::new();
    for name in ["h0", "h1", "h2"] {
        hosts.push(start_host(name, &store, &registry).await);
    }
    sleep(10 * SECOND).await;
    drop(hosts.pop());
    sleep(5 * SECOND).await;
    store.go_back(&empty, 2);
    let name = hosts[1].settings.host.clone();
    let lost = hosts[1].caches.registration_lost(&name, Some(Era(1))).await;
    assert_eq!(lost, Era(2));
    sleep(HOST_KEPT / 2).await;
    assert_eq!(hosts[0].known_hosts().await, zones(&["h1"]));
    for host in &hosts {
        let entry = host_registration(&host.settings);
        store.register(&entry).await.expect("the store accepts it");
    }
    sleep(2 * HOST_KEPT).await;
    assert_eq!(hosts[0].known_hosts().await, zones(&["h1"]));
}
