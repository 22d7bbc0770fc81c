//! One host's account of one divisible quantity: own share, loans, bucket and demand.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    bucket::{
        Bucket,
        Quota, //
    },
    demand::Demand,
    loan::{
        BorrowedLoans,
        LentLoans, //
    },
    share::Resource, //
};

mod borrowing;
mod lending;

pub(crate) use borrowing::{
    Action,
    Lender, //
    LenderMessage,
};

/// How long a request may be held back while a loan or a refill is on its way.
pub const PARK_DURATION_MAX: Duration = Duration::from_millis(1000);
/// The most requests of one resource that a host holds back at once.
pub const PARKED_REQUESTS_MAX: usize = 64;
/// Lent rate goes with the burst of this long.
const LOAN_BURST_MILLIS: u64 = 500;
/// How long after a failed debit a host counts as short.
const SHORTAGE_SPAN: Duration = Duration::from_millis(50);

/// What a host holds of one quantity, for `explain`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Its own share, zero while it is withheld.
    pub principal: Quota,
    /// What it lent out.
    pub lent: Quota,
    /// What it borrowed.
    pub borrowed: Quota,
    /// Units in the bucket.
    pub tokens: u64,
    /// Units a second asked for lately.
    pub demand: u64,
    /// Requests held back now.
    pub parked: usize,
    /// Debits granted since the process started.
    pub granted: u64,
    /// Debits refused since the process started.
    pub refused: u64,
}

/// What a host holds and owes of one quantity.
#[derive(Debug)]
pub(crate) struct Account {
    resource: Resource,
    min_amount: u64,
    share: Quota,
    spendable_from: Option<Instant>,
    bucket: Bucket,
    lent: LentLoans,
    borrowed: BorrowedLoans,
    demand: Demand,
    reserved: u64,
    shortage_at: Option<Instant>,
    parked: SmallVec<[(Instant, u64); 8]>,
    lenders: Option<Vec<Lender>>,
    granted: u64,
    refused: u64,
}

impl Account {
    /// Returns an empty account whose own share is withheld until an instant.
    pub(crate) fn new(resource: Resource, spendable_from: Instant, now: Instant) -> Self {
        let min_amount = resource.min_amount();
        Self {
            resource,
            min_amount,
            share: Quota::default(),
            spendable_from: Some(spendable_from),
            bucket: Bucket::new(Quota::default(), now),
            lent: LentLoans::default(),
            borrowed: BorrowedLoans::default(),
            demand: Demand::new(now),
            reserved: 0,
            shortage_at: None,
            parked: SmallVec::new(),
            lenders: None,
            granted: 0,
            refused: 0,
        }
    }

    /// Replaces the own share; the lenders are worked out again when they are needed.
    pub(crate) fn set_share(&mut self, now: Instant, share: Quota) {
        self.settle(now);
        self.share = share;
        self.lenders = None;
        self.apply_quota(now);
    }

    /// Withholds the own share until [`Self::release`].
    pub(crate) fn withhold(&mut self, now: Instant) {
        self.settle(now);
        self.spendable_from = None;
        self.apply_quota(now);
    }

    /// Makes the own share spendable from an instant on.
    pub(crate) fn release(&mut self, now: Instant, spendable_from: Instant) {
        self.settle(now);
        self.spendable_from = Some(spendable_from);
        self.apply_quota(now);
    }

    /// Applies every lapse up to an instant at the time it was due, so that a
    /// pause across a lapse spends nothing that lapsed.
    pub(crate) fn settle(&mut self, now: Instant) {
        while let Some(due) = self.next_event().filter(|due| *due <= now) {
            self.bucket.advance(due);
            self.lent.settle(due);
            self.borrowed.settle(due);
            if self.spendable_from.is_some_and(|from| from <= due) {
                self.spendable_from = Some(due);
            }
            self.apply_quota(due);
        }
        self.bucket.advance(now);
    }

    fn next_event(&self) -> Option<Instant> {
        let withheld_until = self.spendable_from.filter(|from| *from > self.bucket.at());
        let due = [
            self.lent.next_release(),
            self.borrowed.next_expiry(),
            withheld_until,
        ];
        due.into_iter().flatten().min()
    }

    fn own_share_at(&self, at: Instant) -> Quota {
        match self.spendable_from {
            Some(from) if from <= at => self.share,
            _ => Quota::default(),
        }
    }

