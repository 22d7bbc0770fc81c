//! Publication with lost answers, stale reads, races and an unavailable store.

#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "support/sets.rs"]
mod sets;
#[allow(dead_code, reason = "each test program uses a part of it")]
#[path = "support/store.rs"]
mod store;

use std::{
    collections::HashMap,
    future::Future,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cardamomroad::{
    adoption::Confirmation,
    config::{
        index::Index,
        object::{
            ConfigSet, //
            Pool,
        },
    },
    error::StoreError,
    publish::{
        PublishError,
        apply::{
            Publication,
            apply, //
        },
        chunk::split_into_chunks,
        confirm_head,
        head::{
            HEAD_KEY,
            Head,
            WriteId, //
        },
        read_head,
        reader::{
            Reader,
            Update,
            load_set,
            load_set_of_write, //
        },
        withdrawn::{
            WITHDRAWN_KEY,
            WithdrawnKeys,
            withdraw_key, //
        },
    },
    store::counted::CountedStore,
    util::id::{
        Generation,
        KeyDigest, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use sets::{
    example,
    example_with_blocks, //
};
use store::{
    FakeStore,
    Fault, //
};

/// What a relay may read per change: 8 KB a second, with one change every 12 s.
const CHANGE_MAX_BYTES: usize = 8_000 * 12;
/// The largest value that the platform's store accepts.
const VALUE_MAX_BYTES: usize = 1_000_000;
/// One write more than the head lists.
const WRITES_UNTIL_FORGOTTEN: u32 = 65;

fn run<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(test)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns the example with this burst, so that sets can be distinguished.
fn set(burst: u32) -> ConfigSet {
    let mut set = example("skyglass");
    set.organisations[0].burst = burst;
    set
}

fn write(id: u128) -> Publication {
    Publication::new(WriteId::new(id))
}

/// Returns all writes that were published, in order, with their generations.
fn in_force(store: &FakeStore) -> Vec<(Generation, WriteId)> {
    let mut writes = Vec::new();
    for (_, value) in store.history(HEAD_KEY) {
        let head = Head::decode(&value).unwrap();
        let write = head.recent[0];
        if writes.last() != Some(&(write.generation, write.id)) {
            writes.push((write.generation, write.id));
        }
    }
    writes
}

#[test]
fn published_set_is_loaded_as_it_was() {
    run(async {
        let store = FakeStore::new();
        assert_eq!(load_set(&store).await.unwrap(), None);
        let set = example("thanh-clockworks");
        let applied = apply(&store, set.clone(), write(1)).await.unwrap();
        assert_eq!(applied.generation, Generation(1));
        assert_eq!(load_set(&store).await.unwrap(), Some((Generation(1), set)));
    });
}

#[test]
fn faulty_set_is_not_published() {
    run(async {
        let store = FakeStore::new();
        let mut faulty = set(1);
        faulty.zones.clear();
        let refused = apply(&store, faulty, write(1)).await;
        assert!(
            matches!(refused, Err(PublishError::Invalid(_))),
            "{refused:?}"
        );
        assert!(store.history(HEAD_KEY).is_empty());
    });
}

#[test]
fn one_changed_block_alters_one_small_chunk() {
    run(async {
        let store = CountedStore::new(FakeStore::new());
        let mut set = example_with_blocks(20_000);
        apply(&store, set.clone(), write(1)).await.unwrap();
        let mut reader = Reader::new();
        reader.refresh(&store).await.unwrap();
        let near = set.blocks[1].near.clone();
        set.blocks[777].near = near;
        let applied = apply(&store, set.clone(), write(2)).await.unwrap();
        assert_eq!(applied.chunks, 1);
        assert!(
            applied.chunk_bytes + applied.head_bytes < CHANGE_MAX_BYTES,
            "{applied:?}"
        );
        let before = store.calls();
        let Some(Update::Delta(delta)) = reader.refresh(&store).await.unwrap() else {
            panic!("a delta");
        };
        assert_eq!(
            store.calls().reads - before.reads,
            2,
            "the head and one chunk"
        );
        assert_eq!(delta.changes.len(), 1);
        assert_eq!(delta.changes.blocks.put, [set.blocks[777].clone()]);
    });
}

#[test]
fn values_stay_far_under_the_platform_limit() {
    run(async {
        let store = FakeStore::new();
        apply(&store, example_with_blocks(60_000), write(1))
            .await
            .unwrap();
        let (_, head) = store.history(HEAD_KEY).pop().unwrap();
        for digest in Head::decode(&head).unwrap().manifest.all_chunks() {
            let (_, chunk) = store.history(&digest.key()).pop().unwrap();
            assert!(chunk.len() < VALUE_MAX_BYTES / 2);
        }
        assert!(head.len() < VALUE_MAX_BYTES / 2);
    });
}

#[test]
fn kind_of_large_objects_is_cut_into_more_chunks() {
    let mut set = example("skyglass");
    let pool = set.pools[0].clone();
    for i in 0..400_u16 {
        let ports = (0..1000).map(|port| format!("10.0.0.1:{}", 1000 + port).parse().unwrap());
        set.pools.push(Pool {
            name: format!("p{i}").parse().unwrap(),
            upstreams: ports.collect(),
            ..pool.clone()
        });
    }
    let (manifest, chunks) = split_into_chunks(&set, None).unwrap();
    for digest in manifest.all_chunks() {
        assert!(chunks.get(digest).unwrap().len() < VALUE_MAX_BYTES / 2);
    }
}

#[test]
fn lost_answer_is_resolved_by_reading_back() {
    run(async {
        let store = FakeStore::new();
        store.plan_put(HEAD_KEY, Fault::LostAfter);
        let applied = apply(&store, set(1), write(1)).await.unwrap();
        assert_eq!(
            (applied.generation, applied.read_back),
            (Generation(1), true)
        );
        assert_eq!(in_force(&store), [(Generation(1), WriteId::new(1))]);
    });
}

#[test]
fn lost_answer_is_resolved_after_another_operator_moved_on() {
    run(async {
        let store = FakeStore::new();
        store.plan_put(HEAD_KEY, Fault::LostAfter);
        let other = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for burst in 2..12 {
                apply(&store, set(burst), write(burst.into()))
                    .await
                    .unwrap();
            }
        };
        let (first, ()) = tokio::join!(apply(&store, set(1), write(1)), other);
        let first = first.unwrap();
        assert_eq!((first.generation, first.read_back), (Generation(1), true));
        assert_eq!(in_force(&store).len(), 11);
    });
}

#[test]
fn stale_answers_do_not_hide_a_write_that_took_effect() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        store.plan_get(HEAD_KEY, Fault::None);
        store.plan_put(HEAD_KEY, Fault::LostAfter);
        store.plan_get(HEAD_KEY, Fault::Stale(1));
        store.plan_get(HEAD_KEY, Fault::Stale(1));
        let applied = apply(&store, set(2), write(2)).await.unwrap();
        assert_eq!(
            (applied.generation, applied.read_back),
            (Generation(2), true)
        );
    });
}

