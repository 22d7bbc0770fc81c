//! A host never goes back to a lower configuration generation, and a new process never
//! starts with an outdated one.

use cardamomroad::{
    adoption::{
        ASK_RETRY_INTERVAL,
        Adopted,
        Adoption,
        Confirmation,
        FETCH_RETRY_INTERVAL,
        PEER_WAIT,
        Source,
        Step, //
    },
    util::id::{
        Generation,
        Version, //
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

fn peer(n: usize) -> Source {
    Source::Peer(format!("host-{n}").parse().expect("host"))
}

fn store(version: u64) -> Source {
    Source::Store(Version(version))
}

fn generation(n: u64) -> Option<Generation> {
    Some(Generation(n))
}

#[test]
fn only_higher_generations_are_adopted_whoever_offers() {
    let now = Instant::now();
    let mut a = Adoption::new();
    a.next_step(now);
    a.offer(store(9), generation(4));
    a.offer(peer(1), generation(4));
    a.offer(peer(2), generation(3));
    assert_eq!(a.adopt(now, Generation(4)), Adopted::InForce);
    let current = Generation(4);
    for n in [3, 4] {
        assert_eq!(a.adopt(now, Generation(n)), Adopted::Stale { current });
    }
    a.offer(peer(2), generation(3));
    assert!(matches!(a.next_step(now), Step::Wait { .. }));
    a.offer(peer(2), generation(6));
    let fetch = Step::Fetch {
        generation: Generation(6),
        source: peer(2),
    };
    assert_eq!(a.next_step(now), fetch);
    assert!(matches!(a.next_step(now), Step::Wait { .. }));
    assert_eq!(a.next_step(now + FETCH_RETRY_INTERVAL), fetch);
    a.fetch_failed(&peer(2));
    assert!(matches!(
        a.next_step(now + FETCH_RETRY_INTERVAL),
        Step::Wait { .. }
    ));
    assert_eq!(a.current(), generation(4));
}

#[test]
fn a_new_process_takes_the_highest_that_store_and_peers_offer() {
    let now = Instant::now();
    let mut a = Adoption::new();
    assert_eq!(a.next_step(now), Step::Ask);
    a.offer(store(3), generation(2));
    a.offer(peer(1), generation(5));
    assert!(matches!(a.next_step(now), Step::Wait { .. }));
    assert_eq!(a.adopt(now, Generation(5)), Adopted::Unconfirmed);
    let later = now + PEER_WAIT;
    let fetch = Step::Fetch {
        generation: Generation(5),
        source: peer(1),
    };
    assert_eq!(a.next_step(later), fetch);
    assert_eq!(a.adopt(later, Generation(2)), Adopted::Unconfirmed);
    assert_eq!(a.adopt(later, Generation(5)), Adopted::InForce);
}

/// A new host has no peers with a configuration, and the store returns a stale head.
#[test]
fn a_stale_store_alone_does_not_start_a_new_process() {
    let now = Instant::now();
    let mut a = Adoption::new();
    assert_eq!(a.next_step(now), Step::Ask);
    a.offer(store(3), generation(2));
    // A peer without a configuration does not show that the store's answer is current.
    a.offer(peer(1), None);
    let now = now + PEER_WAIT;
    let version = Version(3);
    assert_eq!(a.next_step(now), Step::Confirm { version });
    assert_eq!(a.adopt(now, Generation(2)), Adopted::Unconfirmed);
    let current = Some(Version(7));
    a.confirm(version, Confirmation::NotCurrent { current });
    assert_eq!(a.next_step(now), Step::Ask);
    // The same stale answer is ignored, so no confirmation is attempted.
    a.offer(store(3), generation(2));
    assert_eq!(a.next_step(now + ASK_RETRY_INTERVAL), Step::Ask);
    a.offer(store(7), generation(4));
    let now = now + ASK_RETRY_INTERVAL * 2;
    let version = Version(7);
    assert_eq!(a.next_step(now), Step::Confirm { version });
    a.confirm(version, Confirmation::Current { new: Version(8) });
    assert!(matches!(a.next_step(now), Step::Fetch { .. }));
    assert_eq!(a.adopt(now, Generation(4)), Adopted::InForce);
}

#[test]
fn a_late_confirmation_does_not_prove_a_later_read() {
    let t0 = Instant::now();
    let mut a = Adoption::new();
    a.next_step(t0);
    a.offer(store(3), generation(2));
    let version = Version(3);
    let now = t0 + PEER_WAIT;
    assert_eq!(a.next_step(now), Step::Confirm { version });
    a.offer(store(5), generation(4));
    a.confirm(version, Confirmation::Current { new: Version(4) });
    assert_eq!(a.adopt(now, Generation(4)), Adopted::Unconfirmed);
}

/// A new host starts while the store is unavailable and a peer has a configuration.
#[test]
fn a_peer_starts_a_new_process_without_the_store() {
    let now = Instant::now();
    let mut a = Adoption::new();
    assert_eq!(a.next_step(now), Step::Ask);
    a.offer(peer(1), generation(5));
    let now = now + PEER_WAIT;
    assert!(matches!(a.next_step(now), Step::Fetch { .. }));
    assert_eq!(a.adopt(now, Generation(5)), Adopted::InForce);
}

#[test]
fn without_store_and_peers_a_process_keeps_asking_and_never_starts() {
    let t0 = Instant::now();
    let mut a = Adoption::new();
    let mut asked = 0;
    for second in 0..60 {
        let now = t0 + Duration::from_secs(second);
        asked += u32::from(a.next_step(now) == Step::Ask);
        assert_eq!(a.adopt(now, Generation(9)), Adopted::Unconfirmed);
    }
    assert_eq!(asked, 60);
}

#[derive(Clone, Debug)]
enum Event {
    AdvanceMs(u64),
    Publish,
    StoreRead { back: usize },
    PeerOffer { peer: usize, back: u64 },
    Step { lost: bool },
}

fn event(peers: bool) -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..1_500_u64).prop_map(Event::AdvanceMs),
        1 => Just(Event::Publish),
        3 => (0..3_usize).prop_map(|back| Event::StoreRead { back }),
        if peers { 2 } else { 0 } =>
            (0..4_usize, 0..4_u64).prop_map(|(peer, back)| Event::PeerOffer { peer, back }),
        5 => any::<bool>().prop_map(|lost| Event::Step { lost }),
    ]
}

