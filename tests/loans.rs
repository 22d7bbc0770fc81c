//! A loan between two hosts whose messages arrive late, twice or never.

use std::{
    sync::Arc,
    time::Duration, //
};

use cardamomroad::{
    bucket::Quota,
    budget::{
        AdoptError,
        Attempt,
        Budgets,
        Debit,
        PAUSE_MAX,
        Refusal, //
        ShareInputs,
    },
    ledger::Revision,
    loan::{
        DRIFT_MARGIN,
        LOAN_DURATION,
        LoanMessage,
        LoanReply,
        LoanRequest,
        LoanReturn,
        RESTART_WITHHOLD, //
    },
    share::Resource,
    util::id::Incarnation, //
};
use tokio::time::Instant;

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "only some of its functions are used here")]
mod fleet;

use fleet::{
    fleet_quota, //
    ledger_of,
    member,
    organisation,
};

const QUOTA: Quota = Quota::new(100_000, 50_000);
const TICK: Duration = Duration::from_millis(100);

fn share_inputs(host: usize, revision: u64, hosts: usize) -> Arc<ShareInputs> {
    let members: Vec<_> = (0..hosts).map(|i| member(0, i)).collect();
    Arc::new(ShareInputs {
        fleet_quotas: vec![fleet_quota(QUOTA)],
        member: member(0, host),
        ledger: ledger_of(revision, &members),
        others: Vec::new(),
    })
}

/// Two hosts, the borrower first, whose shares are no longer withheld after the start.
struct Pair {
    now: Instant,
    hosts: [Budgets; 2],
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        let host = |i| {
            let mut budgets = Budgets::new(member(0, i).name, Incarnation(1), now);
            budgets.adopt(now, now, share_inputs(i, 1, 2)).unwrap();
            budgets
        };
        let mut pair = Self {
            now,
            hosts: [host(0), host(1)],
        };
        pair.advance(RESTART_WITHHOLD + Duration::from_secs(1));
        pair
    }

    /// Advances the time in ticks, without any message.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + TICK).min(end);
            for host in &mut self.hosts {
                host.on_tick(self.now);
            }
        }
    }

    /// Puts load on the borrower and returns the loan request that it sends.
    fn request_loan(&mut self) -> LoanRequest {
        for _ in 0..60 {
            self.hosts[0].debit(self.now, &organisation(), Attempt::First);
        }
        for (_, msg) in self.hosts[0].loan_messages(self.now) {
            if let LoanMessage::Request(req) = msg {
                return req;
            }
        }
        panic!("the host under load sent no loan request");
    }

    fn lend(&mut self, req: &LoanRequest) -> LoanReply {
        self.hosts[1].on_loan_request(self.now, req).unwrap()
    }

    fn quota(&mut self, i: usize) -> Quota {
        let resource = Resource::Organisation(organisation());
        self.hosts[i].quota(self.now, &resource)
    }

    /// Asserts that the two hosts together may spend no more than the quota.
    fn assert_within(&mut self) {
        let sum = self.quota(0).plus(self.quota(1));
        assert!(sum.min(QUOTA) == sum, "{sum:?}");
    }
}

#[test]
fn the_lender_withholds_from_its_answer_and_the_borrower_counts_from_its_question() {
    let mut pair = Pair::new();
    let own = pair.quota(0);
    let req = pair.request_loan();
    pair.advance(Duration::from_secs(2));
    let reply = pair.lend(&req);
    assert!(!reply.granted.is_zero());
    pair.assert_within();
    pair.advance(Duration::from_secs(1));
    let (now, asked_before) = (pair.now, Duration::from_secs(3));
    pair.hosts[0].on_loan_reply(now, &reply);
    pair.assert_within();
    pair.advance(LOAN_DURATION - asked_before - Duration::from_nanos(1));
    assert_eq!(pair.quota(0), own.plus(reply.granted));
    pair.advance(Duration::from_nanos(1));
    assert_eq!(pair.quota(0), own);
    // The reply was sent two seconds after the request.
    pair.advance(Duration::from_secs(2) + DRIFT_MARGIN - Duration::from_nanos(1));
    assert_eq!(pair.quota(1), own.minus(reply.granted));
    pair.advance(Duration::from_nanos(1));
    assert_eq!(pair.quota(1), own);
}

#[test]
fn an_answer_after_the_lapse_brings_nothing() {
    let mut pair = Pair::new();
    let own = pair.quota(0);
    let req = pair.request_loan();
    let reply = pair.lend(&req);
    pair.advance(LOAN_DURATION);
    let now = pair.now;
    pair.hosts[0].on_loan_reply(now, &reply);
    assert_eq!(pair.quota(0), own);
}

