//! Key look-up, the grow-only set of withdrawn keys, and the age of its data.

use std::collections::BTreeSet;

use cardamomroad::{
    config::object::Key,
    credential::{
        Credentials,
        KeyStatus,
        MAX_WITHDRAWAL_DATA_AGE,
        Quorum,
        StalePolicy,
        WithdrawnPage,
        WithdrawnRequest,
        withdrawn_set::WithdrawnSet, //
    },
    membership::{
        SetSummary, //
        WithdrawalDataAge,
    },
    util::id::{
        KeyDigest,
        ZoneName, //
    },
};
use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    },
};
use tokio::time::{
    Duration,
    Instant, //
};

const SECOND: Duration = Duration::from_secs(1);

fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn digest(n: u32) -> KeyDigest {
    KeyDigest::of(format!("key-{n}").as_bytes())
}

fn zone(n: usize) -> ZoneName {
    format!("zone-{n}").parse().expect("zone")
}

fn table(own: usize, zones: usize, quorum: Quorum, stale: StalePolicy) -> Credentials {
    let key = Key {
        name: "k".parse().expect("name"),
        organisation: "thanh".parse().expect("organisation"),
        digest: digest(1),
    };
    let zones: Vec<_> = (0..zones).map(zone).collect();
    let mut table = Credentials::new(zone(own), quorum, stale);
    table.set_keys(&[key], zones.iter());
    table
}

fn strict(own: usize, zones: usize) -> Credentials {
    table(own, zones, Quorum::AllZones, StalePolicy::Refuse)
}

fn is_accepted(status: &KeyStatus) -> bool {
    matches!(status, KeyStatus::Organisation(_))
}

/// Synchronises `to` with `from`: first the withdrawn keys, then the data ages.
fn sync_host(now: Instant, from: &Credentials, to: &mut Credentials) {
    let (set, freshness) = (from.summary(), from.freshness(now));
    let mut ask = Some(WithdrawnRequest::Latest);
    while let Some(next) = ask.filter(|_| !to.merge_peer_ages(now, set, &freshness)) {
        ask = to.merge_page(&from.page_for(&next));
    }
    assert!(to.merge_peer_ages(now, set, &freshness));
}

#[test]
fn a_key_has_the_standing_that_is_known() {
    let now = Instant::now();
    let mut keys = strict(0, 2);
    assert_eq!(keys.check(now, b"key-1"), KeyStatus::Stale);
    keys.record_store_read(now);
    assert!(is_accepted(&keys.check(now, b"key-1")));
    assert_eq!(keys.check(now, b"key-2"), KeyStatus::Unknown);
    let revision = keys.revision();
    assert_eq!(keys.withdraw([digest(1), digest(1)]), 1);
    assert!(keys.revision() > revision);
    assert_eq!(keys.check_digest(now, &digest(1)), KeyStatus::Withdrawn);
    // A key stays withdrawn when the configured keys are replaced.
    let again = strict(0, 2);
    keys.set_keys(&[], std::iter::empty());
    assert_eq!(keys.check(now, b"key-1"), KeyStatus::Withdrawn);
    assert_eq!(again.check(now, b"key-1"), KeyStatus::Stale);
}

#[test]
fn an_isolated_zone_refuses_keys_after_the_age_limit() {
    let t0 = Instant::now();
    let (mut keys, mut other) = (strict(0, 2), strict(1, 2));
    other.record_store_read(t0);
    sync_host(t0, &other, &mut keys);
    assert!(is_accepted(
        &keys.check(t0 + MAX_WITHDRAWAL_DATA_AGE, b"key-1")
    ));
    let late = t0 + MAX_WITHDRAWAL_DATA_AGE + SECOND;
    assert_eq!(keys.check(late, b"key-1"), KeyStatus::Stale);
    let mut lax = table(0, 2, Quorum::AllZones, StalePolicy::Allow);
    sync_host(t0, &other, &mut lax);
    assert!(is_accepted(&lax.check(late, b"key-1")));
    lax.withdraw([digest(1)]);
    assert_eq!(lax.check(late, b"key-1"), KeyStatus::Withdrawn);
}

#[test]
fn keys_stay_valid_in_a_store_outage_while_all_zones_answer() {
    let t0 = Instant::now();
    let mut keys = strict(0, 3);
    let mut majority = table(0, 3, Quorum::Majority, StalePolicy::Refuse);
    let (one, two) = (strict(1, 3), strict(2, 3));
    for second in 0..600 {
        let now = t0 + SECOND * second;
        for to in [&mut keys, &mut majority] {
            sync_host(now, &one, to);
            sync_host(now, &two, to);
        }
        assert!(is_accepted(&keys.check(now, b"key-1")), "at {second} s");
    }
    // One of the zones stops answering.
    for second in 600..640 {
        let now = t0 + SECOND * second;
        sync_host(now, &one, &mut keys);
        sync_host(now, &one, &mut majority);
    }
    let now = t0 + SECOND * 640;
    assert_eq!(keys.check(now, b"key-1"), KeyStatus::Stale);
    assert!(is_accepted(&majority.check(now, b"key-1")));
}

