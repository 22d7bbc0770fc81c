//! One host's account of one resource: its own share, loans, token bucket and demand.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    bucket::{
        Bucket,
        Quota, //
    },
    demand::DemandMeter,
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

/// Longest time that a request is held back to wait for a refill or a loan.
pub const PARK_DURATION_MAX: Duration = Duration::from_millis(1000);
/// Largest number of requests of one resource that a host holds back at once.
pub const PARKED_REQUESTS_MAX: usize = 64;
/// A loan of rate comes with the burst of this many milliseconds at that rate.
const LOAN_BURST_MILLIS: u64 = 500;
/// How long after a failed debit the account counts as short of tokens.
const SHORTAGE_SPAN: Duration = Duration::from_millis(50);

/// A snapshot of one account, for the host's status.
///
/// Amounts are in the resource's unit: thousandths of a request, or bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountSnapshot {
    /// The host's own share, zero while it is withheld.
    pub own_share: Quota,
    /// The quota lent to other hosts.
    pub lent: Quota,
    /// The quota borrowed from other hosts.
    pub borrowed: Quota,
    /// Whole units in the bucket.
    pub tokens: u64,
    /// Recent demand in units a second, granted or not.
    pub demand: u64,
    /// Number of requests held back now.
    pub parked: usize,
    /// Number of debits granted since the account was opened.
    pub granted: u64,
    /// Number of debits refused since the account was opened.
    pub refused: u64,
}

/// The share, loans, token bucket and demand of one resource on this host.
#[derive(Debug)]
pub(crate) struct Account {
    resource: Resource,
    /// Smallest amount worth keeping or lending, in units.
    min_amount: u64,
    /// The own share, whether spendable or not.
    share: Quota,
    /// When the own share becomes spendable; `None` while withheld indefinitely.
    spendable_from: Option<Instant>,
    bucket: Bucket,
    lent: LentLoans,
    borrowed: BorrowedLoans,
    demand: DemandMeter,
    /// Rate kept for running transfers, in units a second.
    reserved: u64,
    /// When a debit last failed for lack of tokens.
    shortage_at: Option<Instant>,
    /// The held-back requests: the deadline of each and its amount.
    parked: SmallVec<[(Instant, u64); 8]>,
    /// The lenders in the order to ask them; `None` after the share was replaced.
    lenders: Option<Vec<Lender>>,
    granted: u64,
    refused: u64,
}

impl Account {
    /// Returns an empty account whose own share is withheld until `spendable_from`.
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
            demand: DemandMeter::new(now),
            reserved: 0,
            shortage_at: None,
            parked: SmallVec::new(),
            lenders: None,
            granted: 0,
            refused: 0,
        }
    }

    /// Replaces the own share and discards the cached list of lenders.
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

    /// Makes the own share spendable from `spendable_from` on.
    pub(crate) fn release(&mut self, now: Instant, spendable_from: Instant) {
        self.settle(now);
        self.spendable_from = Some(spendable_from);
        self.apply_quota(now);
    }

    /// Applies every expiry up to `now` at the time it was due, so that a process
    /// that paused past the end of a loan spends nothing of it.
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

    /// Returns the next time at which the spendable quota changes by itself.
    fn next_event(&self) -> Option<Instant> {
        let withheld_until = self.spendable_from.filter(|from| *from > self.bucket.at());
        let due = [
            self.lent.next_release(),
            self.borrowed.next_expiry(),
            withheld_until,
        ];
        due.into_iter().flatten().min()
    }

    /// Returns the own share as spendable at an instant.
    fn own_share_at(&self, at: Instant) -> Quota {
        match self.spendable_from {
            Some(from) if from <= at => self.share,
            _ => Quota::default(),
        }
    }

    /// Sets the bucket's quota to the spendable own share less loans out plus loans in.
    fn apply_quota(&mut self, at: Instant) {
        let own = self.own_share_at(at).minus(self.lent.withheld());
        self.bucket.set_quota(at, own.plus(self.borrowed.quota()));
    }

    /// Reports whether more is lent out than the own share, which may have shrunk since.
    pub(crate) fn is_overlent(&self) -> bool {
        let withheld = self.lent.withheld();
        !withheld.minus(self.share).is_zero()
    }

    /// Reports whether no loan to another host is running.
    pub(crate) fn has_nothing_lent(&self) -> bool {
        self.lent.loans() == 0
    }

    /// Reports whether the account may have loan messages to send, so that it has to
    /// be checked at each tick.
    pub(crate) fn is_active(&mut self, now: Instant) -> bool {
        let loans = self.borrowed.loans().next().is_some();
        loans || !self.parked.is_empty() || self.demand.rate(now).max(self.reserved) > 0
    }

    /// Counts an amount towards demand, whether it is granted or not.
    pub(crate) fn record_demand(&mut self, now: Instant, amount: u64) {
        self.demand.record(now, amount);
    }

    /// Debits `amount` units if at least `floor` units stay in the bucket.
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

    /// Reports whether requests are held back, or a debit failed within [`SHORTAGE_SPAN`].
    fn has_shortage(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < SHORTAGE_SPAN;
        !self.parked.is_empty() || self.shortage_at.is_some_and(is_recent)
    }

    /// Records that a debit failed for lack of tokens.
    pub(crate) fn mark_shortage(&mut self, now: Instant) {
        self.shortage_at = Some(now);
    }

    /// Sets the rate, in units a second, that the host keeps for running transfers.
    pub(crate) fn set_reserved(&mut self, reserved: u64) {
        self.reserved = reserved;
    }

    /// Returns the whole units in the bucket.
    pub(crate) fn level(&mut self, now: Instant) -> u64 {
        self.settle(now);
        self.bucket.level(now)
    }

    /// Returns the recent demand in units a second.
    pub(crate) fn demand_rate(&mut self, now: Instant) -> u64 {
        self.demand.rate(now)
    }

    /// Returns how long the bucket takes to refill to `amount`, or `None` if its rate
    /// is zero.
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

    /// Records a request as held back until `until`; returns false if
    /// [`PARKED_REQUESTS_MAX`] are held back already.
    pub(crate) fn park(&mut self, now: Instant, until: Instant, amount: u64) -> bool {
        self.parked.retain(|(u, _)| *u > now);
        if self.parked.len() >= PARKED_REQUESTS_MAX {
            return false;
        }
        self.parked.push((until, amount));
        true
    }

    /// Removes one held-back request by its deadline.
    pub(crate) fn unpark(&mut self, until: Instant) {
        if let Some(i) = self.parked.iter().position(|(u, _)| *u == until) {
            self.parked.remove(i);
        }
    }

    /// Returns the total units of the held-back requests whose deadline is before `until`.
    pub(crate) fn parked_before(&mut self, now: Instant, until: Instant) -> u64 {
        self.parked.retain(|(u, _)| *u > now);
        let earlier = self.parked.iter().filter(|(u, _)| *u < until);
        earlier.map(|(_, amount)| amount).sum()
    }

    pub(crate) fn snapshot(&mut self, now: Instant) -> AccountSnapshot {
        self.settle(now);
        AccountSnapshot {
            own_share: self.own_share_at(now),
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
