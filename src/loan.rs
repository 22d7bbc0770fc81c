//! Short loans of a quantity from host to host.
//!
//! Between one borrower and one lender runs at most one line for each resource.
//! The lender withholds what it lent until the loan and [`DRIFT_MARGIN`] have
//! passed since it answered; the borrower counts the lapse from before it
//! asked. A lost, late, repeated or reordered message loses tokens and never
//! doubles them.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    bucket::Quota,
    share::Resource,
    util::id::{
        HostName,
        Incarnation, //
    },
};

/// How long a loan runs, counted by the borrower from before it asked.
pub const LOAN_DURATION: Duration = Duration::from_secs(4);
/// How much longer the lender withholds what it lent, for clocks that drift.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(200);
/// How long a new process withholds its own share, for what an earlier one lent out.
pub const RESTART_WITHHOLD: Duration = LOAN_DURATION.saturating_add(DRIFT_MARGIN);

/// The number of a request or a return on one line; the borrower counts up.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Counts up and returns the new number.
    pub fn bump(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}

/// Asks a host to lend, or to renew a line with the amounts needed from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// What is asked for.
    pub resource: Resource,
    /// Who asks.
    pub borrower: HostName,
    /// The asking process.
    pub incarnation: Incarnation,
    /// The number of the request on its line.
    pub sequence: Sequence,
    /// What the borrower holds of the line from here on until it takes the
    /// answer in; answers to earlier requests are void.
    pub held: Quota,
    /// The whole line wanted, not the difference.
    pub wanted: Quota,
}

/// Answers a [`LoanRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// What is lent.
    pub resource: Resource,
    /// Who lends.
    pub lender: HostName,
    /// Who asked.
    pub borrower: HostName,
    /// The process that asked.
    pub incarnation: Incarnation,
    /// The number of the request that this answers.
    pub sequence: Sequence,
    /// The whole line from now on.
    pub granted: Quota,
    /// Units that move now, in the resource's unit; at most the line's growth in burst.
    pub tokens: u64,
}

/// Gives a line, or a part of it, back before it lapses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// What is given back.
    pub resource: Resource,
    /// Who gives it back.
    pub borrower: HostName,
    /// The process that gives it back.
    pub incarnation: Incarnation,
    /// A number above those of all requests that the line had.
    pub sequence: Sequence,
    /// What the borrower still holds until the line lapses; answers to earlier requests are void.
    pub held: Quota,
    /// Units that move back, at most what the line shrinks by in burst.
    pub tokens: u64,
}

/// A message from a borrower to a lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoanMessage {
    /// Wants an answer.
    Request(LoanRequest),
    /// Wants none.
    Return(LoanReturn),
}

/// One answer that may still be in force at the borrower.
#[derive(Clone, Copy, Debug)]
struct Grant {
    quota: Quota,
    release_at: Instant,
}

/// The lender's side of one line.
#[derive(Clone, Debug, Default)]
struct LentLoan {
    sequence: Sequence,
    grants: SmallVec<[Grant; 4]>,
    last_reply: Option<LoanReply>,
}

impl LentLoan {
    /// Returns the most that the borrower may hold: it holds one answer at a time.
    fn withheld(&self) -> Quota {
        let mut largest = Quota::default();
        for grant in &self.grants {
            largest = largest.max(grant.quota);
        }
        largest
    }

    /// Counts what the borrower says that it holds, in place of earlier answers.
    fn shrink(&mut self, sequence: Sequence, held: Quota) {
        self.sequence = sequence;
        self.last_reply = None;
        for grant in &mut self.grants {
            grant.quota = grant.quota.min(held);
        }
    }

    fn push(&mut self, grant: Grant) {
        let covered = |g: &Grant| g.quota.max(grant.quota) == grant.quota;
        self.grants.retain(|g| !covered(g));
        self.grants.push(grant);
    }
}

/// What a host lent out of one resource.
#[derive(Clone, Debug, Default)]
pub struct LentLoans {
    loans: BTreeMap<(HostName, Incarnation), LentLoan>,
}

/// What a lender does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// It is new and wants an answer.
    New {
        /// The most that the borrower may still hold of the line.
        withheld: Quota,
    },
    /// It is the last request again; the same answer goes out.
    Repeated(LoanReply),
    /// It is older than the last one and gets no answer.
    Outdated,
}

impl LentLoans {
    /// Returns everything that is withheld.
    pub fn withheld(&self) -> Quota {
        let mut sum = Quota::default();
        for loan in self.loans.values() {
            sum = sum.plus(loan.withheld());
        }
        sum
    }

    /// Returns how many lines run.
    pub fn loans(&self) -> usize {
        self.loans.len()
    }

    /// Classifies a request. A new one makes its line shrink to what the borrower still holds.
    pub fn classify(&mut self, req: &LoanRequest) -> RequestStatus {
        let key = (req.borrower.clone(), req.incarnation);
        let Some(loan) = self.loans.get_mut(&key) else {
            return RequestStatus::New {
                withheld: Quota::default(),
            };
        };
        if req.sequence > loan.sequence {
            loan.shrink(req.sequence, req.held);
            return RequestStatus::New {
                withheld: loan.withheld(),
            };
        }
        match &loan.last_reply {
            Some(reply) if reply.sequence == req.sequence => RequestStatus::Repeated(reply.clone()),
            _ => RequestStatus::Outdated,
        }
    }