/// With a single zone, only the store shows that no withdrawal is missing.
#[test]
fn a_single_zone_is_fresh_by_the_store_only() {
    let now = Instant::now();
    let mut keys = strict(0, 1);
    assert_eq!(keys.withdrawal_data_age(now), None);
    keys.record_store_read(now);
    assert_eq!(keys.withdrawal_data_age(now + SECOND), Some(SECOND));
}

#[test]
fn ages_of_a_zone_are_relayed_by_other_zones() {
    let t0 = Instant::now();
    let (mut a, mut b, c) = (strict(0, 3), strict(1, 3), strict(2, 3));
    sync_host(t0, &c, &mut b);
    sync_host(t0 + SECOND * 3, &b, &mut a);
    assert_eq!(a.withdrawal_data_age(t0 + SECOND * 3), Some(SECOND * 3));
    // A host with other zones configured ignores the ages of zones.
    let mut moved = strict(2, 0);
    moved.set_keys(&[], [zone(2), zone(3), zone(4)].iter());
    sync_host(t0 + SECOND * 3, &b, &mut moved);
    assert_eq!(moved.withdrawal_data_age(t0 + SECOND * 3), None);
}

#[test]
fn relayed_ages_include_the_time_in_transit() {
    let now = Instant::now();
    let mut keys = strict(0, 3);
    keys.record_store_read(now);
    let freshness = keys.freshness(now + SECOND).aged_by(SECOND * 2);
    assert_eq!(freshness.store_tenths, 30);
    assert_eq!(freshness.zone_seconds.as_ref(), [2, u8::MAX, u8::MAX]);
    assert_eq!(
        WithdrawalDataAge::default().aged_by(SECOND),
        WithdrawalDataAge::default()
    );
}

/// Requests pages until nothing is missing; returns the size of all messages.
fn sync(from: &WithdrawnSet, to: &mut WithdrawnSet) -> usize {
    let mut bytes = 0;
    let mut ask = Some(WithdrawnRequest::Latest);
    while let Some(next) = ask {
        let page = from.page_for(&next);
        bytes += rmp_serde::to_vec(&next).expect("ask").len();
        bytes += rmp_serde::to_vec(&page).expect("page").len();
        ask = to.merge(&page);
    }
    assert!(to.covers(from.summary()));
    bytes
}

fn set(members: &[u32]) -> WithdrawnSet {
    let mut set = WithdrawnSet::new();
    for n in members {
        set.insert(digest(*n));
    }
    set
}

/// Merging is set union: order and repetition do not change the result.
#[test]
fn merging_is_commutative_and_idempotent() {
    let members = || proptest::collection::vec(0..400_u32, 0..80);
    let run = TestRunner::new(config(100, 16)).run(&(members(), members()), |(a, b)| {
        let (mut ab, mut ba) = (set(&a), set(&b));
        sync(&set(&b), &mut ab);
        sync(&set(&a), &mut ba);
        let union: BTreeSet<u32> = a.iter().chain(&b).copied().collect();
        prop_assert_eq!(ab.summary(), ba.summary());
        prop_assert_eq!(usize::try_from(ab.summary().count), Ok(union.len()));
        let before = ab.summary();
        sync(&set(&b), &mut ab);
        prop_assert_eq!(ab.summary(), before);
        for n in 0..400 {
            prop_assert_eq!(ab.contains(&digest(n)), union.contains(&n));
        }
        Ok(())
    });
    run.expect("union");
}

#[test]
fn a_set_of_many_pages_is_taken_over_whole() {
    let all: Vec<u32> = (0..20_000).collect();
    let full = set(&all);
    let mut empty = WithdrawnSet::new();
    let whole = sync(&full, &mut empty);
    assert_eq!(empty.summary(), full.summary());
    // A set that lacks only the latest member transfers just the latest members.
    let mut behind = set(&all[..19_999]);
    let one = sync(&full, &mut behind);
    println!("members=20000 whole_bytes={whole} one_missing_bytes={one}");
    assert!(one < 1_024, "{one} bytes");
}

