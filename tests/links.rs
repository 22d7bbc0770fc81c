//! The bytes on a link stay under its cap in every sliding minute, and uploads with a
//! reserved rate never stall.

use std::{
    sync::Arc,
    time::Duration, //
};

use cardamomroad::{
    bucket::Quota,
    budget::{
        Attempt,
        Budgets,
        ShareInputs, //
    },
    link::{
        CHUNK_BYTES,
        LinkAdmission,
        Links,
        PayResult,
        ReservationId,
        SendAllowance,
        quota, //
    },
    share::{
        FleetQuota, //
        Resource,
    },
    util::{
        id::{
            Incarnation,
            ObjectName, //
        },
        units::{
            BitRate,
            ByteSize, //
        },
    },
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};
use tokio::time::Instant;

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "only some of its functions are used here")]
mod fleet;

const CAP: BitRate = BitRate(280_000_000);
const STEP: Duration = Duration::from_millis(5);

fn name() -> ObjectName {
    "bac-trung".parse().unwrap()
}

/// One transfer, with the bytes that it still has to send and the time of its next try.
struct Transfer {
    payer: SendAllowance,
    remaining: u64,
    attempt: Attempt,
    next: Instant,
}

/// One of the two hosts in the sending region.
struct Sender {
    budgets: Budgets,
    links: Links,
    transfers: Vec<Transfer>,
}

/// The sending region, with the time and size of every chunk sent.
struct Region {
    now: Instant,
    senders: Vec<Sender>,
    sent: Vec<(Instant, u64)>,
}

impl Region {
    fn new() -> Self {
        let now = Instant::now();
        let members: Vec<_> = (0..2).map(|i| fleet::member(0, i)).collect();
        let ledger = fleet::ledger_of(1, &members);
        let mut region = Self {
            now,
            senders: Vec::new(),
            sent: Vec::new(),
        };
        for member in members {
            let share_inputs = ShareInputs {
                fleet_quotas: vec![FleetQuota {
                    resource: Resource::Link(name()),
                    quota: quota(CAP),
                    region: Some(fleet::zone(0).region),
                }],
                member: member.clone(),
                ledger: ledger.clone(),
                others: Vec::new(),
            };
            let mut budgets = Budgets::new(member.name, Incarnation(1), now);
            budgets.adopt(now, now, Arc::new(share_inputs)).unwrap();
            region.senders.push(Sender {
                budgets,
                links: Links::new(),
                transfers: Vec::new(),
            });
        }
        // Waits until the hosts' own shares are no longer withheld after the start.
        region.run(Duration::from_secs(5));
        region
    }

    fn start(&mut self, sender: usize, payer: SendAllowance, bytes: u64) {
        self.senders[sender].transfers.push(Transfer {
            payer,
            remaining: bytes,
            attempt: Attempt::First,
            next: self.now,
        });
    }

    fn reserve(&mut self, sender: usize, rate: u64) -> Option<ReservationId> {
        let s = &mut self.senders[sender];
        s.links
            .reserve(self.now, &mut s.budgets, &name(), ByteSize(rate))
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for i in 0..self.senders.len() {
                self.send(i);
                self.exchange_loans(i);
            }
        }
    }

    fn send(&mut self, i: usize) {
        let (now, s) = (self.now, &mut self.senders[i]);
        for t in &mut s.transfers {
            while t.remaining > 0 && t.next <= now {
                let bytes = t.remaining.min(CHUNK_BYTES);
                let (links, budgets) = (&mut s.links, &mut s.budgets);
                let size = ByteSize(bytes);
                match links.pay(now, budgets, &name(), t.payer, size, t.attempt) {
                    PayResult::Paid => {
                        self.sent.push((now, bytes));
                        t.remaining -= bytes;
                        t.attempt = Attempt::First;
                    }
                    PayResult::Wait { until } => {
                        t.next = until;
                        t.attempt = Attempt::Retry { since: now };
                    }
                }
            }
        }
        s.transfers.retain(|t| t.remaining > 0);
    }

    /// Delivers a host's loan messages to the other one, and the replies, without delay.
    fn exchange_loans(&mut self, i: usize) {
        let now = self.now;
        let messages = self.senders[i].budgets.loan_messages(now);
        let lender = &mut self.senders[1 - i].budgets;
        let mut replies = Vec::new();
        for (_, msg) in messages {
            match msg {
                cardamomroad::loan::LoanMessage::Request(req) => {
                    replies.extend(lender.on_loan_request(now, &req));
                }
                cardamomroad::loan::LoanMessage::Return(ret) => lender.on_loan_return(now, &ret),
            }
        }
        for reply in replies {
            self.senders[i].budgets.on_loan_reply(now, &reply);
        }
    }

    /// Returns the largest number of bytes sent in any sliding minute.
    fn busiest_minute(&self) -> u64 {
        let (mut sum, mut max_bytes, mut first) = (0, 0, 0);
        for (at, bytes) in &self.sent {
            sum += bytes;
            while *at - self.sent[first].0 >= Duration::from_secs(60) {
                sum -= self.sent[first].1;
                first += 1;
            }
            max_bytes = max_bytes.max(sum);
        }
        max_bytes
    }
}

