//! A token bucket in integers.
//!
//! A bucket counts in any unit: thousandths of a request, or bytes. With a
//! constant [`Quota`] the starts in any window of length `w` stay at or below
//! `burst + rate * w`; a change of the quota mints nothing.

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// An amount that a second brings, and the most that may be saved up.
///
/// The unit is the resource's own: thousandths of a request, or bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Units a second.
    pub rate: u64,
    /// Units that may be saved up.
    pub burst: u64,
}

impl Quota {
    /// Returns a quota.
    pub const fn new(rate: u64, burst: u64) -> Self {
        Self { rate, burst }
    }

    /// Returns the smaller rate and the smaller burst.
    pub fn min(self, other: Self) -> Self {
        Self::new(self.rate.min(other.rate), self.burst.min(other.burst))
    }

    /// Returns the larger rate and the larger burst.
    pub fn max(self, other: Self) -> Self {
        Self::new(self.rate.max(other.rate), self.burst.max(other.burst))
    }

    /// Returns the sum, at most the largest integer.
    pub fn plus(self, other: Self) -> Self {
        Self::new(
            self.rate.saturating_add(other.rate),
            self.burst.saturating_add(other.burst),
        )
    }

    /// Returns the difference, at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self::new(
            self.rate.saturating_sub(other.rate),
            self.burst.saturating_sub(other.burst),
        )
    }

    /// Reports whether both parts are zero.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// A token bucket. Its level is kept in units times nanoseconds, so refills are exact.
#[derive(Clone, Debug)]
pub struct Bucket {
    quota: Quota,
    level: u128,
    at: Instant,
}

impl Bucket {
    /// Returns an empty bucket; a new process starts with this, so a restart mints nothing.
    pub fn new(quota: Quota, now: Instant) -> Self {
        Self {
            quota,
            level: 0,
            at: now,
        }
    }

    /// Returns the quota that the bucket fills by.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Returns the last instant that the bucket was refilled at.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Refills up to an instant. An earlier instant than the last one changes nothing.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_nanos();
        let minted = elapsed.saturating_mul(u128::from(self.quota.rate));
        self.level = self.level.saturating_add(minted).min(self.capacity());
        self.at = self.at.max(now);
    }

    /// Replaces the quota from an instant on. The level shrinks with the burst and never grows.
    pub fn set_quota(&mut self, now: Instant, quota: Quota) {
        self.advance(now);
        self.quota = quota;
        self.level = self.level.min(self.capacity());
    }

    /// Returns the whole units that are there at an instant.
    pub fn level(&mut self, now: Instant) -> u64 {
        self.advance(now);
        u64::try_from(self.level / NANOS_PER_SECOND).unwrap_or(u64::MAX)
    }

    /// Reports whether an amount is there at an instant.
    pub fn has(&mut self, now: Instant, amount: u64) -> bool {
        self.advance(now);
        u128::from(amount) * NANOS_PER_SECOND <= self.level
    }

    /// Takes an amount if it is there at an instant.
    pub fn debit(&mut self, now: Instant, amount: u64) -> bool {
        if !self.has(now, amount) {
            return false;
        }
        self.level -= u128::from(amount) * NANOS_PER_SECOND;
        true
    }

    /// Adds units that another holder gave up, at most up to the burst.
    pub fn deposit(&mut self, now: Instant, amount: u64) {
        self.advance(now);
        let cost = u128::from(amount) * NANOS_PER_SECOND;
        self.level = self.level.saturating_add(cost).min(self.capacity());
    }

    fn capacity(&self) -> u128 {
        u128::from(self.quota.burst) * NANOS_PER_SECOND
    }
}