#[test]
fn stale_answers_without_end_leave_the_outcome_unknown() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        store.plan_get(HEAD_KEY, Fault::None);
        store.plan_put(HEAD_KEY, Fault::LostAfter);
        for _ in 0..100 {
            store.plan_get(HEAD_KEY, Fault::Stale(1));
        }
        let unknown = apply(&store, set(2), write(2)).await;
        assert!(
            matches!(unknown, Err(PublishError::OutcomeUnknown { .. })),
            "{unknown:?}"
        );
        assert_eq!(in_force(&store).len(), 2);
    });
}

#[test]
fn lost_write_is_told_from_one_that_took_effect() {
    run(async {
        let store = FakeStore::new();
        store.plan_put(HEAD_KEY, Fault::LostBefore);
        let other = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            apply(&store, set(2), write(2)).await.unwrap();
        };
        let (first, ()) = tokio::join!(apply(&store, set(1), write(1)), other);
        let Err(PublishError::Conflict { current, .. }) = first else {
            panic!("{first:?}");
        };
        assert_eq!(current, Generation(1));
        assert_eq!(in_force(&store), [(Generation(1), WriteId::new(2))]);
    });
}

#[test]
fn outcome_is_unknown_once_the_head_has_forgotten() {
    run(async {
        let store = FakeStore::new();
        store.plan_put(HEAD_KEY, Fault::LostAfter);
        let others = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for burst in 2..2 + WRITES_UNTIL_FORGOTTEN {
                apply(&store, set(burst), write(burst.into()))
                    .await
                    .unwrap();
            }
        };
        let (first, ()) = tokio::join!(apply(&store, set(1), write(1)), others);
        assert!(
            matches!(first, Err(PublishError::OutcomeUnknown { .. })),
            "{first:?}"
        );
    });
}