#[test]
fn the_quota_of_any_cap_keeps_every_minute_below_it() {
    for bits in [0, 7, 8, 999, 1_000_000, CAP.0, 4_000_000_000, u64::MAX / 60] {
        let Quota { rate, burst } = quota(BitRate(bits));
        assert!(rate * 60 + burst <= BitRate(bits).bytes_per_minute().0);
    }
}

#[test]
fn a_flood_from_one_host_after_idleness_stays_under_the_cap() {
    let mut region = Region::new();
    region.run(Duration::from_secs(30));
    for _ in 0..20 {
        region.start(0, SendAllowance::Shared, u64::MAX);
    }
    region.run(Duration::from_secs(80));
    region.run(Duration::from_secs(10));
    let (busiest, cap) = (region.busiest_minute(), CAP.bytes_per_minute().0);
    println!("busiest={busiest} cap={cap}");
    assert!(busiest <= cap);
    // Loans let one host use nearly the whole rate.
    assert!(busiest >= quota(CAP).rate * 60 * 9 / 10);
}

#[test]
fn an_upload_with_a_reserved_rate_never_stalls() {
    let mut region = Region::new();
    let rate = 2_000_000;
    let id = region.reserve(0, rate).unwrap();
    for sender in 0..2 {
        for _ in 0..10 {
            region.start(sender, SendAllowance::Shared, u64::MAX);
        }
    }
    region.run(Duration::from_secs(10));
    region.start(0, SendAllowance::Reserved(id), rate * 20);
    let upload = region.senders[0].transfers.len() - 1;
    let mut last = rate * 20;
    for second in 0..20 {
        region.run(Duration::from_secs(1));
        let remaining = region.senders[0]
            .transfers
            .get(upload)
            .map_or(0, |t| t.remaining);
        assert!(
            remaining < last || remaining == 0,
            "stalled in second {second}"
        );
        last = remaining;
    }
    region.run(Duration::from_secs(1));
    assert!(region.senders[0].transfers.len() <= upload);
    assert!(region.busiest_minute() <= CAP.bytes_per_minute().0);
}

#[test]
fn reservations_take_at_most_half_of_a_host() {
    let mut region = Region::new();
    let half = quota(CAP).rate / 4;
    assert!(region.reserve(0, half).is_some());
    assert!(region.reserve(0, 1_000).is_none());
}

#[test]
fn admitted_bytes_stay_below_what_the_link_soon_carries() {
    let mut region = Region::new();
    let (now, s) = (region.now, &mut region.senders[0]);
    let first = now - Duration::from_secs(2);
    let again = Attempt::Retry { since: first };
    let mut admitted = 0;
    let estimate = ByteSize(1_000_000);
    while s.links.admit(now, &mut s.budgets, &name(), estimate, again) == LinkAdmission::Admitted {
        admitted += estimate.0;
        assert!(admitted <= quota(CAP).rate * 2 + quota(CAP).burst);
    }
    assert!(admitted > 0);
    s.links.release(&name(), estimate);
    let answer = s.links.admit(now, &mut s.budgets, &name(), estimate, again);
    assert_eq!(answer, LinkAdmission::Admitted);
}

#[test]
fn headroom_is_what_neither_reservations_nor_demand_use() {
    let mut region = Region::new();
    let reserved = 3_000_000;
    region.reserve(0, reserved).unwrap();
    let (now, s) = (region.now, &mut region.senders[0]);
    let headroom = s.links.headroom(now, &mut s.budgets, &name());
    assert_eq!(headroom.0, quota(CAP).rate / 2 - reserved);
}

proptest! {
    #![proptest_config(Config {
        cases: 12,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn no_mix_of_transfers_passes_the_cap(
        starts in prop::collection::vec((0..2_usize, 1..2_000_000_000_u64, 0..20_000_u64, any::<bool>()), 1..8),
    ) {
        let mut region = Region::new();
        for (sender, bytes, millis, long) in starts {
            let id = if long { region.reserve(sender, 1_000_000) } else { None };
            region.start(sender, id.map_or(SendAllowance::Shared, SendAllowance::Reserved), bytes);
            region.run(Duration::from_millis(millis));
        }
        region.run(Duration::from_secs(20));
        prop_assert!(region.busiest_minute() <= CAP.bytes_per_minute().0);
    }
}
