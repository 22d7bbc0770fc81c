//! Leases have one holder at a time, despite process pauses, lost answers, stale reads and
//! clocks that run at different rates.

use cardamomroad::{
    chart::lease::LeaseState,
    error::StoreError,
    lease::{
        Action,
        Fence,
        LEASE_DURATION,
        LEASE_MARGIN,
        Lease,
        LeaseRecord,
        Term,
        candidate::candidates, //
    },
    store::Condition,
    util::id::{
        HostName,
        Incarnation,
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

const SECOND: Duration = Duration::from_secs(1);

/// A store with all versions of one lease record.
#[derive(Default)]
struct Store(Vec<LeaseRecord>);

impl Store {
    fn at(&self, versions_back: usize) -> Option<(Version, LeaseRecord)> {
        let i = self.0.len().checked_sub(1)?.saturating_sub(versions_back);
        let version = u64::try_from(i).expect("version") + 1;
        Some((Version(version), self.0[i].clone()))
    }

    fn put(&mut self, record: LeaseRecord, condition: Condition) -> Result<Version, StoreError> {
        let current = self.at(0).map(|(v, _)| v);
        let expected = match condition {
            Condition::Absent => None,
            Condition::At(v) => Some(v),
        };
        if current != expected {
            let key = "lease".to_owned();
            return Err(StoreError::Conflict { key, current });
        }
        self.0.push(record);
        Ok(self.at(0).expect("written").0)
    }
}

fn unanswered() -> StoreError {
    StoreError::Unanswered {
        address: "store".to_owned(),
        cause: "timeout".to_owned(),
    }
}

fn host(n: usize) -> HostName {
    format!("host-{n}").parse().expect("host")
}

fn lease(n: usize) -> Lease {
    Lease::new(host(n), Incarnation(1))
}

/// Runs one action of the lease against the store without faults, and returns the action.
fn step(lease: &mut Lease, store: &mut Store, now: Instant) -> Action {
    let action = lease.decide(now);
    match action.clone() {
        Action::Read => lease.observe(now, store.at(0)),
        Action::Acquire { record, condition } | Action::Renew { record, condition } => {
            let write = record.write;
            lease.answer(now, write, store.put(record, condition));
        }
        Action::Wait { .. } | Action::Hold { .. } | Action::Lost => {}
    }
    action
}

fn holder(n: usize, store: &mut Store, now: Instant) -> Lease {
    let mut lease = lease(n);
    while lease.active_term(now).is_none() {
        step(&mut lease, store, now);
    }
    lease
}

#[test]
fn a_taker_waits_a_duration_and_a_margin_of_silence() {
    let (mut store, t0) = (Store::default(), Instant::now());
    let _first = holder(1, &mut store, t0);
    let mut second = lease(2);
    let mut now = t0;
    while second.active_term(now).is_none() {
        step(&mut second, &mut store, now);
        now += SECOND / 4;
        assert!(now < t0 + LEASE_DURATION * 2);
    }
    assert!(now >= t0 + LEASE_DURATION + LEASE_MARGIN);
    assert_eq!(second.active_term(now), Some(Term(2)));
}

#[test]
fn a_renewed_lease_is_not_taken() {
    let (mut store, t0) = (Store::default(), Instant::now());
    let mut first = holder(1, &mut store, t0);
    let mut second = lease(2);
    for quarter in 0..400 {
        let now = t0 + SECOND / 4 * quarter;
        step(&mut first, &mut store, now);
        step(&mut second, &mut store, now);
        assert_eq!(first.active_term(now), Some(Term(1)));
        assert_eq!(second.active_term(now), None);
    }
}

#[test]
fn a_paused_holder_sees_on_waking_that_it_lapsed() {
    let (mut store, t0) = (Store::default(), Instant::now());
    let mut first = holder(1, &mut store, t0);
    let woken = t0 + LEASE_DURATION;
    assert_eq!(first.active_term(woken), None);
    assert_eq!(first.decide(woken), Action::Lost);
    assert_eq!(first.state(), LeaseState::Lost);
}

/// The lease duration starts when the write is sent, not when its answer arrives.
#[test]
fn a_late_answer_does_not_lengthen_the_lease() {
    let (mut store, t0) = (Store::default(), Instant::now());
    let mut lease = lease(1);
    step(&mut lease, &mut store, t0);
    let Action::Acquire { record, condition } = lease.decide(t0) else {
        panic!("expected Action::Acquire");
    };
    let write = record.write;
    let answer = store.put(record, condition);
    let late = t0 + LEASE_DURATION - SECOND;
    lease.answer(late, write, answer);
    assert_eq!(lease.active_term(late), Some(Term(1)));
    assert_eq!(lease.active_term(late + SECOND), None);
}

#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let (mut store, t0) = (Store::default(), Instant::now());
    let mut lease = lease(1);
    step(&mut lease, &mut store, t0);
    let Action::Acquire { record, condition } = lease.decide(t0) else {
        panic!("expected Action::Acquire");
    };
    let write = record.write;
    store.put(record, condition).expect("the write succeeds");
    lease.answer(t0 + SECOND, write, Err(unanswered()));
    assert_eq!(lease.active_term(t0 + SECOND), None);
    assert_eq!(lease.decide(t0 + SECOND), Action::Read);
    lease.observe(t0 + SECOND, store.at(0));
    assert_eq!(lease.active_term(t0 + SECOND), Some(Term(1)));
    assert_eq!(lease.active_term(t0 + LEASE_DURATION), None);
}

#[test]
fn a_stale_read_does_not_restart_the_wait() {
    let (mut store, t0) = (Store::default(), Instant::now());
    let mut first = holder(1, &mut store, t0);
    step(&mut first, &mut store, t0 + SECOND * 4);
    let mut second = lease(2);
    second.observe(t0 + SECOND * 5, store.at(0));
    for n in 6..16 {
        second.observe(t0 + SECOND * n, store.at(usize::from(n % 2 == 0)));
    }
    let expiry = t0 + SECOND * 5 + LEASE_DURATION + LEASE_MARGIN;
    second.observe(expiry, store.at(0));
    assert!(matches!(second.decide(expiry), Action::Acquire { .. }));
}

#[test]
fn a_released_lease_is_taken_at_once() {
    let (mut store, t0) = (Store::default(), Instant::now());
    let mut first = holder(1, &mut store, t0);
    let (record, condition) = first.release(t0 + SECOND).expect("the lease is held");
    assert_eq!(first.active_term(t0 + SECOND), None);
    store.put(record, condition).expect("released");
    let second = holder(2, &mut store, t0 + SECOND);
    assert_eq!(second.active_term(t0 + SECOND), Some(Term(2)));
    assert!(matches!(
        step(&mut first, &mut store, t0 + SECOND),
        Action::Wait { .. }
    ));
}

#[test]
fn readers_refuse_lower_terms() {
    let mut fence = Fence::default();
    assert!(fence.admit(Term(4)) && fence.admit(Term(4)));
    assert!(!fence.admit(Term(3)));
}

#[test]
fn few_hosts_try_for_a_lease_and_all_agree_on_them() {
    let hosts: Vec<_> = (0..217).map(host).collect();
    let forward = candidates("lease/relay/bac-a", hosts.iter());
    let backward = candidates("lease/relay/bac-a", hosts.iter().rev());
    assert_eq!(forward.len(), 3);
    assert_eq!(forward, backward);
}

/// What happens to a store call.
#[derive(Clone, Copy, Debug)]
enum CallFate {
    Answered,
    AnswerLost,
    AnswerLate,
    EffectLate,
    CallLost,
    Refused,
}

/// One step of a random history: time passes, then one host acts.
#[derive(Clone, Debug)]
struct Turn {
    host: usize,
    pass_ms: u64,
    pause_ms: u64,
    fate: CallFate,
    stale: usize,
}

fn turn() -> impl Strategy<Value = Turn> {
    let fate = prop_oneof![
        8 => Just(CallFate::Answered),
        1 => Just(CallFate::AnswerLost),
        1 => Just(CallFate::AnswerLate),
        1 => Just(CallFate::EffectLate),
        1 => Just(CallFate::CallLost),
        1 => Just(CallFate::Refused),
    ];
    let pause = prop_oneof![20 => Just(0_u64), 1 => 5_000..30_000_u64];
    let stale = prop_oneof![5 => Just(0_usize), 1 => 1..3_usize];
    (0..3_usize, 0..900_u64, pause, fate, stale).prop_map(
        |(host, pass_ms, pause_ms, fate, stale)| Turn {
            host,
            pass_ms,
            pause_ms,
            fate,
            stale,
        },
    )
}

/// The rates of the three hosts' clocks, in thousandths of the true rate.
const CLOCK_RATES_PERMILLE: [u64; 3] = [970, 1_000, 1_030];

/// A store call that is delayed: its answer, or its effect where there is no answer yet.
struct DelayedCall {
    host: usize,
    record: LeaseRecord,
    condition: Condition,
    answer: Option<Result<Version, StoreError>>,
}

/// At no time do two hosts hold the lease, and no term has two holders.
///
/// Random histories delay, lose and refuse store calls, return stale reads and pause hosts.
#[test]
fn no_history_has_two_holders() {
    let config = ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = TestRunner::new(config);
    let turns_held = std::cell::Cell::new(0_u32);
    let histories = proptest::collection::vec(turn(), 400..600);
    let run = runner.run(&histories, |turns| {
        let t0 = Instant::now();
        let mut store = Store::default();
        let mut hosts = [lease(0), lease(1), lease(2)];
        let mut paused_until = [0; 3];
        let mut late: Vec<DelayedCall> = Vec::new();
        let mut now_ms = 0;
        for turn in turns {
            now_ms += turn.pass_ms;
            let local =
                |h: usize| t0 + Duration::from_millis(now_ms * CLOCK_RATES_PERMILLE[h] / 1_000);
            let acting: Vec<_> = (0..3)
                .filter_map(|h| hosts[h].active_term(local(h)))
                .collect();
            prop_assert!(acting.len() <= 1, "{:?} at {} ms", acting, now_ms);
            turns_held
                .set(turns_held.get() + u32::try_from(acting.len()).expect("at most three hosts"));

            let h = turn.host;
            if now_ms < paused_until[h] {
                continue;
            }
            paused_until[h] = now_ms + turn.pause_ms;
            if turn.stale == 0 && late.len() > 2 {
                let call = late.swap_remove(0);
                let write = call.record.write;
                match call.answer {
                    Some(answer) => hosts[call.host].answer(local(call.host), write, answer),
                    None => drop(store.put(call.record, call.condition)),
                }
            }
            match hosts[h].decide(local(h)) {
                Action::Read if matches!(turn.fate, CallFate::CallLost) => {}
                Action::Read => hosts[h].observe(local(h), store.at(turn.stale)),
                Action::Acquire { record, condition } | Action::Renew { record, condition } => {
                    let write = record.write;
                    let now = local(h);
                    let mut queue = |answer| {
                        late.push(DelayedCall {
                            host: h,
                            record: record.clone(),
                            condition,
                            answer,
                        });
                    };
                    match turn.fate {
                        CallFate::Answered => {
                            hosts[h].answer(now, write, store.put(record, condition));
                        }
                        CallFate::AnswerLost => {
                            let _ = store.put(record, condition);
                            hosts[h].answer(now, write, Err(unanswered()));
                        }
                        CallFate::AnswerLate => queue(Some(store.put(record.clone(), condition))),
                        CallFate::EffectLate => queue(None),
                        CallFate::CallLost => hosts[h].answer(now, write, Err(unanswered())),
                        CallFate::Refused => {
                            let key = "lease".to_owned();
                            let refused = StoreError::Refused { key, status: 503 };
                            hosts[h].answer(now, write, Err(refused));
                        }
                    }
                }
                Action::Wait { .. } | Action::Hold { .. } | Action::Lost => {}
            }
        }
        let mut holder_of = std::collections::HashMap::new();
        for record in &store.0 {
            let holder = holder_of.entry(record.term).or_insert(&record.holder);
            prop_assert_eq!(*holder, &record.holder, "{:?}", record.term);
        }
        Ok(())
    });
    run.expect("one holder at a time");
    let held = turns_held.get();
    assert!(held > 5_000, "the lease was held in {held} turns");
}