#[test]
fn one_of_two_racing_operators_wins_and_the_other_learns_what_changed() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        store.plan_delays([Duration::from_millis(1); 100]);
        let (a, b) = tokio::join!(
            apply(&store, set(2), write(2)),
            apply(&store, set(3), write(3))
        );
        let (won, lost) = if a.is_ok() { (a, b) } else { (b, a) };
        assert_eq!(won.unwrap().generation, Generation(2));
        let Err(e @ PublishError::Conflict { .. }) = lost else {
            panic!("{lost:?}");
        };
        let text = e.to_string();
        assert!(
            text.contains("generation 2 is in force in place of 1"),
            "{text}"
        );
        assert!(
            text.contains("organisation central-counters burst: 1 -> "),
            "{text}"
        );
        assert_eq!(in_force(&store).len(), 2);
    });
}

#[test]
fn another_generation_than_the_expected_one_is_a_conflict() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        apply(&store, set(2), write(2)).await.unwrap();
        let late = apply(&store, set(3), write(3).with_expected(Generation(1))).await;
        let Err(PublishError::Conflict { changes, .. }) = late else {
            panic!("{late:?}");
        };
        assert_eq!(changes.unwrap().len(), 1);
        let publication = write(4).with_expected(Generation(2));
        assert!(apply(&store, set(3), publication).await.is_ok());
    });
}

#[test]
fn repeated_write_is_published_once() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        apply(&store, set(2), write(2)).await.unwrap();
        let again = apply(&store, set(1), write(1)).await.unwrap();
        assert_eq!(again.generation, Generation(1));
        let other = apply(&store, set(5), write(1)).await;
        assert_eq!(other, Err(PublishError::WriteIdReused(WriteId::new(1))));
        assert_eq!(in_force(&store).len(), 2);
    });
}

#[test]
fn repeated_write_tells_its_generation_though_the_first_read_is_stale() {
    run(async {
        let store = FakeStore::new();
        for burst in 1..5 {
            apply(&store, set(burst), write(burst.into()))
                .await
                .unwrap();
        }
        store.plan([Fault::Stale(2)]);
        let again = apply(&store, set(4), write(4)).await.unwrap();
        assert_eq!((again.generation, again.read_back), (Generation(4), true));
    });
}

#[test]
fn store_that_is_down_publishes_nothing_and_says_so() {
    run(async {
        let store = FakeStore::new();
        store.set_down(true);
        let down = apply(&store, set(1), write(1)).await;
        let refused = matches!(down, Err(PublishError::Store(StoreError::Refused { .. })));
        assert!(refused, "{down:?}");
        store.set_down(false);
        assert!(store.history(HEAD_KEY).is_empty());
    });
}

#[test]
fn store_that_goes_down_after_a_lost_answer_leaves_the_outcome_unknown() {
    run(async {
        let store = FakeStore::new();
        store.plan_put(HEAD_KEY, Fault::LostAfter);
        let goes_down = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            store.set_down(true);
        };
        let (unknown, ()) = tokio::join!(apply(&store, set(1), write(1)), goes_down);
        assert!(
            matches!(unknown, Err(PublishError::OutcomeUnknown { .. })),
            "{unknown:?}"
        );
        store.set_down(false);
        let again = apply(&store, set(1), write(1)).await.unwrap();
        assert_eq!(again.generation, Generation(1));
        assert_eq!(in_force(&store).len(), 1);
    });
}

