//! Distributed rate limits: how much of each organisation's request rate and
//! each link's bytes this host may spend.
//!
//! Every quota is configured for the whole fleet and divided into host shares;
//! hosts lend unused share to each other for a few seconds. [`Budgets`] does no
//! I/O: the host's actor passes in the current time, the shares to adopt and the
//! messages of other hosts, and sends the messages that the methods return. See
//! `docs/design/budgets.md`.

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
mod lender_backoff;
mod loans;

use self::lender_backoff::LenderBackoff;
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
    AccountSnapshot,
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

/// Longest gap between two calls into [`Budgets`] after which the host may go on
/// spending its own share; after a longer one it first has to revalidate the
/// share against the ledger.
pub const PAUSE_MAX: Duration = Duration::from_secs(10);
/// Shortest wait that [`Budgets::pace`] returns.
const PACE_MIN: Duration = Duration::from_millis(1);
/// Longest wait that [`Budgets::pace`] returns before the caller tries again.
const PACE_MAX: Duration = Duration::from_millis(100);

/// The inputs from which a host computes its own shares.
#[derive(Clone, Debug)]
pub struct ShareInputs {
    /// The fleet-wide quotas of the adopted configuration, ordered by resource.
    pub fleet_quotas: Vec<FleetQuota>,
    /// This host, as the ledger lists it.
    pub member: Member,
    /// The ledger of this host's zone.
    pub ledger: Ledger,
    /// The known ledgers of other zones, nearest first. They are used only to find lenders.
    pub others: Vec<Ledger>,
}

/// Why [`Budgets::adopt`] rejected a ledger.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdoptError {
    /// The offered ledger is older than the adopted one.
    #[error("ledger revision {offered:?} is older than the adopted {held:?}; read it again")]
    Older {
        /// The revision adopted at present.
        held: Revision,
        /// The revision of the rejected ledger.
        offered: Revision,
    },
    /// The ledger was requested before the latest pause of this process, so it does
    /// not prove that the shares are still valid.
    #[error("the ledger was requested before this process paused; request it again")]
    RequestedBeforePause,
}

/// The shares, loans and token buckets of one host.
#[derive(Debug)]
pub struct Budgets {
    host: HostName,
    incarnation: Incarnation,
    /// When the restart withholding ends.
    spendable_from: Instant,
    last_call_at: Instant,
    /// Since when the own shares have to be revalidated.
    unvalidated_since: Option<Instant>,
    stopping: bool,
    share_inputs: Option<Arc<ShareInputs>>,
    accounts: BTreeMap<Resource, Account>,
    /// Resources whose accounts may need loan messages.
    active: BTreeSet<Resource>,
    /// Limits the rate of outgoing loan messages.
    lender_messages: Bucket,
    lender_backoff: LenderBackoff,
}

impl Budgets {
    /// Creates the empty budgets of a new process, which must already have bound its
    /// listening port.
    ///
    /// Its own shares stay unspendable for [`RESTART_WITHHOLD`], since an earlier
    /// process of this host may have lent them out.
    pub fn new(host: HostName, incarnation: Incarnation, now: Instant) -> Self {
        Self {
            host,
            incarnation,
            spendable_from: now + RESTART_WITHHOLD,
            last_call_at: now,
            unvalidated_since: Some(now),
            stopping: false,
            share_inputs: None,
            accounts: BTreeMap::new(),
            active: BTreeSet::new(),
            lender_messages: Bucket::new(LOAN_MESSAGE_QUOTA, now),
            lender_backoff: LenderBackoff::default(),
        }
    }

    /// Adopts the quotas of a configuration and the zone's ledger, and recomputes the
    /// host's own shares.
    ///
    /// `asked_at` is when this process requested the ledger. The ledger has to come
    /// from a host of the zone that applies it, from the relay, or from a store read
    /// that a conditional write confirmed; an unconfirmed store read may be stale.
    pub fn adopt(
        &mut self,
        now: Instant,
        asked_at: Instant,
        share_inputs: Arc<ShareInputs>,
    ) -> Result<(), AdoptError> {
        self.observe(now);
        let offered = share_inputs.ledger.revision;
        let held = self.revision();
        if offered < held {
            return Err(AdoptError::Older { held, offered });
        }
        if self.unvalidated_since.is_some_and(|since| asked_at < since) {
            return Err(AdoptError::RequestedBeforePause);
        }
        self.unvalidated_since = None;
        self.apply_shares(now, &share_inputs);
        self.share_inputs = Some(share_inputs);
        Ok(())
    }

