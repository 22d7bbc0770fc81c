//! The loan messages of a host: what it sends, and what it does with those of others.

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Budgets,
    Holdings, //
};
use crate::{
    account::{
        Action,
        Ask,
        Lender, //
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
        Resource,
        Whole, //
    },
    util::id::{
        HostName,
        Incarnation, //
    },
};

/// The loan messages that a host sends of its own accord: a second's and the most at once.
pub const ASKS: Quota = Quota::new(40, 128);

/// The loan messages to send, each with the host that it goes to.
pub type Messages = SmallVec<[(HostName, LoanMessage); 4]>;

impl Budgets {
    /// Returns the loan messages to send now, renewals among them. Call it at
    /// each tick and after a debit that waits; they stay within [`ASKS`].
    pub fn loan_messages(&mut self, now: Instant) -> Messages {
        self.observe(now);
        let mut messages = Messages::new();
        if self.stopping {
            return messages;
        }
        let active: Vec<Resource> = self.active.iter().cloned().collect();
        for resource in active {
            self.ask_for(now, resource, &mut messages);
        }
        messages
    }

    fn ask_for(&mut self, now: Instant, resource: Resource, messages: &mut Messages) {
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
        let most = usize::try_from(self.asks.level(now)).unwrap_or(usize::MAX);
        let silence = &self.silence;
        let asks = account.asks(now, most, |lender| silence.may_ask(now, lender));
        self.asks.debit(now, asks.len() as u64);
        for ask in asks {
            if matches!(ask.action, Action::Request { .. }) {
                self.silence.asked(now, &ask.lender);
            }
            messages.push(loan_message(host, incarnation, resource.clone(), ask));
        }
    }

    /// Answers another host's request; none where the request is older than one answered before.
    pub fn on_loan_request(&mut self, now: Instant, req: &LoanRequest) -> Option<LoanReply> {
        self.observe(now);
        if self.stopping || self.unvalidated_since.is_some() {
            return None;
        }
        let host = self.host.clone();
        self.accounts.get_mut(&req.resource)?.lend(now, &host, req)
    }

    /// Takes the answer to an own request in.
    pub fn on_loan_reply(&mut self, now: Instant, reply: &LoanReply) {
        self.observe(now);
        if reply.borrower != self.host || reply.incarnation != self.incarnation {
            return;
        }
        self.silence.answered(&reply.lender);
        if let Some(account) = self.accounts.get_mut(&reply.resource) {
            account.take_reply(now, reply);
        }
    }

    /// Takes back what a borrower gives up.
    pub fn on_loan_return(&mut self, now: Instant, returned: &LoanReturn) {
        self.observe(now);
        if let Some(account) = self.accounts.get_mut(&returned.resource) {
            account.take_back(now, returned);
        }
    }

    /// Gives everything back for a graceful stop; no debit is granted from here on.
    pub fn return_all(&mut self, now: Instant) -> Messages {
        self.observe(now);
        self.stopping = true;
        let mut messages = Messages::new();
        for (resource, account) in &mut self.accounts {
            for ask in account.give_back(now) {
                messages.push(loan_message(
                    &self.host,
                    self.incarnation,
                    resource.clone(),
                    ask,
                ));
            }
        }
        messages
    }

    /// Reports whether the stopping host holds nothing and lent out nothing, so
    /// that its last heartbeat may say that it released its shares.
    pub fn is_released(&mut self, now: Instant) -> bool {
        self.observe(now);
        if !self.stopping || now < self.spendable_from {
            return false;
        }
        for account in self.accounts.values_mut() {
            account.settle(now);
            if !account.is_home() {
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
    ask: Ask,
) -> (HostName, LoanMessage) {
    let borrower = borrower.clone();
    let msg = match ask.action {
        Action::Request { wanted } => LoanMessage::Request(LoanRequest {
            resource,
            borrower,
            incarnation,
            sequence: ask.sequence,
            held: ask.held,
            wanted,
        }),
        Action::Return { tokens } => LoanMessage::Return(LoanReturn {
            resource,
            borrower,
            incarnation,
            sequence: ask.sequence,
            held: ask.held,
            tokens,
        }),
    };
    (ask.lender, msg)
}

/// Returns the hosts that hold shares, those of the own zone first and the
/// others from a place in the list that differs between hosts.
pub(super) fn lenders(whole: &Whole, holdings: &Holdings, host: &HostName) -> Vec<Lender> {
    let mut lenders = lenders_in(whole, &holdings.ledger, host);
    let mut others = Vec::new();
    for ledger in &holdings.others {
        others.extend(lenders_in(whole, ledger, host));
    }
    if !others.is_empty() {
        let place = xxh3_64(host.as_str().as_bytes()) % others.len() as u64;
        others.rotate_left(place as usize);
    }
    lenders.append(&mut others);
    lenders
}

fn lenders_in(whole: &Whole, ledger: &Ledger, host: &HostName) -> Vec<Lender> {
    let mut lenders = Vec::new();
    if let Some(last) = ledger.members.last() {
        for member in share::homes(&whole.resource, &last.hosts) {
            let share = share::principal(whole, ledger, member);
            if member.name == *host || share.is_zero() {
                continue;
            }
            lenders.push(Lender::new(member.name.clone(), share));
        }
    }
    lenders
}
