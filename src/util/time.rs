//! Arithmetic with durations that come from outside the process.

use std::time::Duration;

use tokio::time::Instant;

/// The longest duration that is taken from configurations, registrations, settings and headers;
/// longer ones are shortened to it. Sums and small multiples of such durations cannot overflow.
pub const EXTERNAL_DURATION_MAX: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Converts seconds from outside to a duration of at most [`EXTERNAL_DURATION_MAX`]. Returns `None`
/// if the number is negative, infinite or not a number.
pub fn external_duration(seconds: f64) -> Option<Duration> {
    if !seconds.is_finite() || seconds < 0.0 {
        return None;
    }
    let seconds = seconds.min(EXTERNAL_DURATION_MAX.as_secs_f64());
    Duration::try_from_secs_f64(seconds).ok()
}

/// Addition to an instant that cannot panic.
pub trait SaturatingAdd {
    /// Returns the instant after `duration`, or the latest one that the clock is sure to represent
    /// if `duration` is longer than [`EXTERNAL_DURATION_MAX`].
    fn saturating_add(self, duration: Duration) -> Self;
}

impl SaturatingAdd for Instant {
    fn saturating_add(self, duration: Duration) -> Self {
        self.checked_add(duration.min(EXTERNAL_DURATION_MAX))
            .unwrap_or(self)
    }
}