    fn apply_quota(&mut self, at: Instant) {
        let own = self.own_share_at(at).minus(self.lent.withheld());
        self.bucket.set_quota(at, own.plus(self.borrowed.quota()));
    }

    /// Reports whether more is lent out than the own share holds.
    pub(crate) fn is_overlent(&self) -> bool {
        let withheld = self.lent.withheld();
        !withheld.minus(self.share).is_zero()
    }

    /// Reports whether nothing is lent out.
    pub(crate) fn has_nothing_lent(&self) -> bool {
        self.lent.loans() == 0
    }

    /// Reports whether the account needs a look at each tick.
    pub(crate) fn is_active(&mut self, now: Instant) -> bool {
        let loans = self.borrowed.loans().next().is_some();
        loans || !self.parked.is_empty() || self.demand.rate(now).max(self.reserved) > 0
    }

    pub(crate) fn record_demand(&mut self, now: Instant, amount: u64) {
        self.demand.record(now, amount);
    }

    /// Takes an amount, leaving at least `floor` in the bucket.
    pub(crate) fn try_debit(&mut self, now: Instant, amount: u64, floor: u64) -> bool {
        self.settle(now);
        let enough = self.bucket.level(now) >= amount.saturating_add(floor);
        let taken = enough && self.bucket.debit(now, amount);
        self.granted += u64::from(taken);
        if !taken {
            self.mark_shortage(now);
        }
        taken
    }

    /// Reports whether a debit found too little lately.
    fn has_shortage(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SHORTAGE_SPAN;
        !self.parked.is_empty() || self.shortage_at.is_some_and(is_recent)
    }

    /// Notes that a debit found too little.
    pub(crate) fn mark_shortage(&mut self, now: Instant) {
        self.shortage_at = Some(now);
    }

    /// Sets the units a second that the host keeps for work in flight.
    pub(crate) fn set_reserved(&mut self, reserved: u64) {
        self.reserved = reserved;
    }

    /// Returns the units in the bucket.
    pub(crate) fn level(&mut self, now: Instant) -> u64 {
        self.settle(now);
        self.bucket.level(now)
    }

    /// Returns the units a second that were asked for lately.
    pub(crate) fn demand_rate(&mut self, now: Instant) -> u64 {
        self.demand.rate(now)
    }

    /// Returns how long a shortage takes to refill, none where it never will.
    pub(crate) fn refill_time(&mut self, now: Instant, amount: u64) -> Option<Duration> {
        let level = self.bucket.level(now);
        let missing = u128::from(amount.saturating_sub(level));
        let rate = u128::from(self.bucket.quota().rate);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if rate == 0 {
            return None;
        }
        let nanos = (missing * 1_000_000_000).div_ceil(rate);
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    pub(crate) fn quota(&self) -> Quota {
        self.bucket.quota()
    }

    pub(crate) fn count_refusal(&mut self) {
        self.refused += 1;
    }

    /// Holds a request back until an instant; false where too many are held back.
    pub(crate) fn park(&mut self, now: Instant, until: Instant, amount: u64) -> bool {
        self.parked.retain(|(u, _)| *u > now);
        if self.parked.len() >= PARKED_REQUESTS_MAX {
            return false;
        }
        self.parked.push((until, amount));
        true
    }

    pub(crate) fn unpark(&mut self, until: Instant) {
        if let Some(i) = self.parked.iter().position(|(u, _)| *u == until) {
            self.parked.remove(i);
        }
    }

    /// Returns the units that the requests held back before an instant's ask for.
    pub(crate) fn parked_before(&mut self, now: Instant, until: Instant) -> u64 {
        self.parked.retain(|(u, _)| *u > now);
        let earlier = self.parked.iter().filter(|(u, _)| *u < until);
        earlier.map(|(_, amount)| amount).sum()
    }

    pub(crate) fn holding(&mut self, now: Instant) -> Holding {
        self.settle(now);
        Holding {
            principal: self.own_share_at(now),
            lent: self.lent.withheld(),
            borrowed: self.borrowed.quota(),
            tokens: self.bucket.level(now),
            demand: self.demand.rate(now),
            parked: self.parked.len(),
            granted: self.granted,
            refused: self.refused,
        }
    }
}
