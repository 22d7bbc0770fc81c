//! What one host may spend of every divisible quantity.
//!
//! [`Budgets`] does no I/O: the host's actor passes in the instant, the
//! holdings that it adopts, and the messages of other hosts, and sends what
//! comes out. See `docs/design/budgets.md`.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use thiserror::Error;
use tokio::time::Instant;

mod debit;
mod loans;
mod silence;

use self::silence::LenderBackoff;
pub(crate) use debit::PARK_RETRY_INTERVAL;
pub use debit::{
    Attempt,
    Debit,
    Refusal, //
};
use debit::{
    RETRY_AFTER_MIN,
    decide,
    refused, //
};
pub use loans::{
    LOAN_MESSAGE_QUOTA,
    Messages, //
};

pub use crate::account::{
    Holding,
    PARK_DURATION_MAX, //
};
use crate::{
    account::{
        Account,
        Lender, //
    },
    bucket::{
        Bucket,
        Quota, //
    },
    ledger::{
        Ledger,
        Member,
        Revision, //
    },
    loan::RESTART_WITHHOLD,
    share::{
        self,
        FleetQuota, //
        MILLI_REQUESTS,
        Resource,
    },
    util::id::{
        HostName,
        Incarnation,
        OrganisationName, //
    },
};

/// The longest gap in a host's own calls after which it still spends its own
/// share without asking whether the share is still its own.
pub const PAUSE_MAX: Duration = Duration::from_secs(10);
/// The shortest time that paced work waits.
const PACE_MIN: Duration = Duration::from_millis(1);
/// The longest time that paced work waits before it looks again.
const PACE_MAX: Duration = Duration::from_millis(100);

/// What a host's own shares are worked out from.
#[derive(Clone, Debug)]
pub struct Holdings {
    /// The quantities of the adopted configuration, ordered by name.
    pub wholes: Vec<FleetQuota>,
    /// The host itself.
    pub member: Member,
    /// Its zone's ledger.
    pub ledger: Ledger,
    /// The other zones' ledgers as far as they are known, nearest first; they name lenders only.
    pub others: Vec<Ledger>,
}

/// Holdings that may not be adopted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdoptError {
    /// The ledger is older than the one that is held.
    #[error("ledger revision {offered:?} is older than the held {held:?}; read it again")]
    Older {
        /// The revision that is held.
        held: Revision,
        /// The revision that was offered.
        offered: Revision,
    },
    /// The ledger was asked for before the host lost sight of its own standing.
    #[error("the ledger was asked for before a pause of this process; ask again")]
    AskedBeforePause,
}

/// One host's budgets.
#[derive(Debug)]
pub struct Budgets {
    host: HostName,
    incarnation: Incarnation,
    spendable_from: Instant,
    last_call_at: Instant,
    unvalidated_since: Option<Instant>,
    stopping: bool,
    holdings: Option<Arc<Holdings>>,
    accounts: BTreeMap<Resource, Account>,
    active: BTreeSet<Resource>,
    lender_messages: Bucket,
    lender_backoff: LenderBackoff,
}

