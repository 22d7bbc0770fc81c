//! The borrower's side of an account: computes the quota needed, requests loans and
//! returns them.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    Account,
    LOAN_BURST_MILLIS, //
};
use crate::{
    bucket::Quota,
    loan::{
        AppliedReply,
        LoanReply,
        Sequence, //
    },
    util::id::HostName, //
};

/// How long a loan request counts as pending; until then the lender gets no other one.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff after a lender granted everything that was requested.
const BACKOFF_MIN: Duration = Duration::from_millis(20);
/// Longest backoff from requesting rate of a lender that has none to spare.
const RATE_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Longest backoff from requesting burst of a lender that has none to spare.
const BURST_BACKOFF_MAX: Duration = Duration::from_millis(500);
/// Backoff after the first reply that granted less than requested.
const BACKOFF_FIRST: Duration = Duration::from_millis(125);
/// Age of a loan at which it is renewed, counted from its last request.
const RENEW_AFTER: Duration = Duration::from_millis(2000);
/// The required rate in eighths of the demand: one eighth of margin.
const DEMAND_EIGHTHS: u64 = 9;

/// Backoff from requesting either rate or burst of one lender.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// Length of the latest backoff.
    span: Duration,
    until: Option<Instant>,
}

impl Backoff {
    const NONE: Self = Self {
        span: BACKOFF_MIN,
        until: None,
    };

    fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Restarts the backoff after a reply. It doubles, up to `max`, with each reply in
    /// a row that granted less than requested.
    fn start(&mut self, now: Instant, fully_granted: bool, max: Duration) {
        self.span = match fully_granted {
            true => BACKOFF_MIN,
            false => (self.span * 2).clamp(BACKOFF_FIRST, max),
        };
        self.until = Some(now + self.span);
    }
}

/// A host that may lend, with its share of the resource and the backoffs of this
/// host's requests to it.
#[derive(Clone, Debug)]
pub(crate) struct Lender {
    host: HostName,
    share: Quota,
    rate: Backoff,
    burst: Backoff,
}

impl Lender {
    pub(crate) fn new(host: HostName, share: Quota) -> Self {
        Self {
            host,
            share,
            rate: Backoff::NONE,
            burst: Backoff::NONE,
        }
    }

    /// Returns the most that may be requested: the lender's share, but no more than is
    /// held already of a rate or burst in backoff.
    fn limit(&self, now: Instant, held: Quota) -> Quota {
        let rate = match self.rate.is_active(now) {
            true => held.rate,
            false => self.share.rate,
        };
        let burst = match self.burst.is_active(now) {
            true => held.burst,
            false => self.share.burst,
        };
        Quota::new(rate, burst)
    }

    /// Starts the backoff of rate and burst, as far as each was requested.
    fn back_off(&mut self, now: Instant, applied: &AppliedReply) {
        let short = applied.wanted.minus(applied.granted);
        if applied.wanted.rate > 0 {
            self.rate.start(now, short.rate == 0, RATE_BACKOFF_MAX);
        }
        if applied.wanted.burst > 0 {
            self.burst.start(now, short.burst == 0, BURST_BACKOFF_MAX);
        }
    }
}

/// A loan request or return to send to a lender.
pub(crate) struct LenderMessage {
    pub(crate) lender: HostName,
    pub(crate) sequence: Sequence,
    /// The quota that the borrower keeps of the loan.
    pub(crate) held: Quota,
    pub(crate) action: Action,
}

/// Whether a message to a lender requests a loan or returns one.
pub(crate) enum Action {
    /// Requests, renews or resizes the loan.
    Request {
        /// The total quota wanted, not the difference.
        wanted: Quota,
    },
    /// Returns the quota above what the message states as held.
    Return {
        /// Tokens that go back to the lender, in units.
        tokens: u64,
    },
}

impl Account {
    pub(crate) fn needs_lenders(&self) -> bool {
        self.lenders.is_none()
    }

    pub(crate) fn set_lenders(&mut self, lenders: Vec<Lender>) {
        self.lenders = Some(lenders);
    }

    /// Reports whether a loan may still arrive in time: a request is pending, or the
    /// backoff of a lender's burst is over at `until`.
    pub(crate) fn may_borrow(&self, now: Instant, until: Instant) -> bool {
        let lenders = self.lenders.as_deref().unwrap_or_default();
        let may_lend = |l: &Lender| {
            self.borrowed.is_pending(now, &l.host, REPLY_TIMEOUT) || !l.burst.is_active(until)
        };
        lenders.iter().any(may_lend)
    }

    /// Returns the rate and burst that this host needs.
    ///
    /// Demand above the own rate needs rate and the burst that goes with it; held-back
    /// requests also need burst for themselves.
    fn required_quota(&mut self, now: Instant, own: Quota) -> Quota {
        let short = self.has_shortage(now);
        let parked: u64 = self.parked.iter().map(|(_, amount)| amount).sum();
        let mut demand = self.demand.rate(now);
        if short {
            demand = demand.max(self.demand.recent_rate(now));
        }
        // Adds rate enough to serve the held-back requests within a second.
        let rate = (demand.saturating_mul(DEMAND_EIGHTHS) / 8).saturating_add(parked);
        let rate = rate.max(self.reserved);
        let extra_rate = rate.saturating_sub(own.rate);
        let mut burst = own
            .burst
            .saturating_add(extra_rate.saturating_mul(LOAN_BURST_MILLIS) / 1000);
        if short {
            burst = burst.saturating_add(parked).saturating_add(self.min_amount);
        }
        Quota::new(rate, burst)
    }