/// Keys that the other host adds while its pages are read may be missing from
/// them, so the set must not claim to contain the other host's final set.
#[test]
fn members_added_between_pages_are_not_covered() {
    let mut full = set(&(0..5_000).collect::<Vec<_>>());
    let mut behind = set(&[90_000]);
    let mut ask = Some(WithdrawnRequest::Latest);
    let mut added = 100_000..;
    while let Some(next) = ask {
        ask = behind.merge(&full.page_for(&next));
        for n in added.by_ref().take(if ask.is_some() { 20 } else { 0 }) {
            full.insert(digest(n));
        }
    }
    let missed = (100_000..added.start).filter(|n| !behind.contains(&digest(*n)));
    assert!(missed.count() > 0);
    assert!(!behind.covers(full.summary()));
    assert!((0..5_000).all(|n| behind.contains(&digest(n))));
}

#[derive(Clone, Debug)]
enum Event {
    Pass(u64),
    Withdraw { at: usize },
    StoreUp(bool),
    StoreRead { at: usize },
    Ask { from: usize, to: usize },
    Deliver { which: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..4_000_u64).prop_map(Event::Pass),
        1 => (0..ZONES).prop_map(|at| Event::Withdraw { at }),
        1 => any::<bool>().prop_map(Event::StoreUp),
        2 => (0..ZONES).prop_map(|at| Event::StoreRead { at }),
        6 => (0..ZONES, 0..ZONES).prop_map(|(from, to)| Event::Ask { from, to }),
        6 => any::<usize>().prop_map(|which| Event::Deliver { which }),
    ]
}

const ZONES: usize = 4;

/// An answer in transit.
struct Answer {
    to: usize,
    requested_at: Instant,
    set: SetSummary,
    freshness: WithdrawalDataAge,
    latest: WithdrawnPage,
}

/// A host that reports its data as complete up to some instant knows all
/// withdrawals made before it.
///
/// Each withdrawal is sent to one zone, and to the store unless that is down.
#[test]
fn the_age_of_withdrawal_data_is_never_underestimated() {
    let fresh = std::cell::Cell::new(0_u32);
    let histories = proptest::collection::vec(event(), 20..200);
    let run = TestRunner::new(config(600, 17)).run(&histories, |events| {
        let mut now = Instant::now();
        let mut hosts: Vec<_> = (0..ZONES).map(|z| strict(z, ZONES)).collect();
        let mut store: BTreeSet<KeyDigest> = BTreeSet::new();
        let mut store_up = true;
        let mut withdrawn: Vec<(Instant, KeyDigest)> = Vec::new();
        let mut in_transit: Vec<Answer> = Vec::new();
        for event in events {
            match event {
                Event::Pass(ms) => now += Duration::from_millis(ms),
                Event::StoreUp(up) => {
                    // The zones write the withdrawals that they hold before any host reads.
                    store.extend(withdrawn.iter().filter(|_| up).map(|(_, d)| *d));
                    store_up = up;
                }
                Event::Withdraw { at } => {
                    let digest = digest(1_000 + u32::try_from(withdrawn.len()).expect("few"));
                    withdrawn.push((now, digest));
                    hosts[at].withdraw([digest]);
                    if store_up {
                        store.insert(digest);
                    }
                }
                Event::StoreRead { at } if store_up => {
                    hosts[at].withdraw(store.iter().copied());
                    hosts[at].record_store_read(now);
                }
                Event::StoreRead { .. } => {}
                Event::Ask { from, to } => in_transit.push(Answer {
                    to,
                    requested_at: now,
                    set: hosts[from].summary(),
                    freshness: hosts[from].freshness(now),
                    latest: hosts[from].page_for(&WithdrawnRequest::Latest),
                }),
                Event::Deliver { which } => {
                    if in_transit.is_empty() {
                        continue;
                    }
                    let answer = in_transit.swap_remove(which % in_transit.len());
                    let host = &mut hosts[answer.to];
                    if !host.merge_peer_ages(answer.requested_at, answer.set, &answer.freshness) {
                        host.merge_page(&answer.latest);
                        host.merge_peer_ages(answer.requested_at, answer.set, &answer.freshness);
                    }
                }
            }
            for host in &hosts {
                let Some(age) = host.withdrawal_data_age(now) else {
                    continue;
                };
                fresh.set(fresh.get() + 1);
                let since = now - age;
                for (at, digest) in &withdrawn {
                    let known = host.check_digest(now, digest) == KeyStatus::Withdrawn;
                    prop_assert!(known || *at >= since, "fresher than the withdrawal");
                }
            }
        }
        Ok(())
    });
    run.expect("no news is counted too fresh");
    assert!(fresh.get() > 5_000, "{} fresh hosts", fresh.get());
}
