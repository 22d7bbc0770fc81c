//! Sends loan requests and returns, and handles those of other hosts.

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Budgets,
    ShareInputs, //
};
use crate::{
    account::{
        Action,
        Lender, //
        LenderMessage,
    },
    bucket::Quota,
    ledger::Ledger,
    loan::{
        LoanMessage,
        LoanReply,
        LoanRequest,
        LoanReturn, //
    },
    share::{
        self,
        FleetQuota, //
        Resource,
    },
    util::id::{
        HostName,
        Incarnation, //
    },
};

/// Limit on the loan requests and returns that a host sends, in messages: rate a
/// second and burst. Replies are not limited.
pub const LOAN_MESSAGE_QUOTA: Quota = Quota::new(40, 128);

/// Loan messages to send, each with its destination host.
pub type Messages = SmallVec<[(HostName, LoanMessage); 4]>;

impl Budgets {
    /// Returns the loan messages to send now: requests, renewals and returns. Call it
    /// at each tick and after a debit that returned [`Debit::Wait`](super::Debit::Wait);
    /// the messages stay within [`LOAN_MESSAGE_QUOTA`].
    pub fn loan_messages(&mut self, now: Instant) -> Messages {
        self.observe(now);
        let mut messages = Messages::new();
        if self.stopping {
            return messages;
        }
        let active: Vec<Resource> = self.active.iter().cloned().collect();
        for resource in active {
            self.push_loan_messages(now, resource, &mut messages);
        }
        messages
    }

    /// Appends the messages of one resource, or drops it from the active set if it is idle.
    fn push_loan_messages(&mut self, now: Instant, resource: Resource, messages: &mut Messages) {
        let lenders = self.lenders_if_needed(&resource);
        let Some(account) = self.accounts.get_mut(&resource) else {
            return;
        };
        if let Some(lenders) = lenders {
            account.set_lenders(lenders);
        }
        if !account.is_active(now) {
            self.active.remove(&resource);
            return;
        }
        let (host, incarnation) = (&self.host, self.incarnation);
        let max_messages = usize::try_from(self.lender_messages.level(now)).unwrap_or(usize::MAX);
        let lender_backoff = &self.lender_backoff;
        let lender_messages = account.lender_messages(now, max_messages, |lender| {
            lender_backoff.may_request(now, lender)
        });
        self.lender_messages
            .debit(now, lender_messages.len() as u64);
        for message in lender_messages {
            if matches!(message.action, Action::Request { .. }) {
                self.lender_backoff.record_request(now, &message.lender);
            }
            messages.push(loan_message(host, incarnation, resource.clone(), message));
        }
    }

    /// Lends to another host and returns the reply. Returns `None` if the request is
    /// outdated, its resource is unknown here, or this host may not lend now.
    pub fn on_loan_request(&mut self, now: Instant, req: &LoanRequest) -> Option<LoanReply> {
        self.observe(now);
        if self.stopping || self.unvalidated_since.is_some() {
            return None;
        }
        let host = self.host.clone();
        self.accounts.get_mut(&req.resource)?.lend(now, &host, req)
    }

    /// Applies the reply to a request of this host; a reply to an earlier process
    /// of the host is ignored.
    pub fn on_loan_reply(&mut self, now: Instant, reply: &LoanReply) {
        self.observe(now);
        if reply.borrower != self.host || reply.incarnation != self.incarnation {
            return;
        }
        self.lender_backoff.record_reply(&reply.lender);
        if let Some(account) = self.accounts.get_mut(&reply.resource) {
            account.apply_reply(now, reply);
        }
    }

    /// Takes back the part of a loan that a borrower returns early.
    pub fn on_loan_return(&mut self, now: Instant, returned: &LoanReturn) {
        self.observe(now);
        if let Some(account) = self.accounts.get_mut(&returned.resource) {
            account.accept_return(now, returned);
        }
    }

    /// Returns all loans for a graceful stop; from here on every debit is refused.
    pub fn return_all(&mut self, now: Instant) -> Messages {
        self.observe(now);
        self.stopping = true;
        let mut messages = Messages::new();
        for (resource, account) in &mut self.accounts {
            for message in account.return_all_loans(now) {
                messages.push(loan_message(
                    &self.host,
                    self.incarnation,
                    resource.clone(),
                    message,
                ));
            }
        }
        messages
    }

    /// Reports whether the host is stopping, its restart withholding is over and it
    /// has no loan out, so that its last heartbeat may report its shares as released.
    pub fn is_released(&mut self, now: Instant) -> bool {
        self.observe(now);
        if !self.stopping || now < self.spendable_from {
            return false;
        }
        for account in self.accounts.values_mut() {
            account.settle(now);
            if !account.has_nothing_lent() {
                return false;
            }
        }
        true
    }
}

fn loan_message(
    borrower: &HostName,
    incarnation: Incarnation,
    resource: Resource,
    message: LenderMessage,
) -> (HostName, LoanMessage) {
    let borrower = borrower.clone();
    let msg = match message.action {
        Action::Request { wanted } => LoanMessage::Request(LoanRequest {
            resource,
            borrower,
            incarnation,
            sequence: message.sequence,
            held: message.held,
            wanted,
        }),
        Action::Return { tokens } => LoanMessage::Return(LoanReturn {
            resource,
            borrower,
            incarnation,
            sequence: message.sequence,
            held: message.held,
            tokens,
        }),
    };
    (message.lender, msg)
}

/// Returns the hosts that hold shares of a resource, in the order in which to ask
/// them: the own zone first, then the other zones. The list of the latter is
/// rotated by a hash of the host name, so that hosts start at different lenders.
pub(super) fn lenders(
    fleet_quota: &FleetQuota,
    share_inputs: &ShareInputs,
    host: &HostName,
) -> Vec<Lender> {
    let mut lenders = lenders_in(fleet_quota, &share_inputs.ledger, host);
    let mut others = Vec::new();
    for ledger in &share_inputs.others {
        others.extend(lenders_in(fleet_quota, ledger, host));
    }
    if !others.is_empty() {
        let start = xxh3_64(host.as_str().as_bytes()) % others.len() as u64;
        others.rotate_left(start as usize);
    }
    lenders.append(&mut others);
    lenders
}

/// Returns the other hosts of one zone that hold a share of a resource.
fn lenders_in(fleet_quota: &FleetQuota, ledger: &Ledger, host: &HostName) -> Vec<Lender> {
    let mut lenders = Vec::new();
    if let Some(last) = ledger.members.last() {
        for member in share::home_hosts(&fleet_quota.resource, &last.hosts) {
            let share = share::host_share(fleet_quota, ledger, member);
            if member.name == *host || share.is_zero() {
                continue;
            }
            lenders.push(Lender::new(member.name.clone(), share));
        }
    }
    lenders
}
