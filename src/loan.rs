//! Short loans of rate and burst from host to host.
//!
//! Between one borrower and one lender there is at most one loan of each resource.
//! The lender withholds the quota until [`LOAN_DURATION`] and [`DRIFT_MARGIN`] have
//! passed since its reply; the borrower counts [`LOAN_DURATION`] from before it sent
//! the request, so the loan expires at the borrower first. A lost, late,
//! repeated or reordered message may lose tokens but never duplicates them.

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

/// Duration of a loan, counted by the borrower from before it sent the request.
pub const LOAN_DURATION: Duration = Duration::from_secs(4);
/// How much longer than [`LOAN_DURATION`] the lender withholds a loan, to allow for
/// clock drift.
pub const DRIFT_MARGIN: Duration = Duration::from_millis(200);
/// How long a new process withholds its own share, since an earlier process of the
/// host may have lent it out.
pub const RESTART_WITHHOLD: Duration = LOAN_DURATION.saturating_add(DRIFT_MARGIN);

/// The sequence number of a loan request or return, increased by the borrower with
/// each message.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Increments the number and returns the new one.
    pub fn bump(&mut self) -> Self {
        self.0 += 1;
        *self
    }
}

/// Requests a loan, or renews one with the amounts needed from now on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The resource to borrow.
    pub resource: Resource,
    /// The requesting host.
    pub borrower: HostName,
    /// The requesting process of that host.
    pub incarnation: Incarnation,
    /// The sequence number of the request.
    pub sequence: Sequence,
    /// The quota that the borrower keeps of the loan until it receives the reply. It
    /// ignores replies to earlier requests.
    pub held: Quota,
    /// The total quota wanted, not the difference from `held`.
    pub wanted: Quota,
}

/// Answers a [`LoanRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// The resource lent.
    pub resource: Resource,
    /// The lending host.
    pub lender: HostName,
    /// The host that sent the request.
    pub borrower: HostName,
    /// The process that sent the request.
    pub incarnation: Incarnation,
    /// The sequence number of the answered request.
    pub sequence: Sequence,
    /// The total quota lent from now on.
    pub granted: Quota,
    /// Tokens that move to the borrower with the reply, in the resource's unit; at most
    /// the loan's growth in burst.
    pub tokens: u64,
}

/// Returns a loan, or part of it, before it expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// The resource returned.
    pub resource: Resource,
    /// The host that returns it.
    pub borrower: HostName,
    /// The process that returns it.
    pub incarnation: Incarnation,
    /// A sequence number above those of all earlier requests for the loan.
    pub sequence: Sequence,
    /// The quota that the borrower still holds until the loan expires. It ignores
    /// replies to earlier requests.
    pub held: Quota,
    /// Tokens that move back to the lender; at most what the loan shrinks by in burst.
    pub tokens: u64,
}

/// A message from a borrower to a lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoanMessage {
    /// Requests or renews a loan; answered by a [`LoanReply`].
    Request(LoanRequest),
    /// Returns a loan or part of it; not answered.
    Return(LoanReturn),
}

/// One reply that may still be in force at the borrower.
#[derive(Clone, Copy, Debug)]
struct Grant {
    quota: Quota,
    /// When the lender stops withholding the quota.
    release_at: Instant,
}

/// The lender's record of one loan.
#[derive(Clone, Debug, Default)]
struct LentLoan {
    sequence: Sequence,
    grants: SmallVec<[Grant; 4]>,
    last_reply: Option<LoanReply>,
}

impl LentLoan {
    /// Returns the most that the borrower may hold: the largest rate and the largest
    /// burst of all grants, since only one reply is in force at a time.
    fn withheld(&self) -> Quota {
        let mut largest = Quota::default();
        for grant in &self.grants {
            largest = largest.max(grant.quota);
        }
        largest
    }

    /// Limits all grants to the quota that the borrower reports to hold.
    fn shrink(&mut self, sequence: Sequence, held: Quota) {
        self.sequence = sequence;
        self.last_reply = None;
        for grant in &mut self.grants {
            grant.quota = grant.quota.min(held);
        }
    }

    /// Adds a grant and drops those that it covers in both rate and burst.
    fn push(&mut self, grant: Grant) {
        let covered = |g: &Grant| g.quota.max(grant.quota) == grant.quota;
        self.grants.retain(|g| !covered(g));
        self.grants.push(grant);
    }
}