#[test]
fn a_repeated_request_gets_the_same_answer_and_an_older_one_none() {
    let mut pair = Pair::new();
    let first = pair.request_loan();
    let reply = pair.lend(&first);
    assert_eq!(pair.lend(&first), reply);
    pair.advance(Duration::from_millis(600));
    let second = pair.request_loan();
    pair.lend(&second);
    let now = pair.now;
    assert_eq!(pair.hosts[1].on_loan_request(now, &first), None);
    // The reply to the first request is ignored after a second request was sent.
    let before = pair.quota(0);
    pair.hosts[0].on_loan_reply(now, &reply);
    assert_eq!(pair.quota(0), before);
    pair.assert_within();
}

#[test]
fn a_return_that_comes_late_or_twice_frees_nothing_that_was_lent_since() {
    let mut pair = Pair::new();
    let req = pair.request_loan();
    let reply = pair.lend(&req);
    let now = pair.now;
    pair.hosts[0].on_loan_reply(now, &reply);
    pair.advance(Duration::from_millis(2500));
    let second = pair.request_loan();
    let reply = pair.lend(&second);
    let now = pair.now;
    pair.hosts[0].on_loan_reply(now, &reply);
    assert!(!reply.granted.is_zero());
    // A return that is not newer than the second request arrives after it, twice.
    let returned = LoanReturn {
        resource: req.resource,
        borrower: req.borrower,
        incarnation: req.incarnation,
        sequence: second.sequence,
        held: Quota::default(),
        tokens: 5_000,
    };
    for _ in 0..2 {
        pair.hosts[1].on_loan_return(now, &returned);
        pair.assert_within();
    }
}

#[test]
fn a_smaller_share_is_acknowledged_once_nothing_more_is_lent_than_it_holds() {
    let mut pair = Pair::new();
    let req = pair.request_loan();
    let reply = pair.lend(&req);
    assert!(reply.granted.rate > QUOTA.rate / 4);
    let now = pair.now;
    assert_eq!(pair.hosts[1].acknowledged(now), Some(Revision(1)));
    pair.hosts[1]
        .adopt(now, now, share_inputs(1, 2, 4))
        .unwrap();
    assert_eq!(pair.hosts[1].acknowledged(now), None);
    pair.advance(LOAN_DURATION + DRIFT_MARGIN);
    let now = pair.now;
    assert_eq!(pair.hosts[1].acknowledged(now), Some(Revision(2)));
}

#[test]
fn an_older_ledger_and_one_asked_for_before_a_pause_are_not_adopted() {
    let mut pair = Pair::new();
    let asked_at = pair.now;
    pair.hosts[0]
        .adopt(asked_at, asked_at, share_inputs(0, 5, 2))
        .unwrap();
    let older = pair.hosts[0].adopt(asked_at, asked_at, share_inputs(0, 4, 2));
    let (held, offered) = (Revision(5), Revision(4));
    assert_eq!(older, Err(AdoptError::Older { held, offered }));
    // The process pauses: no call at all.
    pair.now += PAUSE_MAX;
    let now = pair.now;
    let debit = pair.hosts[0].debit(now, &organisation(), Attempt::First);
    assert_ne!(debit, Debit::Granted);
    assert!(pair.hosts[0].needs_validation());
    let before = pair.hosts[0].adopt(now, asked_at, share_inputs(0, 6, 2));
    assert_eq!(before, Err(AdoptError::RequestedBeforePause));
    pair.hosts[0]
        .adopt(now, now, share_inputs(0, 6, 2))
        .unwrap();
    assert!(!pair.quota(0).is_zero());
}

#[test]
fn unknown_and_stopping_are_refused_with_their_reason() {
    let mut pair = Pair::new();
    let refused = |debit| match debit {
        Debit::Refused { reason, .. } => reason,
        other => panic!("{other:?}"),
    };
    let now = pair.now;
    let other = "nobody".parse().unwrap();
    let debit = pair.hosts[0].debit(now, &other, Attempt::First);
    assert_eq!(refused(debit), Refusal::Unknown);
    pair.hosts[0].return_all(now);
    let debit = pair.hosts[0].debit(now, &organisation(), Attempt::First);
    assert_eq!(refused(debit), Refusal::Stopping);
    assert!(pair.hosts[0].is_released(now));
}

#[test]
fn messages_survive_the_codec_within_a_hundred_bytes() {
    let mut pair = Pair::new();
    let req = pair.request_loan();
    let reply = pair.lend(&req);
    let buf = rmp_serde::to_vec(&LoanMessage::Request(req.clone())).unwrap();
    println!("request={}", buf.len());
    assert!(buf.len() <= 100);
    let back: LoanMessage = rmp_serde::from_slice(&buf).unwrap();
    assert_eq!(back, LoanMessage::Request(req));
    let buf = rmp_serde::to_vec(&reply).unwrap();
    println!("reply={}", buf.len());
    assert!(buf.len() <= 100);
    assert_eq!(rmp_serde::from_slice::<LoanReply>(&buf).unwrap(), reply);
}
