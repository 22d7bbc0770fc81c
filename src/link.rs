//! Limits the bytes sent over links between regions.
//!
//! A link's cap holds in every sliding minute, since that is how it is billed. Like
//! an organisation's rate it is divided between hosts, those of the sending region,
//! and balanced by loans. Its rate and burst are chosen so that no sliding minute can
//! exceed the cap; see `docs/design/links.md`.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    account::PARK_DURATION_MAX,
    bucket::{
        Bucket,
        Quota, //
    },
    budget::{
        Attempt,
        Budgets,
        PARK_RETRY_INTERVAL, //
    },
    share::Resource,
    util::{
        id::ObjectName,
        units::{
            BitRate,
            ByteSize, //
        },
    },
};

/// Length of the sliding billing window: one minute, in seconds.
pub const BILLING_WINDOW_SECONDS: u64 = 60;
/// Largest number of bytes to pay for in one call of [`Links::pay`].
pub const CHUNK_BYTES: u64 = 64 * 1024;
/// The burst is one sixteenth of the bytes that the cap allows in a minute.
const BURST_DIVISOR: u64 = 16;
/// Reservations may take at most one half of a host's rate.
const RESERVED_DIVISOR: u64 = 2;
/// Requests are admitted while their unsent bytes fit into what the link carries in
/// this time.
pub const ADMISSION_WINDOW: Duration = Duration::from_secs(2);

/// Returns the rate and burst, in bytes, that keep every sliding minute at or below
/// a cap: `burst + 60 s * rate` is at most the cap's bytes a minute.
pub fn quota(cap: BitRate) -> Quota {
    let minute = cap.bytes_per_minute().0;
    let burst = minute / BURST_DIVISOR;
    Quota::new((minute - burst) / BILLING_WINDOW_SECONDS, burst)
}

/// The result of paying for bytes with [`Links::pay`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PayResult {
    /// The bytes are paid for and have to be sent at once.
    Paid,
    /// The bucket holds too few bytes; try again at `until`.
    Wait {
        /// When to try again.
        until: Instant,
    },
}

/// Whether a request may start to send over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkAdmission {
    /// The request is admitted. Its estimated bytes stay committed until they are paid
    /// for or released.
    Admitted,
    /// The link is full, but a loan may still arrive; try again at `until`.
    Wait {
        /// When to try again.
        until: Instant,
    },
    /// The link has no capacity for the estimated bytes.
    Refused {
        /// How long the caller should wait before it sends the request again.
        retry_after: Duration,
    },
}

/// Identifies a reservation, uniquely on one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub u64);

/// Which allowance bytes are charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAllowance {
    /// The rate shared by all requests and answers without a reservation.
    Shared,
    /// The reserved rate of a long transfer.
    Reserved(ReservationId),
}

/// This host's reservations and commitments on one link.
#[derive(Debug, Default)]
struct Link {
    reservations: BTreeMap<ReservationId, Bucket>,
    /// Bytes of admitted requests that are neither paid for nor released.
    committed: u64,
}

impl Link {
    /// Returns the sum of the reserved rates in bytes a second.
    fn reserved(&self) -> u64 {
        self.reservations.values().map(|b| b.quota().rate).sum()
    }
}

/// The links that this host sends on. Their token buckets are in [`Budgets`].
#[derive(Debug, Default)]
pub struct Links {
    links: BTreeMap<ObjectName, Link>,
    last_id: ReservationId,
}

