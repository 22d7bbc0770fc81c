//! A token bucket in integers.
//!
//! A bucket counts in any unit: thousandths of a request, or bytes. With a
//! constant [`Quota`], the units debited in any window of length `w` stay at or
//! below `burst + rate * w`; changing the quota adds no tokens.

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// Nanoseconds in a second.
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// The rate and burst of a token bucket.
///
/// The unit is that of the resource: thousandths of a request, or bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Units added a second.
    pub rate: u64,
    /// Most units that the bucket holds.
    pub burst: u64,
}

impl Quota {
    /// Creates a quota from units a second and the most units held at once.
    pub const fn new(rate: u64, burst: u64) -> Self {
        Self { rate, burst }
    }

    /// Returns the smaller rate and the smaller burst of the two quotas.
    pub fn min(self, other: Self) -> Self {
        Self::new(self.rate.min(other.rate), self.burst.min(other.burst))
    }

    /// Returns the larger rate and the larger burst of the two quotas.
    pub fn max(self, other: Self) -> Self {
        Self::new(self.rate.max(other.rate), self.burst.max(other.burst))
    }

    /// Returns the sums of the rates and of the bursts, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self::new(
            self.rate.saturating_add(other.rate),
            self.burst.saturating_add(other.burst),
        )
    }

    /// Returns the differences of the rates and of the bursts, each at least zero.
    pub fn minus(self, other: Self) -> Self {
        Self::new(
            self.rate.saturating_sub(other.rate),
            self.burst.saturating_sub(other.burst),
        )
    }

    /// Reports whether rate and burst are both zero.
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }
}

/// A token bucket. Its level is stored as units times nanoseconds, so refills are exact.
#[derive(Clone, Debug)]
pub struct Bucket {
    quota: Quota,
    level: u128,
    at: Instant,
}

impl Bucket {
    /// Creates an empty bucket, so that a restarted process gains no tokens.
    pub fn new(quota: Quota, now: Instant) -> Self {
        Self {
            quota,
            level: 0,
            at: now,
        }
    }

    /// Returns the quota at which the bucket refills.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Returns when the bucket was last refilled.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Refills up to `now`. An instant before the last refill changes nothing.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_nanos();
        let added = elapsed.saturating_mul(u128::from(self.quota.rate));
        self.level = self.level.saturating_add(added).min(self.capacity());
        self.at = self.at.max(now);
    }

    /// Replaces the quota from `now` on. A smaller burst lowers the level; a larger one
    /// does not raise it.
    pub fn set_quota(&mut self, now: Instant, quota: Quota) {
        self.advance(now);
        self.quota = quota;
        self.level = self.level.min(self.capacity());
    }

    /// Returns the whole units in the bucket.
    pub fn level(&mut self, now: Instant) -> u64 {
        self.advance(now);
        u64::try_from(self.level / NANOS_PER_SECOND).unwrap_or(u64::MAX)
    }

    /// Reports whether the bucket holds at least `amount` units.
    pub fn has(&mut self, now: Instant, amount: u64) -> bool {
        self.advance(now);
        u128::from(amount) * NANOS_PER_SECOND <= self.level
    }

    /// Removes `amount` units if the bucket holds them, and reports whether it did.
    pub fn debit(&mut self, now: Instant, amount: u64) -> bool {
        if !self.has(now, amount) {
            return false;
        }
        self.level -= u128::from(amount) * NANOS_PER_SECOND;
        true
    }

    /// Adds units received from another host, at most up to the burst.
    pub fn deposit(&mut self, now: Instant, amount: u64) {
        self.advance(now);
        let cost = u128::from(amount) * NANOS_PER_SECOND;
        self.level = self.level.saturating_add(cost).min(self.capacity());
    }

    fn capacity(&self) -> u128 {
        u128::from(self.quota.burst) * NANOS_PER_SECOND
    }
}
