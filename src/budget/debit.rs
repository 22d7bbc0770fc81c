//! The answer to a debit, and how it comes about.

use std::time::Duration;

use tokio::time::Instant;

use crate::account::{
    Account,
    PARK_DURATION_MAX, //
};

/// How often a held-back request looks again.
pub(crate) const PARK_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The shortest time that a refused caller is told to wait.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Whether a request tries for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It was not held back before.
    First,
    /// It was held back, and its first try was at this instant.
    Again {
        /// The instant of the first try.
        since: Instant,
    },
}

/// Why a debit was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The shares and loans that this host holds are used up.
    Rate,
    /// The host holds no share, and nobody lends it one.
    NoShare,
    /// The host was paused and has not yet heard that its share is still its own.
    Unvalidated,
    /// The configuration knows no such quantity.
    Unknown,
    /// The host gave its shares back and stops.
    Stopping,
}

/// The answer to a debit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Debit {
    /// The amount was taken. Send at once: a start later than the debit is not accounted for.
    Granted,
    /// Hold the request back and try again with [`Attempt::Again`] at this
    /// instant, or when a loan reply came in.
    Wait {
        /// When to try again.
        until: Instant,
    },
    /// The request does not run.
    Refused {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: Refusal,
    },
}

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
        Attempt::Again { since } => since,
    };
    let park_until = since + PARK_DURATION_MAX;
    // Requests that were held back earlier go first.
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