impl Links {
    /// Creates an empty set; a link is added at its first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request if its estimated bytes, with those committed already, fit into
    /// the bucket and what the link carries in [`ADMISSION_WINDOW`]. The bytes
    /// themselves are paid for as they are sent.
    pub fn admit(
        &mut self,
        now: Instant,
        budgets: &mut Budgets,
        name: &ObjectName,
        estimate: ByteSize,
        attempt: Attempt,
    ) -> LinkAdmission {
        let resource = Resource::Link(name.clone());
        let link = self.links.entry(name.clone()).or_default();
        let account = budgets.use_account(now, &resource);
        let level = account.level(now);
        let free = account.quota().rate.saturating_sub(link.reserved());
        let capacity = level.saturating_add(free.saturating_mul(ADMISSION_WINDOW.as_secs()));
        let wanted = link.committed.saturating_add(estimate.0);
        if wanted <= capacity {
            link.committed = wanted;
            return LinkAdmission::Admitted;
        }
        if attempt == Attempt::First {
            account.record_demand(now, estimate.0);
        }
        account.mark_shortage(now);
        let since = match attempt {
            Attempt::First => now,
            Attempt::Retry { since } => since,
        };
        if now < since + PARK_DURATION_MAX && account.may_borrow(now, since + PARK_DURATION_MAX) {
            return LinkAdmission::Wait {
                until: now + PARK_RETRY_INTERVAL,
            };
        }
        let seconds = (wanted - capacity)
            .div_ceil(free.max(1))
            .clamp(1, BILLING_WINDOW_SECONDS);
        LinkAdmission::Refused {
            retry_after: Duration::from_secs(seconds),
        }
    }

    /// Releases the unused rest of an admitted estimate.
    pub fn release(&mut self, name: &ObjectName, unused: ByteSize) {
        if let Some(link) = self.links.get_mut(name) {
            link.committed = link.committed.saturating_sub(unused.0);
        }
    }

    /// Pays for bytes before they are sent; at most [`CHUNK_BYTES`] a call.
    ///
    /// Bytes that exceed a reservation are charged to the shared rate, which leaves one
    /// second of the reserved rates in the bucket, but no more than half of its burst.
    pub fn pay(
        &mut self,
        now: Instant,
        budgets: &mut Budgets,
        name: &ObjectName,
        payer: SendAllowance,
        bytes: ByteSize,
        attempt: Attempt,
    ) -> PayResult {
        let resource = Resource::Link(name.clone());
        let link = self.links.entry(name.clone()).or_default();
        let floor = link.reserved().min(budgets.quota(now, &resource).burst / 2);
        let reservation = match payer {
            SendAllowance::Shared => None,
            SendAllowance::Reserved(id) => link.reservations.get_mut(&id),
        };
        let reservation = reservation.and_then(|b| b.has(now, bytes.0).then_some(b));
        let floor = if reservation.is_some() { 0 } else { floor };
        if let Some(until) = budgets.pace(now, &resource, bytes.0, floor, attempt) {
            return PayResult::Wait { until };
        }
        if let Some(bucket) = reservation {
            bucket.debit(now, bytes.0);
        }
        link.committed = link.committed.saturating_sub(bytes.0);
        PayResult::Paid
    }

    /// Reserves a rate, in bytes a second, for a long transfer. Returns `None` if the
    /// reservations would exceed half of the host's rate.
    pub fn reserve(
        &mut self,
        now: Instant,
        budgets: &mut Budgets,
        name: &ObjectName,
        rate: ByteSize,
    ) -> Option<ReservationId> {
        let resource = Resource::Link(name.clone());
        let link = self.links.entry(name.clone()).or_default();
        let reserved = link.reserved().saturating_add(rate.0);
        if reserved > budgets.quota(now, &resource).rate / RESERVED_DIVISOR {
            return None;
        }
        self.last_id.0 += 1;
        let quota = Quota::new(rate.0, rate.0.max(CHUNK_BYTES));
        link.reservations
            .insert(self.last_id, Bucket::new(quota, now));
        budgets.set_reserved(now, &resource, reserved);
        Some(self.last_id)
    }

    /// Ends a reservation.
    pub fn end_reservation(
        &mut self,
        now: Instant,
        budgets: &mut Budgets,
        name: &ObjectName,
        id: ReservationId,
    ) {
        let Some(link) = self.links.get_mut(name) else {
            return;
        };
        link.reservations.remove(&id);
        let resource = Resource::Link(name.clone());
        budgets.set_reserved(now, &resource, link.reserved());
    }

    /// Returns the unused rate in bytes a second: the host's rate less the larger of its
    /// reservations and its recent demand.
    pub fn headroom(&self, now: Instant, budgets: &mut Budgets, name: &ObjectName) -> ByteSize {
        let resource = Resource::Link(name.clone());
        let reserved = self.links.get(name).map_or(0, Link::reserved);
        let account = budgets.use_account(now, &resource);
        account.settle(now);
        let used = account.demand_rate(now).max(reserved);
        ByteSize(account.quota().rate.saturating_sub(used))
    }
}
