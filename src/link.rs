//! Bytes on a link, billed in every sliding minute.
//!
//! A link's cap is a divisible quantity like an organisation's rate, divided
//! between the hosts of the sending region and moved by loans. Its rate and
//! burst are set so that no sliding minute can pass the cap; see
//! `docs/design/links.md`.

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

/// The length of the billed minute in seconds.
pub const BILLING_WINDOW_SECONDS: u64 = 60;
/// The bytes that one call of [`Links::pay`] asks for at most.
pub const CHUNK_BYTES: u64 = 64 * 1024;
/// The part of a minute's bytes that may be saved up: one sixteenth.
const BURST_DIVISOR: u64 = 16;

/// The part of a host's rate that reservations may take: one half.
const RESERVED_DIVISOR: u64 = 2;
/// Admitted bytes that were not paid yet stay below what the link carries in this time.
pub const ADMISSION_WINDOW: Duration = Duration::from_secs(2);

/// Returns the rate and burst that keep every sliding minute at or below a cap:
/// `burst + 60 s * rate` is at most the cap's bytes a minute.
pub fn quota(cap: BitRate) -> Quota {
    let minute = cap.bytes_per_minute().0;
    let burst = minute / BURST_DIVISOR;
    Quota::new((minute - burst) / BILLING_WINDOW_SECONDS, burst)
}

/// Whether bytes may go out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pay {
    /// They are paid for; send them at once.
    Go,
    /// Try again at this instant.
    Wait {
        /// When to try again.
        until: Instant,
    },
}

/// Whether a request may start to use a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// Its estimate is held for it until it is paid for or released.
    Go,
    /// A loan may be on its way; try again at this instant.
    Wait {
        /// When to try again.
        until: Instant,
    },
    /// The link has no room.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// The number of a reservation on one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(pub u64);

/// Who pays for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payer {
    /// A request or answer without a reservation.
    Shared,
    /// A long transfer with a reserved rate.
    Reserved(ReservationId),
}

/// One link as this host uses it.
#[derive(Debug, Default)]
struct Link {
    reservations: BTreeMap<ReservationId, Bucket>,
    committed: u64,
}

impl Link {
    fn reserved(&self) -> u64 {
        self.reservations.values().map(|b| b.quota().rate).sum()
    }
}

/// The links that this host sends on. The bytes themselves stand in [`Budgets`].
#[derive(Debug, Default)]
pub struct Links {
    links: BTreeMap<ObjectName, Link>,
    last_id: ReservationId,
}

impl Links {
    /// Returns no links; one appears with its first use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request whose bytes are estimated, into what [`ADMIT_SPAN`] of
    /// the link can still carry; the bytes themselves are paid as they pass.
    pub fn admit(
        &mut self,
        now: Instant,
        budgets: &mut Budgets,
        name: &ObjectName,
        estimate: ByteSize,
        attempt: Attempt,
    ) -> Admit {
        let resource = Resource::Link(name.clone());
        let link = self.links.entry(name.clone()).or_default();
        let account = budgets.use_account(now, &resource);
        let level = account.level(now);
        let free = account.quota().rate.saturating_sub(link.reserved());
        let capacity = level.saturating_add(free.saturating_mul(ADMISSION_WINDOW.as_secs()));
        let wanted = link.committed.saturating_add(estimate.0);
        if wanted <= capacity {
            link.committed = wanted;
            return Admit::Go;
        }
        if attempt == Attempt::First {
            account.record_demand(now, estimate.0);
        }
        account.mark_shortage(now);
        let since = match attempt {
            Attempt::First => now,
            Attempt::Again { since } => since,
        };
        if now < since + PARK_DURATION_MAX && account.may_borrow(now, since + PARK_DURATION_MAX) {
            return Admit::Wait {
                until: now + PARK_RETRY_INTERVAL,
            };
        }
        let seconds = (wanted - capacity)
            .div_ceil(free.max(1))
            .clamp(1, BILLING_WINDOW_SECONDS);
        Admit::Refused {
            retry_after: Duration::from_secs(seconds),
        }
    }

    /// Gives up what is left of an admitted estimate.
    pub fn release(&mut self, name: &ObjectName, unused: ByteSize) {
        if let Some(link) = self.links.get_mut(name) {
            link.committed = link.committed.saturating_sub(unused.0);
        }
    }

    /// Pays for bytes before they are sent, at most [`CHUNK_BYTES`] a call.
    pub fn pay(
        &mut self,
        now: Instant,
        budgets: &mut Budgets,
        name: &ObjectName,
        payer: Payer,
        bytes: ByteSize,
        attempt: Attempt,
    ) -> Pay {
        let resource = Resource::Link(name.clone());
        let link = self.links.entry(name.clone()).or_default();
        let floor = link.reserved().min(budgets.quota(now, &resource).burst / 2);
        let reservation = match payer {
            Payer::Shared => None,
            Payer::Reserved(id) => link.reservations.get_mut(&id),
        };
        let reservation = reservation.and_then(|b| b.has(now, bytes.0).then_some(b));
        let floor = if reservation.is_some() { 0 } else { floor };
        if let Some(until) = budgets.pace(now, &resource, bytes.0, floor, attempt) {
            return Pay::Wait { until };
        }
        if let Some(bucket) = reservation {
            bucket.debit(now, bytes.0);
        }
        link.committed = link.committed.saturating_sub(bytes.0);
        Pay::Go
    }

    /// Reserves a rate, in bytes a second, for a long transfer, out of half of
    /// what the host may send; none where that is taken.
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

    /// Gives a reservation up.
    pub fn end(
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

    /// Returns the bytes a second that neither reservations nor recent demand use.
    pub fn headroom(&self, now: Instant, budgets: &mut Budgets, name: &ObjectName) -> ByteSize {
        let resource = Resource::Link(name.clone());
        let reserved = self.links.get(name).map_or(0, Link::reserved);
        let account = budgets.use_account(now, &resource);
        account.settle(now);
        let used = account.demand_rate(now).max(reserved);
        ByteSize(account.quota().rate.saturating_sub(used))
    }
}
