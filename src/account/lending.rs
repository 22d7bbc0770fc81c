//! The lender's side of an account: answers loan requests from the share that the
//! host does not need itself.

use tokio::time::Instant;

use super::{
    Account,
    LOAN_BURST_MILLIS, //
};
use crate::{
    bucket::Quota,
    loan::{
        LoanReply,
        LoanRequest,
        LoanReturn, //
        RequestStatus,
    },
    util::id::HostName, //
};

/// Burst that a lender keeps for itself, in milliseconds of its own demand.
const OWN_NEED_BURST_MILLIS: u64 = 50;
/// Rate that a lender keeps for itself, in quarters of its own demand.
const OWN_NEED_RATE_QUARTERS: u64 = 5;

impl Account {
    /// Returns the quota that the host keeps for its own demand and reservations.
    fn own_need(&mut self, now: Instant) -> Quota {
        let demand = self.demand.rate(now).max(self.reserved);
        if demand == 0 {
            return Quota::default();
        }
        let burst = demand.saturating_mul(OWN_NEED_BURST_MILLIS) / 1000;
        let rate = demand.saturating_mul(OWN_NEED_RATE_QUARTERS) / 4;
        Quota::new(rate, burst.max(self.min_amount))
    }

    /// Lends quota that the host does not need itself. A repeated
    /// request gets the same reply again, an outdated one none.
    pub(crate) fn lend(
        &mut self,
        now: Instant,
        lender: &HostName,
        req: &LoanRequest,
    ) -> Option<LoanReply> {
        self.settle(now);
        let withheld = match self.lent.classify(req) {
            RequestStatus::New { withheld } => withheld,
            RequestStatus::Repeated(reply) => return Some(reply),
            RequestStatus::Outdated => return None,
        };
        self.apply_quota(now);
        let own_need = self.own_need(now);
        let lent_to_others = self.lent.withheld().minus(withheld);
        let spare = self.own_share_at(now).minus(lent_to_others).minus(own_need);
        let mut granted = req.wanted.min(spare);
        let growth = granted.minus(withheld);
        let tokens = self.tokens_for(now, growth.burst, own_need.burst);
        // Burst without tokens or rate to fill it is of no use to the borrower.
        let burst_for_rate = growth.rate.saturating_mul(LOAN_BURST_MILLIS) / 1000;
        let burst_limit = withheld.burst.saturating_add(tokens.max(burst_for_rate));
        granted.burst = granted.burst.min(burst_limit);
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

    /// Returns the tokens that move to the borrower with a loan's growth in burst.
    fn tokens_for(&mut self, now: Instant, growth: u64, own_need: u64) -> u64 {
        if self.has_shortage(now) {
            return 0;
        }
        let level = self.bucket.level(now);
        let remaining_burst = self.bucket.quota().burst.saturating_sub(growth);
        level
            .saturating_sub(own_need.min(remaining_burst))
            .min(growth)
    }

    /// Takes back the quota and tokens that a borrower returned.
    pub(crate) fn accept_return(&mut self, now: Instant, returned: &LoanReturn) {
        self.settle(now);
        let tokens = self.lent.accept_return(returned);
        self.apply_quota(now);
        self.bucket.deposit(now, tokens);
    }
}