#[test]
fn earlier_generations_can_be_read() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        apply(&store, set(2), write(2)).await.unwrap();
        let first = load_set_of_write(&store, WriteId::new(1)).await.unwrap();
        assert_eq!(first, Some(set(1)));
    });
}

#[test]
fn reader_never_goes_back() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        apply(&store, set(2), write(2)).await.unwrap();
        let mut reader = Reader::new();
        reader.refresh(&store).await.unwrap();
        store.plan([Fault::Stale(1)]);
        assert_eq!(reader.refresh(&store).await.unwrap(), None);
        assert_eq!(reader.generation(), Some(Generation(2)));
    });
}

#[test]
fn stale_first_read_is_found_by_a_write_that_changes_nothing() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        apply(&store, set(2), write(2)).await.unwrap();
        store.plan_get(HEAD_KEY, Fault::Stale(1));
        store.plan_get(HEAD_KEY, Fault::Stale(1));
        let stale = read_head(&store).await.unwrap().unwrap();
        assert_eq!(stale.head.generation(), Generation(1));
        let moved = confirm_head(&store, stale.version).await.unwrap();
        assert!(
            matches!(moved, Some(Confirmation::NotCurrent { .. })),
            "{moved:?}"
        );
        let now = read_head(&store).await.unwrap().unwrap();
        assert_eq!(now.head.generation(), Generation(2));
        let current = confirm_head(&store, now.version).await.unwrap();
        assert!(
            matches!(current, Some(Confirmation::Current { .. })),
            "{current:?}"
        );
        assert_eq!(in_force(&store).len(), 2);
    });
}

#[test]
fn confirmation_between_read_and_write_is_no_conflict() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        let held = read_head(&store).await.unwrap().unwrap();
        store.plan_put(HEAD_KEY, Fault::Refused);
        let confirmed = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            confirm_head(&store, held.version).await.unwrap()
        };
        let (applied, confirmed) = tokio::join!(apply(&store, set(2), write(2)), confirmed);
        assert!(
            matches!(confirmed, Some(Confirmation::Current { .. })),
            "{confirmed:?}"
        );
        assert_eq!(applied.unwrap().generation, Generation(2));
    });
}

#[test]
fn stale_read_is_no_conflict_with_the_expected_generation() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        apply(&store, set(2), write(2)).await.unwrap();
        store.plan([Fault::Stale(1)]);
        let publication = write(3).with_expected(Generation(2));
        assert_eq!(
            apply(&store, set(3), publication).await.unwrap().generation,
            Generation(3)
        );
    });
}

#[test]
fn altered_chunk_is_not_loaded() {
    run(async {
        let store = FakeStore::new();
        apply(&store, set(1), write(1)).await.unwrap();
        let (_, head) = store.history(HEAD_KEY).pop().unwrap();
        let head = Head::decode(&head).unwrap();
        let key = head.manifest.all_chunks().next().unwrap().key();
        store.overwrite(&key, Bytes::from_static(b"\x90"));
        assert_eq!(load_set(&store).await, Err(PublishError::ChunkLost(key)));
    });
}

#[test]
fn withdrawal_is_kept_once() {
    run(async {
        let store = FakeStore::new();
        let digest = KeyDigest::of(b"one");
        assert!(withdraw_key(&store, digest).await.unwrap());
        assert!(!withdraw_key(&store, digest).await.unwrap());
        assert_eq!(store.history(WITHDRAWN_KEY).len(), 1);
    });
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Refused),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        2 => (1..9_u32).prop_map(Fault::Late),
        2 => (1..4_usize).prop_map(Fault::Stale),
    ]
}

/// The faults of the calls to a store, and their durations in milliseconds.
#[derive(Clone, Debug)]
struct Plan {
    faults: Vec<Fault>,
    pauses_ms: Vec<u64>,
}

impl Plan {
    fn any() -> impl Strategy<Value = Self> {
        let faults = prop::collection::vec(fault(), 0..60);
        let pauses_ms = prop::collection::vec(0..150_u64, 0..60);
        (faults, pauses_ms).prop_map(|(faults, pauses_ms)| Self { faults, pauses_ms })
    }

