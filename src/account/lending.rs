//! The lender's side of an account: what it keeps, and what it answers.

use tokio::time::Instant;

use super::{
    Account,
    BURST_SPAN_MILLIS, //
};
use crate::{
    bucket::Quota,
    loan::{
        Asked,
        LoanReply,
        LoanRequest,
        LoanReturn, //
    },
    util::id::HostName, //
};

/// A host that lends keeps, in burst, its own demand of this long.
const KEEP_SPAN_MILLIS: u64 = 50;
/// A host that lends keeps, in rate, this many quarters of its own demand.
const KEEP_QUARTERS: u64 = 5;

impl Account {
    /// Returns what the host keeps back when another one asks.
    fn keep(&mut self, now: Instant) -> Quota {
        let demand = self.demand.rate(now).max(self.reserved);
        if demand == 0 {
            return Quota::default();
        }
        let span = demand.saturating_mul(KEEP_SPAN_MILLIS) / 1000;
        let rate = demand.saturating_mul(KEEP_QUARTERS) / 4;
        Quota::new(rate, span.max(self.grain))
    }

    /// Answers a request: lends what the own demand does not need.
    pub(crate) fn lend(
        &mut self,
        now: Instant,
        lender: &HostName,
        req: &LoanRequest,
    ) -> Option<LoanReply> {
        self.settle(now);
        let withheld = match self.lent.ask(req) {
            Asked::New { withheld } => withheld,
            Asked::Repeated(reply) => return Some(reply),
            Asked::Outdated => return None,
        };
        self.apply_quota(now);
        let keep = self.keep(now);
        let others = self.lent.withheld().minus(withheld);
        let spare = self.principal_at(now).minus(others).minus(keep);
        let mut granted = req.wanted.min(spare);
        let growth = granted.minus(withheld);
        let tokens = self.tokens_for(now, growth.burst, keep.burst);
        // Burst goes with tokens or with rate; alone it would lie idle.
        let with_rate = growth.rate.saturating_mul(BURST_SPAN_MILLIS) / 1000;
        let most = withheld.burst.saturating_add(tokens.max(with_rate));
        granted.burst = granted.burst.min(most);
        self.bucket.debit(now, tokens);
        let reply = LoanReply {
            resource: self.resource.clone(),
            lender: lender.clone(),
            borrower: req.borrower.clone(),
            incarnation: req.incarnation,
            sequence: req.sequence,
            granted,
            tokens,
        };
        self.lent.grant(now, &reply);
        self.apply_quota(now);
        Some(reply)
    }

    /// Returns the tokens that go with a line's growth in burst.
    fn tokens_for(&mut self, now: Instant, growth: u64, keep: u64) -> u64 {
        if self.is_short(now) {
            return 0;
        }
        let level = self.bucket.level(now);
        let left = self.bucket.quota().burst.saturating_sub(growth);
        level.saturating_sub(keep.min(left)).min(growth)
    }

    /// Takes back what a borrower gave up.
    pub(crate) fn take_back(&mut self, now: Instant, returned: &LoanReturn) {
        self.settle(now);
        let tokens = self.lent.take_back(returned);
        self.apply_quota(now);
        self.bucket.deposit(now, tokens);
    }
}
