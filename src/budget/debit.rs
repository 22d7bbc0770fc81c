//! Decides whether a debit is granted, held back or refused.

use std::time::Duration;

use tokio::time::Instant;

use crate::account::{
    Account,
    PARK_DURATION_MAX, //
};

/// Interval at which a request that is held back retries its debit.
pub(crate) const PARK_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest retry delay returned to a refused caller.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Whether a debit is the first try of a request or a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The first try. Only this one counts towards demand.
    First,
    /// A retry after the request was held back.
    Retry {
        /// When the first try was made.
        since: Instant,
    },
}

/// Why a debit was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The rate and burst that this host holds, loans included, are used up.
    Rate,
    /// The host has no share of the quota, and no host has lent it any.
    NoShare,
    /// The host has not yet validated its share, after its start or a pause.
    Unvalidated,
    /// The configuration contains no such organisation or link.
    Unknown,
    /// The host is stopping and has returned its loans.
    Stopping,
}

/// The result of a debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Debit {
    /// The amount was debited. Start the request at once: the rate limit holds only
    /// if it starts at the time of the debit.
    Granted,
    /// Hold the request back and retry with [`Attempt::Retry`] at `until`, or as
    /// soon as a loan reply arrives.
    Wait {
        /// When to retry at the latest.
        until: Instant,
    },
    /// The request must not start.
    Refused {
        /// How long the caller should wait before it sends the request again.
        retry_after: Duration,
        /// Why the debit was refused.
        reason: Refusal,
    },
}

/// Grants a debit, holds its request back, or refuses it with `reason`.
///
/// A request is held back for at most [`PARK_DURATION_MAX`], and only while a refill
/// or a loan can still arrive within that time.
pub(super) fn decide(
    account: &mut Account,
    now: Instant,
    amount: u64,
    floor: u64,
    attempt: Attempt,
    reason: Refusal,
) -> Debit {
    let since = match attempt {
        Attempt::First => now,
        Attempt::Retry { since } => since,
    };
    let park_until = since + PARK_DURATION_MAX;
    // Leaves enough for requests that were held back earlier, so these go first.
    let floor = floor.saturating_add(account.parked_before(now, park_until));
    if account.try_debit(now, amount, floor) {
        account.unpark(park_until);
        return Debit::Granted;
    }
    let refill = account.refill_time(now, amount.saturating_add(floor));
    let remaining = park_until.saturating_duration_since(now);
    let wait = match refill {
        _ if account.may_borrow(now, park_until) => Some(PARK_RETRY_INTERVAL),
        Some(t) if t <= remaining => Some(t.max(PARK_RETRY_INTERVAL)),
        _ => None,
    };
    if let Some(wait) = wait
        && !remaining.is_zero()
        && (attempt != Attempt::First || account.park(now, park_until, amount))
    {
        return Debit::Wait {
            until: (now + wait).min(park_until),
        };
    }
    account.unpark(park_until);
    account.count_refusal();
    let reason = match (reason, account.quota().rate) {
        (Refusal::Rate, 0) => Refusal::NoShare,
        _ => reason,
    };
    refused(refill.unwrap_or_default().max(RETRY_AFTER_MIN), reason)
}

pub(super) fn refused(retry_after: Duration, reason: Refusal) -> Debit {
    Debit::Refused {
        retry_after,
        reason,
    }
}