    /// Recomputes the own share of every resource from new inputs.
    fn apply_shares(&mut self, now: Instant, share_inputs: &ShareInputs) {
        for (resource, account) in &mut self.accounts {
            if find_quota(&share_inputs.fleet_quotas, resource).is_none() {
                account.set_share(now, Quota::default());
            }
        }
        for fleet_quota in &share_inputs.fleet_quotas {
            let share = share::host_share(fleet_quota, &share_inputs.ledger, &share_inputs.member);
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

    /// Returns the revision of the adopted ledger, or revision zero before the first.
    pub fn revision(&self) -> Revision {
        let held = self.share_inputs.as_ref();
        held.map_or(Revision::default(), |h| h.ledger.revision)
    }

    /// Returns the ledger revision to acknowledge in heartbeats, or `None` while the
    /// shares are withheld or unvalidated, or while the host has lent out more than
    /// its share.
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

    /// Reports whether the host has to fetch the ledger before it may spend its own
    /// shares again.
    pub fn needs_validation(&self) -> bool {
        self.unvalidated_since.is_some()
    }

    /// Records a call and withholds the own shares if the previous one was
    /// [`PAUSE_MAX`] or longer ago.
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

    /// Detects pauses of the process; call it several times a second.
    pub fn on_tick(&mut self, now: Instant) {
        self.observe(now);
    }

    /// Debits one request of an organisation, which has to start at once when granted.
    pub fn debit(&mut self, now: Instant, name: &OrganisationName, attempt: Attempt) -> Debit {
        let resource = Resource::Organisation(name.clone());
        self.debit_amount(now, &resource, MILLI_REQUESTS, 0, attempt)
    }

    /// Debits `amount` units of a resource, leaving at least `floor` units in the
    /// bucket for other requests on this host.
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

    /// Debits `amount` units for work that is already running, leaving at least
    /// `floor` units in the bucket; otherwise returns when to try again. It never
    /// refuses.
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

    /// Sets the rate, in units a second, that this host keeps or borrows for running transfers.
    pub fn set_reserved(&mut self, now: Instant, resource: &Resource, reserved: u64) {
        self.observe(now);
        self.use_account(now, resource).set_reserved(reserved);
    }

    /// Returns the account of a resource, created if necessary, and marks it active
    /// so that [`Self::loan_messages`] considers it.
    pub(crate) fn use_account(&mut self, now: Instant, resource: &Resource) -> &mut Account {
        let lenders = self.lenders_if_needed(resource);
        self.active.insert(resource.clone());
        let account = self.open_account(now, resource);
        if let Some(lenders) = lenders {
            account.set_lenders(lenders);
        }
        account
    }

    /// Returns the reason to give if a debit of this resource is refused now.
    fn refusal_reason(&self, resource: &Resource) -> Refusal {
        let Some(share_inputs) = &self.share_inputs else {
            return Refusal::Unvalidated;
        };
        if self.stopping {
            return Refusal::Stopping;
        }
        if find_quota(&share_inputs.fleet_quotas, resource).is_none() {
            return Refusal::Unknown;
        }
        if self.unvalidated_since.is_some() {
            return Refusal::Unvalidated;
        }
        Refusal::Rate
    }

    /// Returns the lenders of a resource if its account has none cached.
    fn lenders_if_needed(&self, resource: &Resource) -> Option<Vec<Lender>> {
        let account = self.accounts.get(resource);
        if account.is_some_and(|a| !a.needs_lenders()) {
            return None;
        }
        let share_inputs = self.share_inputs.as_ref()?;
        let fleet_quota = find_quota(&share_inputs.fleet_quotas, resource)?;
        Some(loans::lenders(fleet_quota, share_inputs, &self.host))
    }

    /// Returns the rate and burst that this host may spend of a resource, loans
    /// included.
    pub fn quota(&mut self, now: Instant, resource: &Resource) -> Quota {
        self.observe(now);
        let Some(account) = self.accounts.get_mut(resource) else {
            return Quota::default();
        };
        account.settle(now);
        account.quota()
    }

    /// Returns a snapshot of each account, for the status page.
    pub fn account_snapshots(&mut self, now: Instant) -> Vec<(Resource, AccountSnapshot)> {
        self.observe(now);
        let mut snapshots = Vec::with_capacity(self.accounts.len());
        for (resource, account) in &mut self.accounts {
            snapshots.push((resource.clone(), account.snapshot(now)));
        }
        snapshots
    }
}

fn find_quota<'a>(fleet_quotas: &'a [FleetQuota], resource: &Resource) -> Option<&'a FleetQuota> {
    let found = fleet_quotas.binary_search_by(|w| w.resource.cmp(resource));
    found.ok().map(|i| &fleet_quotas[i])
}