/// Runs random histories and returns in how many of them a configuration was adopted.
fn run_histories(peers: bool, seed: u64) -> u32 {
    let config = ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let ready = std::cell::Cell::new(0);
    let histories = proptest::collection::vec(event(peers), 1..160);
    let run = TestRunner::new(config).run(&histories, |events| {
        let mut now = Instant::now();
        let mut a = Adoption::new();
        // The generation at each version of the head object, starting with version 1.
        let mut head = vec![1_u64, 2, 3];
        let version = |head: &Vec<u64>| u64::try_from(head.len()).expect("version");
        let mut confirmed_at = None;
        let mut delayed = Vec::new();
        for event in events {
            let before = a.current();
            match event {
                Event::AdvanceMs(ms) => now += Duration::from_millis(ms),
                Event::Publish => head.push(head[head.len() - 1] + 1),
                Event::StoreRead { back } => {
                    let i = head.len() - 1 - back.min(head.len() - 1);
                    let v = u64::try_from(i + 1).expect("version");
                    a.offer(store(v), generation(head[i]));
                }
                Event::PeerOffer { peer: n, back } => {
                    let highest = head[head.len() - 1];
                    a.offer(peer(n), generation(highest.saturating_sub(back).max(1)));
                }
                Event::Step { lost } => match a.next_step(now) {
                    Step::Fetch { generation, .. } if lost => delayed.push(generation),
                    Step::Fetch { generation, .. } => {
                        a.adopt(now, generation);
                        if let Some(generation) = delayed.pop() {
                            a.adopt(now, generation);
                        }
                    }
                    Step::Confirm { version: v } => {
                        let current = Version(version(&head));
                        let mut answer = Confirmation::NotCurrent {
                            current: Some(current),
                        };
                        if current == v {
                            head.push(head[head.len() - 1]);
                            let new = Version(version(&head));
                            answer = Confirmation::Current { new };
                            confirmed_at.get_or_insert(head[head.len() - 1]);
                        }
                        if !lost {
                            a.confirm(v, answer);
                        }
                    }
                    _ => {}
                },
            }
            prop_assert!(a.current() >= before);
            if let (None, Some(first)) = (before, a.current()) {
                ready.set(ready.get() + 1);
                prop_assert!(peers || confirmed_at.is_some_and(|g| first.0 >= g));
            }
        }
        Ok(())
    });
    run.expect("no history goes back to a lower generation");
    ready.get()
}

#[test]
fn no_history_reverts() {
    let ready = run_histories(true, 13);
    assert!(ready > 300, "{ready} histories adopted");
}

#[test]
fn no_history_without_peers_starts_below_what_was_proved_current() {
    let ready = run_histories(false, 14);
    assert!(ready > 300, "{ready} histories adopted");
}