    fn store(self) -> Arc<FakeStore> {
        let store = FakeStore::new();
        store.plan(self.faults);
        store.plan_delays(self.pauses_ms.into_iter().map(Duration::from_millis));
        Arc::new(store)
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// Each operator gets a result that matches the published writes,
    /// generations are consecutive, and a write reported as failed is never
    /// published later.
    #[test]
    fn racing_operators_get_results_that_match_the_store(plan in Plan::any(), operators in 1..4_u32) {
        let store = plan.store();
        let outcomes = run(async {
            let mut tasks = Vec::new();
            for id in 1..=operators {
                let store = store.clone();
                tasks.push(tokio::spawn(async move {
                    apply(&*store, set(id), write(id.into())).await
                }));
            }
            let mut outcomes = HashMap::new();
            for (id, task) in (1..).zip(tasks) {
                outcomes.insert(WriteId::new(id), task.await.unwrap());
            }
            outcomes
        });
        store.flush();
        let writes = in_force(&store);
        for (i, (generation, _)) in writes.iter().enumerate() {
            prop_assert_eq!(*generation, Generation(i as u64 + 1));
        }
        for (id, outcome) in outcomes {
            let found = writes.iter().filter(|(_, w)| *w == id).map(|(g, _)| *g);
            let found: Vec<_> = found.collect();
            match outcome {
                Ok(applied) => prop_assert_eq!(found, [applied.generation]),
                Err(PublishError::OutcomeUnknown { .. }) => prop_assert!(found.len() <= 1),
                Err(e) => prop_assert!(found.is_empty(), "{e} but {found:?}"),
            }
        }
    }

    /// A reader that follows a faulty store arrives at the current set, and
    /// applying its deltas gives the same set.
    #[test]
    fn reader_follows_through_faults(
        bursts in prop::collection::vec(1..50_u32, 1..8),
        faults in prop::collection::vec(fault(), 0..40),
    ) {
        run(async {
            let store = FakeStore::new();
            let mut reader = Reader::new();
            let mut held: Option<Index> = None;
            let mut faults = faults.into_iter();
            for (id, burst) in (1..).zip(&bursts) {
                apply(&store, set(*burst), write(id)).await.unwrap();
                let some: Vec<_> = faults.by_ref().take(5).collect();
                store.plan(some);
                for _ in 0..2 {
                    take(&mut held, reader.refresh(&store).await);
                }
                store.flush();
                store.forget_plan();
            }
            take(&mut held, reader.refresh(&store).await);
            let (generation, set) = load_set(&store).await.unwrap().unwrap();
            let held = held.unwrap();
            assert_eq!(held.generation(), generation);
            assert_eq!(held.to_whole_set(), set);
        });
    }

    /// Under lost and repeated calls, an acknowledged withdrawal persists, and
    /// no withdrawal removes another one.
    #[test]
    fn withdrawals_only_grow(plan in Plan::any(), operators in 1..4_u8) {
        let store = plan.store();
        let outcomes = run(async {
            let mut tasks = Vec::new();
            for key in 0..operators {
                let store = store.clone();
                let digest = KeyDigest::of(&[key]);
                tasks.push(tokio::spawn(async move {
                    (digest, withdraw_key(&*store, digest).await)
                }));
            }
            let mut outcomes = Vec::new();
            for task in tasks {
                outcomes.push(task.await.unwrap());
            }
            outcomes
        });
        store.flush();
        let mut last = WithdrawnKeys::default();
        for (_, value) in store.history(WITHDRAWN_KEY) {
            let next = WithdrawnKeys::decode(&value).unwrap();
            prop_assert!(last.iter().all(|digest| next.contains(digest)));
            last = next;
        }
        for (digest, outcome) in outcomes {
            prop_assert!(outcome.is_err() || last.contains(&digest));
        }
    }
}

fn take(held: &mut Option<Index>, update: Result<Option<Update>, PublishError>) {
    match update {
        Ok(Some(Update::Full(generation, set))) => {
            *held = Some(Index::new(generation, *set).unwrap());
        }
        Ok(Some(Update::Delta(delta))) => {
            *held = Some(held.as_ref().unwrap().with_delta(&delta).unwrap());
        }
        Ok(None) | Err(_) => (),
    }
}