    /// Records an answer; its amounts are withheld until the loan and the margin have passed.
    pub fn grant(&mut self, now: Instant, reply: &LoanReply) {
        let key = (reply.borrower.clone(), reply.incarnation);
        let loan = self.loans.entry(key).or_default();
        loan.sequence = reply.sequence;
        loan.last_reply = Some(reply.clone());
        loan.push(Grant {
            quota: reply.granted,
            release_at: now + LOAN_DURATION + DRIFT_MARGIN,
        });
    }

    /// Takes back what a borrower gave up, and returns the tokens that come
    /// with it. Older messages of the line die with it.
    pub fn accept_return(&mut self, returned: &LoanReturn) -> u64 {
        let key = (returned.borrower.clone(), returned.incarnation);
        let Some(loan) = self.loans.get_mut(&key) else {
            return 0;
        };
        if returned.sequence <= loan.sequence {
            return 0;
        }
        let before = loan.withheld();
        loan.shrink(returned.sequence, returned.held);
        let shrunk = before.minus(loan.withheld());
        returned.tokens.min(shrunk.burst)
    }

    /// Returns when the next answer comes home.
    pub fn next_release(&self) -> Option<Instant> {
        let grants = self.loans.values().flat_map(|l| &l.grants);
        grants.map(|g| g.release_at).min()
    }

    /// Forgets the answers that came home by an instant.
    pub fn settle(&mut self, now: Instant) {
        for loan in self.loans.values_mut() {
            loan.grants.retain(|g| g.release_at > now);
        }
        self.loans.retain(|_, loan| !loan.grants.is_empty());
    }
}

/// The borrower's side of one line.
#[derive(Clone, Copy, Debug)]
pub struct BorrowedLoan {
    /// What the line carries.
    pub quota: Quota,
    /// Nothing of it is spent from here on.
    pub expires_at: Instant,
    /// When the request that brought it was sent.
    pub asked_at: Instant,
}

/// A request on its way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: Sequence,
    asked_at: Instant,
    wanted: Quota,
}

/// What an answer brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedReply {
    /// Units for the bucket.
    pub tokens: u64,
    /// The line that was wanted.
    pub wanted: Quota,
    /// The line that was granted.
    pub granted: Quota,
}

/// What a host borrowed of one resource.
#[derive(Clone, Debug, Default)]
pub struct BorrowedLoans {
    loans: BTreeMap<HostName, BorrowedLoan>,
    pending: BTreeMap<HostName, Pending>,
    sequence: Sequence,
}

impl BorrowedLoans {
    /// Returns everything that is borrowed.
    pub fn quota(&self) -> Quota {
        let mut sum = Quota::default();
        for loan in self.loans.values() {
            sum = sum.plus(loan.quota);
        }
        sum
    }

    /// Returns the lines by lender.
    pub fn loans(&self) -> impl Iterator<Item = (&HostName, &BorrowedLoan)> {
        self.loans.iter()
    }

    /// Returns the line from one lender.
    pub fn loan(&self, lender: &HostName) -> Option<&BorrowedLoan> {
        self.loans.get(lender)
    }

    /// Reports whether a request to a lender has been on its way for less than `patience`.
    pub fn is_pending(&self, now: Instant, lender: &HostName, timeout: Duration) -> bool {
        let pending = self.pending.get(lender);
        pending.is_some_and(|p| now.saturating_duration_since(p.asked_at) < timeout)
    }

    /// Records a request at the instant before it is sent; returns its number
    /// and what is held of the line meanwhile: nothing that is not wanted.
    pub fn request_loan(
        &mut self,
        now: Instant,
        lender: &HostName,
        wanted: Quota,
    ) -> (Sequence, Quota) {
        let sequence = self.sequence.bump();
        let pending = Pending {
            sequence,
            asked_at: now,
            wanted,
        };
        self.pending.insert(lender.clone(), pending);
        (sequence, self.shrink(lender, wanted))
    }

    /// Takes an answer in; only the answer to the last request counts, and only before it lapses.
    pub fn apply_reply(&mut self, now: Instant, reply: &LoanReply) -> Option<AppliedReply> {
        let pending = *self.pending.get(&reply.lender)?;
        if pending.sequence != reply.sequence {
            return None;
        }
        self.pending.remove(&reply.lender);
        let expires_at = pending.asked_at + LOAN_DURATION;
        if expires_at <= now {
            return None;
        }
        let loan = BorrowedLoan {
            quota: reply.granted,
            expires_at,
            asked_at: pending.asked_at,
        };
        match reply.granted.is_zero() {
            true => self.loans.remove(&reply.lender),
            false => self.loans.insert(reply.lender.clone(), loan),
        };
        Some(AppliedReply {
            tokens: reply.tokens,
            wanted: pending.wanted,
            granted: reply.granted,
        })
    }

    /// Gives up what a line carries above `kept`; returns the number that its
    /// return carries and what is still held.
    pub fn give_back(&mut self, lender: &HostName, kept: Quota) -> (Sequence, Quota) {
        self.pending.remove(lender);
        (self.sequence.bump(), self.shrink(lender, kept))
    }

    fn shrink(&mut self, lender: &HostName, kept: Quota) -> Quota {
        let Some(loan) = self.loans.get_mut(lender) else {
            return Quota::default();
        };
        loan.quota = loan.quota.min(kept);
        let held = loan.quota;
        if held.is_zero() {
            self.loans.remove(lender);
        }
        held
    }

    /// Returns when the next line lapses.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.loans.values().map(|l| l.expires_at).min()
    }

    /// Drops the lines that lapsed by an instant.
    pub fn settle(&mut self, now: Instant) {
        self.loans.retain(|_, loan| loan.expires_at > now);
    }
}