    /// Returns the messages to send now, nearest lenders first: at most `max_messages`,
    /// and only to lenders that `may_request` allows.
    pub(crate) fn lender_messages(
        &mut self,
        now: Instant,
        max_messages: usize,
        may_request: impl Fn(&HostName) -> bool,
    ) -> Vec<LenderMessage> {
        self.settle(now);
        let own = self.own_share_at(now).minus(self.lent.withheld());
        let mut missing = self.required_quota(now, own).minus(own);
        let lenders = self.lenders.take().unwrap_or_default();
        let mut lender_messages = Vec::new();
        for lender in &lenders {
            if lender_messages.len() >= max_messages {
                break;
            }
            let held = self.held_from(&lender.host);
            if !may_request(&lender.host) {
                missing = missing.minus(held);
                continue;
            }
            let wanted = missing.min(lender.limit(now, held));
            missing = missing.minus(wanted);
            lender_messages.extend(self.request_loan(now, lender, wanted));
        }
        self.lenders = Some(lenders);
        if !lender_messages.is_empty() {
            self.apply_quota(now);
        }
        lender_messages
    }

    /// Returns the quota borrowed from a lender.
    fn held_from(&self, lender: &HostName) -> Quota {
        let loan = self.borrowed.loan(lender);
        loan.map_or(Quota::default(), |l| l.quota)
    }

    /// Returns the message that a lender's loan needs, if any: a request if the loan
    /// should grow or be renewed, or a return if more is held than wanted.
    fn request_loan(
        &mut self,
        now: Instant,
        lender: &Lender,
        wanted: Quota,
    ) -> Option<LenderMessage> {
        if self.borrowed.is_pending(now, &lender.host, REPLY_TIMEOUT) {
            return None;
        }
        let loan = self.borrowed.loan(&lender.host);
        let held = loan.map_or(Quota::default(), |l| l.quota);
        let grows = !wanted.minus(held).is_zero();
        let renewal_due =
            loan.is_some_and(|l| now.saturating_duration_since(l.asked_at) >= RENEW_AFTER);
        if grows || (renewal_due && !wanted.is_zero()) {
            let (sequence, held) = self.borrowed.request_loan(now, &lender.host, wanted);
            return Some(LenderMessage {
                lender: lender.host.clone(),
                sequence,
                held,
                action: Action::Request { wanted },
            });
        }
        // Returns at once a burst that is no longer needed, and rate once less than half
        // of it is needed. Smaller reductions of the rate wait for the renewal.
        let idle = wanted.rate < held.rate / 2;
        let rate = if idle { wanted.rate } else { held.rate };
        let kept = held.min(Quota::new(rate, wanted.burst));
        if held == kept || self.has_shortage(now) {
            return None;
        }
        Some(self.return_loan(now, &lender.host, kept))
    }

    /// Returns the part of a loan above `kept`, with the tokens that exceed the own burst.
    fn return_loan(&mut self, now: Instant, lender: &HostName, kept: Quota) -> LenderMessage {
        let before = self.held_from(lender);
        let surplus = self.surplus(now);
        let (sequence, held) = self.borrowed.give_back(lender, kept);
        let tokens = before.minus(held).burst.min(surplus);
        self.bucket.debit(now, tokens);
        self.apply_quota(now);
        LenderMessage {
            lender: lender.clone(),
            sequence,
            held,
            action: Action::Return { tokens },
        }
    }

    /// Returns the units in the bucket above the own burst, which belong to borrowed burst.
    fn surplus(&mut self, now: Instant) -> u64 {
        let own = self.own_share_at(now).minus(self.lent.withheld());
        self.bucket.level(now).saturating_sub(own.burst)
    }

    /// Applies a loan reply. A late, repeated or unsolicited one changes nothing.
    pub(crate) fn apply_reply(&mut self, now: Instant, reply: &LoanReply) {
        self.settle(now);
        let Some(applied) = self.borrowed.apply_reply(now, reply) else {
            return;
        };
        for lender in self.lenders.as_deref_mut().unwrap_or_default() {
            if lender.host == reply.lender {
                lender.back_off(now, &applied);
            }
        }
        self.apply_quota(now);
        self.bucket.deposit(now, applied.tokens);
    }

    /// Returns every loan to its lender.
    pub(crate) fn return_all_loans(&mut self, now: Instant) -> Vec<LenderMessage> {
        self.settle(now);
        let lenders: Vec<HostName> = self.borrowed.loans().map(|(h, _)| h.clone()).collect();
        let mut returns = Vec::with_capacity(lenders.len());
        for lender in &lenders {
            returns.push(self.return_loan(now, lender, Quota::default()));
        }
        returns
    }
}
