//! At-most-once execution: no request id runs twice, whatever the order of duplicates,
//! answers and elapsed time.

use std::collections::HashMap;

use cardamomroad::{
    at_most_once::{
        AnswerHandle,
        AttemptEnd,
        BeginDecision,
        ONCE_WINDOW,
        Outcome,
        Permit,
        RequestFingerprint,
        StartedIds,
        may_send_again,
        stamp_at, //
    },
    util::id::{
        Incarnation,
        RequestId,
        Stamp, //
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

const REQUEST: RequestFingerprint = RequestFingerprint(7);
const TICK: Duration = Duration::from_secs(1);
const RAN: Outcome = Outcome::Ran {
    status: 200,
    answer: Some(AnswerHandle(1)),
};

fn id(stamp: u64, nonce: u32) -> RequestId {
    format!("bac-a-1/5/{stamp}/{nonce}").parse().expect("id")
}

fn table(started: Instant) -> StartedIds {
    StartedIds::new("bac-a-1".parse().expect("host"), Incarnation(5), started)
}

fn permit(begin: BeginDecision) -> Permit {
    match begin {
        BeginDecision::Run(permit) => permit,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_copy_never_runs() {
    let t0 = Instant::now();
    let mut once = table(t0);
    let first = permit(once.begin(t0, &id(0, 1), REQUEST));
    assert!(matches!(
        once.begin(t0, &id(0, 1), REQUEST),
        BeginDecision::InProgress
    ));
    once.finish(first, RAN);
    assert!(matches!(once.begin(t0, &id(0, 1), REQUEST), BeginDecision::Ended(o) if o == RAN));
    let other = RequestFingerprint(8);
    assert!(matches!(
        once.begin(t0, &id(0, 1), other),
        BeginDecision::DifferentRequest
    ));
}

#[test]
fn what_did_not_run_may_begin_again_and_leaves_nothing_behind() {
    let t0 = Instant::now();
    let mut once = table(t0).with_capacity(1);
    for _ in 0..3 {
        let p = permit(once.begin(t0, &id(0, 1), REQUEST));
        once.finish(p, Outcome::NotRun);
        assert!(once.is_empty());
    }
    let p = permit(once.begin(t0, &id(0, 1), REQUEST));
    once.finish(p, Outcome::Unknown);
    assert!(matches!(
        once.begin(t0, &id(0, 1), REQUEST),
        BeginDecision::Ended(Outcome::Unknown)
    ));
}

#[test]
fn a_dropped_permit_leaves_the_id_in_progress() {
    let t0 = Instant::now();
    let mut once = table(t0);
    let _lost = permit(once.begin(t0, &id(0, 1), REQUEST));
    assert!(matches!(
        once.begin(t0 + ONCE_WINDOW, &id(0, 1), REQUEST),
        BeginDecision::InProgress
    ));
}

#[test]
fn another_life_or_host_never_runs_it() {
    let t0 = Instant::now();
    let mut once = table(t0);
    for text in ["bac-a-1/4/0/1", "bac-a-1/6/0/1", "bac-a-2/5/0/1"] {
        let id = text.parse().expect("id");
        assert!(matches!(
            once.begin(t0, &id, REQUEST),
            BeginDecision::WrongIncarnation { .. }
        ));
    }
    assert!(matches!(
        once.begin(t0, &id(1, 1), REQUEST),
        BeginDecision::StampInFuture
    ));
}

/// A process that was paused for longer than the window refuses the ids from before the
/// pause when it resumes.
#[test]
fn a_late_copy_after_a_pause_is_refused() {
    let t0 = Instant::now();
    let mut once = table(t0);
    let p = permit(once.begin(t0, &id(0, 1), REQUEST));
    let woken = t0 + ONCE_WINDOW + TICK;
    assert!(matches!(
        once.begin(woken, &id(0, 1), REQUEST),
        BeginDecision::Expired
    ));
    assert!(matches!(
        once.begin(woken, &id(0, 2), REQUEST),
        BeginDecision::Expired
    ));
    once.tick(woken);
    once.finish(p, RAN);
    assert_eq!(once.take_released(), [AnswerHandle(1)]);
    assert!(matches!(
        once.begin(woken, &id(0, 1), REQUEST),
        BeginDecision::Expired
    ));
}

#[test]
fn a_full_table_refuses_and_forgets_nothing() {
    let t0 = Instant::now();
    let mut once = table(t0).with_capacity(2);
    let _a = permit(once.begin(t0, &id(0, 1), REQUEST));
    let _b = permit(once.begin(t0 + TICK, &id(1, 2), REQUEST));
    let now = t0 + ONCE_WINDOW;
    assert!(matches!(
        once.begin(now, &id(2, 3), REQUEST),
        BeginDecision::TableFull
    ));
    assert!(matches!(
        once.begin(now, &id(0, 1), REQUEST),
        BeginDecision::InProgress
    ));
    // The first id expires and makes room.
    let now = now + TICK;
    let _c = permit(once.begin(now, &id(2, 3), REQUEST));
    assert!(matches!(
        once.begin(now, &id(0, 1), REQUEST),
        BeginDecision::Expired
    ));
}

#[derive(Clone, Debug)]
enum Op {
    BeginDecision { stamp_back: u64, nonce: u32 },
    Finish { which: usize, outcome: Outcome },
    AdvanceMs(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![
        Just(RAN),
        Just(Outcome::NotRun),
        Just(Outcome::Unknown) //
    ];
    prop_oneof![
        6 => (0..14_u64, 0..3_u32).prop_map(|(stamp_back, nonce)| Op::BeginDecision { stamp_back, nonce }),
        3 => (any::<usize>(), outcome).prop_map(|(which, outcome)| Op::Finish { which, outcome }),
        2 => (0..9_000_u64).prop_map(Op::AdvanceMs),
    ]
}

/// In every random history, an id runs a second time only after a `NotRun` outcome.
#[test]
fn no_history_runs_an_id_twice() {
    let config = ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let histories = proptest::collection::vec(op(), 1..120);
    let run = runner.run(&histories, |ops| {
        let t0 = Instant::now();
        let mut now = t0;
        let mut once = table(t0)
            .with_window(Duration::from_secs(10))
            .with_capacity(12);
        let mut open: Vec<((u64, u32), Permit)> = Vec::new();
        let mut may_have_run: HashMap<(u64, u32), bool> = HashMap::new();
        for op in ops {
            match op {
                Op::AdvanceMs(ms) => now += Duration::from_millis(ms),
                Op::Finish { which, outcome } => {
                    if open.is_empty() {
                        continue;
                    }
                    let (key, permit) = open.swap_remove(which % open.len());
                    once.finish(permit, outcome);
                    may_have_run.insert(key, outcome != Outcome::NotRun);
                }
                Op::BeginDecision { stamp_back, nonce } => {
                    let Stamp(clock) = stamp_at(t0, now);
                    let key = (clock.saturating_sub(stamp_back), nonce);
                    let BeginDecision::Run(permit) = once.begin(now, &id(key.0, nonce), REQUEST)
                    else {
                        continue;
                    };
                    prop_assert_ne!(may_have_run.insert(key, true), Some(true));
                    open.push((key, permit));
                }
            }
            prop_assert!(once.len() <= 12);
        }
        Ok(())
    });
    run.expect("no id runs twice");
}

#[test]
fn only_what_provably_did_not_start_is_sent_again() {
    use AttemptEnd::{
        Answered,
        Broken,
        ConnectRefused,
        ConnectTimeout,
        NotStarted,
        Timeout, //
    };
    for end in [ConnectRefused, ConnectTimeout, NotStarted] {
        assert!(may_send_again(end, false), "{end:?}");
    }
    for end in [Answered, Broken, Timeout] {
        assert!(!may_send_again(end, false), "{end:?}");
    }
    assert!(may_send_again(Broken, true) && may_send_again(Timeout, true));
}