impl Budgets {
    /// Returns the empty budgets of a new process, which has to hold its listening port already.
    ///
    /// Its own shares are withheld for [`RESTART_WITHHOLD`]: an earlier
    /// process may have lent them out.
    pub fn new(host: HostName, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            spendable_from: now + RESTART_WITHHOLD,
            last_call_at: now,
            unvalidated_since: Some(now),
            stopping: false,
            holdings: None,
            accounts: BTreeMap::new(),
            active: BTreeSet::new(),
            lender_messages: Bucket::new(LOAN_MESSAGE_QUOTA, now),
            lender_backoff: LenderBackoff::default(),
        }
    }

    /// Adopts a configuration's quantities and the zone's ledger.
    ///
    /// `asked_at` is when this process asked for the ledger. The answer has to
    /// come from a host of the zone that counts by it, from the relay, or from
    /// a store read that a conditional write confirmed; a bare store read may be stale.
    pub fn adopt(
        &mut self,
        now: Instant,
        asked_at: Instant,
        holdings: Arc<Holdings>,
    ) -> Result<(), AdoptError> {
        self.observe(now);
        let offered = holdings.ledger.revision;
        let held = self.revision();
        if offered < held {
            return Err(AdoptError::Older { held, offered });
        }
        if self.unvalidated_since.is_some_and(|since| asked_at < since) {
            return Err(AdoptError::AskedBeforePause);
        }
        self.unvalidated_since = None;
        self.apply_shares(now, &holdings);
        self.holdings = Some(holdings);
        Ok(())
    }

    fn apply_shares(&mut self, now: Instant, holdings: &Holdings) {
        for (resource, account) in &mut self.accounts {
            if find_quota(&holdings.wholes, resource).is_none() {
                account.set_share(now, Quota::default());
            }
        }
        for fleet_quota in &holdings.wholes {
            let share = share::host_share(fleet_quota, &holdings.ledger, &holdings.member);
            if share.is_zero() && !self.accounts.contains_key(&fleet_quota.resource) {
                continue;
            }
            let spendable_from = self.spendable_from;
            let account = self.open_account(now, &fleet_quota.resource);
            account.set_share(now, share);
            account.release(now, spendable_from);
        }
    }

    fn open_account(&mut self, now: Instant, resource: &Resource) -> &mut Account {
        let spendable_from = self.spendable_from;
        let entry = self.accounts.entry(resource.clone());
        entry.or_insert_with(|| Account::new(resource.clone(), spendable_from, now))
    }

    /// Returns the ledger revision that is held.
    pub fn revision(&self) -> Revision {
        let held = self.holdings.as_ref();
        held.map_or(Revision::default(), |h| h.ledger.revision)
    }

    /// Returns the ledger revision to acknowledge in heartbeats, none while
    /// more is lent out than the held shares allow.
    pub fn acknowledged(&mut self, now: Instant) -> Option<Revision> {
        self.observe(now);
        if now < self.spendable_from || self.unvalidated_since.is_some() {
            return None;
        }
        for account in self.accounts.values_mut() {
            account.settle(now);
            if account.is_overlent() {
                return None;
            }
        }
        Some(self.revision())
    }

    /// Reports whether the ledger has to be asked for before own shares are spent again.
    pub fn needs_validation(&self) -> bool {
        self.unvalidated_since.is_some()
    }

    /// Notices a gap in this process's own calls and withholds the own shares after a long one.
    fn observe(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_call_at);
        self.last_call_at = self.last_call_at.max(now);
        if gap < PAUSE_MAX || self.unvalidated_since.is_some() {
            return;
        }
        self.unvalidated_since = Some(now);
        for account in self.accounts.values_mut() {
            account.withhold(now);
        }
    }

    /// Notices gaps; call it several times a second.
    pub fn on_tick(&mut self, now: Instant) {
        self.observe(now);
    }

    /// Debits one request of an organisation, to be started at once.
    pub fn debit(&mut self, now: Instant, name: &OrganisationName, attempt: Attempt) -> Debit {
        let resource = Resource::Organisation(name.clone());
        self.debit_amount(now, &resource, MILLI_REQUESTS, 0, attempt)
    }

    /// Debits an amount of any quantity, leaving at least `floor` units for others on this host.
    pub fn debit_amount(
        &mut self,
        now: Instant,
        resource: &Resource,
        amount: u64,
        floor: u64,
        attempt: Attempt,
    ) -> Debit {
        self.observe(now);
        let reason = self.refusal_reason(resource);
        if reason == Refusal::Unknown || reason == Refusal::Stopping {
            return refused(RETRY_AFTER_MIN, reason);
        }
        let account = self.use_account(now, resource);
        if attempt == Attempt::First {
            account.record_demand(now, amount);
        }
        decide(account, now, amount, floor, attempt, reason)
    }

    /// Takes an amount for work that already runs, leaving at least `floor`
    /// units for others; otherwise returns when to try again. It never refuses.
    pub fn pace(
        &mut self,
        now: Instant,
        resource: &Resource,
        amount: u64,
        floor: u64,
        attempt: Attempt,
    ) -> Option<Instant> {
        self.observe(now);
        let account = self.use_account(now, resource);
        if attempt == Attempt::First {
            account.record_demand(now, amount);
        }
        if account.try_debit(now, amount, floor) {
            return None;
        }
        let refill = account.refill_time(now, amount.saturating_add(floor));
        let wait = refill.unwrap_or(PACE_MAX);
        Some(now + wait.clamp(PACE_MIN, PACE_MAX))
    }

    /// Sets the units a second of a quantity that this host keeps, and borrows, for work in flight.
    pub fn set_reserved(&mut self, now: Instant, resource: &Resource, reserved: u64) {
        self.observe(now);
        self.use_account(now, resource).set_reserved(reserved);
    }

    /// Returns an account that is in use from now on.
    pub(crate) fn use_account(&mut self, now: Instant, resource: &Resource) -> &mut Account {
        let lenders = self.lenders_if_needed(resource);
        self.active.insert(resource.clone());
        let account = self.open_account(now, resource);
        if let Some(lenders) = lenders {
            account.set_lenders(lenders);
        }
        account
    }

    /// Returns the reason that a refusal of this quantity would have now.
    fn refusal_reason(&self, resource: &Resource) -> Refusal {
        let Some(holdings) = &self.holdings else {
            return Refusal::Unvalidated;
        };
        if self.stopping {
            return Refusal::Stopping;
        }
        if find_quota(&holdings.wholes, resource).is_none() {
            return Refusal::Unknown;
        }
        if self.unvalidated_since.is_some() {
            return Refusal::Unvalidated;
        }
        Refusal::Rate
    }

    fn lenders_if_needed(&self, resource: &Resource) -> Option<Vec<Lender>> {
        let account = self.accounts.get(resource);
        if account.is_some_and(|a| !a.needs_lenders()) {
            return None;
        }
        let holdings = self.holdings.as_ref()?;
        let fleet_quota = find_quota(&holdings.wholes, resource)?;
        Some(loans::lenders(fleet_quota, holdings, &self.host))
    }

    /// Returns the quota that may be spent of a quantity at an instant, loans included.
    pub fn quota(&mut self, now: Instant, resource: &Resource) -> Quota {
        self.observe(now);
        let Some(account) = self.accounts.get_mut(resource) else {
            return Quota::default();
        };
        account.settle(now);
        account.quota()
    }

    /// Returns what the host holds of each quantity.
    pub fn explain(&mut self, now: Instant) -> Vec<(Resource, Holding)> {
        self.observe(now);
        let mut holdings = Vec::with_capacity(self.accounts.len());
        for (resource, account) in &mut self.accounts {
            holdings.push((resource.clone(), account.holding(now)));
        }
        holdings
    }
}

fn find_quota<'a>(wholes: &'a [FleetQuota], resource: &Resource) -> Option<&'a FleetQuota> {
    let found = wholes.binary_search_by(|w| w.resource.cmp(resource));
    found.ok().map(|i| &wholes[i])
}