/// The loans of one resource that a host has given.
#[derive(Clone, Debug, Default)]
pub struct LentLoans {
    loans: BTreeMap<(HostName, Incarnation), LentLoan>,
}

/// How a lender treats a loan request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The request is new and needs a reply.
    New {
        /// The most that the borrower may still hold of the loan.
        withheld: Quota,
    },
    /// The last request again; the same reply is sent again.
    Repeated(LoanReply),
    /// The request is older than the last one and gets no reply.
    Outdated,
}

impl LentLoans {
    /// Returns the total quota withheld for all loans.
    pub fn withheld(&self) -> Quota {
        let mut sum = Quota::default();
        for loan in self.loans.values() {
            sum = sum.plus(loan.withheld());
        }
        sum
    }

    /// Returns the number of running loans.
    pub fn loans(&self) -> usize {
        self.loans.len()
    }

    /// Classifies a request. A new one reduces its loan to what the borrower still holds.
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

    /// Records a reply; its quota is withheld until [`LOAN_DURATION`] and
    /// [`DRIFT_MARGIN`] have passed.
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

    /// Accepts a return and gives the tokens that come with it. Messages of the loan
    /// with lower sequence numbers are ignored from here on.
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

    /// Returns when the next grant stops being withheld.
    pub fn next_release(&self) -> Option<Instant> {
        let grants = self.loans.values().flat_map(|l| &l.grants);
        grants.map(|g| g.release_at).min()
    }

    /// Drops the grants that are no longer withheld at `now`.
    pub fn settle(&mut self, now: Instant) {
        for loan in self.loans.values_mut() {
            loan.grants.retain(|g| g.release_at > now);
        }
        self.loans.retain(|_, loan| !loan.grants.is_empty());
    }
}

/// The borrower's record of one loan.
#[derive(Clone, Copy, Debug)]
pub struct BorrowedLoan {
    /// The quota borrowed.
    pub quota: Quota,
    /// When the borrower has to stop spending the loan.
    pub expires_at: Instant,
    /// When the request that was granted was sent.
    pub asked_at: Instant,
}

/// A request without a reply so far.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: Sequence,
    asked_at: Instant,
    wanted: Quota,
}

/// The result of applying a loan reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedReply {
    /// Tokens to deposit in the bucket, in units.
    pub tokens: u64,
    /// The total quota that was requested.
    pub wanted: Quota,
    /// The total quota that was granted.
    pub granted: Quota,
}

/// The loans of one resource that a host has taken.
#[derive(Clone, Debug, Default)]
pub struct BorrowedLoans {
    loans: BTreeMap<HostName, BorrowedLoan>,
    pending: BTreeMap<HostName, Pending>,
    sequence: Sequence,
}

impl BorrowedLoans {
    /// Returns the total quota borrowed.
    pub fn quota(&self) -> Quota {
        let mut sum = Quota::default();
        for loan in self.loans.values() {
            sum = sum.plus(loan.quota);
        }
        sum
    }

    /// Returns the loans by lender.
    pub fn loans(&self) -> impl Iterator<Item = (&HostName, &BorrowedLoan)> {
        self.loans.iter()
    }

    /// Returns the loan from one lender.
    pub fn loan(&self, lender: &HostName) -> Option<&BorrowedLoan> {
        self.loans.get(lender)
    }

    /// Reports whether a request to a lender has been unanswered for less than `timeout`.
    pub fn is_pending(&self, now: Instant, lender: &HostName, timeout: Duration) -> bool {
        let pending = self.pending.get(lender);
        pending.is_some_and(|p| now.saturating_duration_since(p.asked_at) < timeout)
    }

    /// Records a request just before it is sent. Returns its sequence number and the
    /// quota held of the loan meanwhile, which is reduced to what is wanted.
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

    /// Applies a reply. Only the reply to the last request counts, and only if it
    /// arrives before the loan expires.
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

    /// Reduces a loan to `kept`. Returns the sequence number for the [`LoanReturn`] and
    /// the quota still held.
    pub fn give_back(&mut self, lender: &HostName, kept: Quota) -> (Sequence, Quota) {
        self.pending.remove(lender);
        (self.sequence.bump(), self.shrink(lender, kept))
    }

    /// Limits a loan to `kept` and returns what is held; a loan of zero is dropped.
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

    /// Returns when the next loan expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.loans.values().map(|l| l.expires_at).min()
    }

    /// Drops the loans that have expired at `now`.
    pub fn settle(&mut self, now: Instant) {
        self.loans.retain(|_, loan| loan.expires_at > now);
    }
}
