//! Retries under a budget, and the time after which a refused caller should come back.

use std::time::Duration;

use rand::{
    Rng,
    RngExt, //
};
use tokio::time::Instant;

/// Thousandths of a retry token that each first try earns.
pub const RETRY_RATIO_MILLI: u64 = 100;
/// The most retries that may be saved up, in thousandths of a token.
const RETRY_TOKENS_MAX_MILLI: u64 = 10_000;
/// What one retry costs, in thousandths of a token.
const RETRY_COST_MILLI: u64 = 1000;
/// The most tries of one request, the first one included.
pub const TRIES_MAX: u32 = 3;
/// The upper bound of the first back-off.
const BACKOFF_FIRST: Duration = Duration::from_millis(20);
/// The upper bound of any back-off.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// The shortest time left before the deadline that makes a retry worth while.
const RETRY_TIME_MIN: Duration = Duration::from_millis(10);
/// The shortest answer to "when should I come back".
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// The longest answer to "when should I come back".
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// The time over which [`DrainMeter`] averages, in seconds.
const METER_TIME_CONSTANT_SECONDS: f64 = 5.0;

/// A token bucket that first tries fill and retries empty.
///
/// It limits the extra load of retries to [`RETRY_RATIO_MILLI`] of the load
/// however many requests fail.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens_milli: u64,
    ratio_milli: u64,
    tokens_max_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::with_limits(RETRY_RATIO_MILLI, RETRY_TOKENS_MAX_MILLI)
    }
}

impl Budget {
    /// Creates an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty budget that earns `ratio_milli` thousandths of a retry
    /// for each first try and saves up `most_milli` thousandths.
    pub fn with_limits(ratio_milli: u64, tokens_max_milli: u64) -> Self {
        Self {
            tokens_milli: 0,
            ratio_milli,
            tokens_max_milli,
        }
    }

    /// Changes how many thousandths of a retry may be saved up.
    pub fn save_up_to(&mut self, tokens_max_milli: u64) {
        self.tokens_max_milli = tokens_max_milli;
        self.tokens_milli = self.tokens_milli.min(tokens_max_milli);
    }

    /// Earns for a first try.
    pub fn earn(&mut self) {
        self.tokens_milli = (self.tokens_milli + self.ratio_milli).min(self.tokens_max_milli);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let Some(left) = self.tokens_milli.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        self.tokens_milli = left;
        true
    }
}

/// What is known about a try that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether it is certain that no upstream started the request: connection
    /// refused, or an explicit refusal before the start.
    pub not_started: bool,
    /// The tries made so far, at least 1.
    pub tries: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Whether to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Try again after the back-off, if time is left then.
    After(Duration),
    /// Give up.
    No(NoRetry),
}

/// Why there is no retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetry {
    /// The request is not idempotent and may have started.
    MayHaveStarted,
    /// [`TRIES_MAX`] tries were made.
    Tries,
    /// The deadline is too close.
    Deadline,
    /// The retry budget is spent.
    Budget,
}

/// Decides whether a failed try is repeated, and after which back-off.
pub fn decide<R: Rng>(budget: &mut Budget, now: Instant, failure: Failure, rng: &mut R) -> Retry {
    if !failure.idempotent && !failure.not_started {
        return Retry::No(NoRetry::MayHaveStarted);
    }
    if failure.tries >= TRIES_MAX {
        return Retry::No(NoRetry::Tries);
    }
    let pause = backoff(failure.tries, rng);
    if now + pause + RETRY_TIME_MIN > failure.deadline {
        return Retry::No(NoRetry::Deadline);
    }
    if !budget.take() {
        return Retry::No(NoRetry::Budget);
    }
    Retry::After(pause)
}

/// Returns a back-off with full jitter after `tries` tries.
fn backoff<R: Rng>(tries: u32, rng: &mut R) -> Duration {
    let doublings = tries.saturating_sub(1).min(16);
    let upper_bound = (BACKOFF_FIRST * (1 << doublings)).min(BACKOFF_MAX);
    upper_bound.mul_f64(rng.random::<f64>())
}

/// Returns the deadline to pass to the next hop, or `None` when it has passed.
///
/// `hop` is the one-way delay to the next hop; the answer has to travel back as well.
pub fn next_hop_timeout(now: Instant, deadline: Instant, hop: Duration) -> Option<Duration> {
    deadline
        .checked_duration_since(now)?
        .checked_sub(hop * 2)
        .filter(|left| !left.is_zero())
}

/// Measures how fast a pool finishes requests, with exponential decay.
#[derive(Clone, Debug)]
pub struct DrainMeter {
    rate: f64,
    last: Instant,
}

impl DrainMeter {
    /// Creates a meter that has seen nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            last: now,
        }
    }

    /// Counts a finished request.
    pub fn finished(&mut self, now: Instant) {
        self.rate = self.rate_at(now) + 1.0 / METER_TIME_CONSTANT_SECONDS;
        self.last = now;
    }

    /// Returns the finished requests a second.
    pub fn rate_at(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.last).as_secs_f64();
        self.rate * (-idle / METER_TIME_CONSTANT_SECONDS).exp()
    }

    /// Returns the part of a steady rate that a meter does not show yet, `after` its first request.
    pub fn unseen_part(after: Duration) -> f64 {
        (-after.as_secs_f64() / METER_TIME_CONSTANT_SECONDS).exp()
    }

    /// Returns when a caller should come back, if `ahead` requests are before it.
    pub fn retry_after(&self, now: Instant, ahead: u32) -> Duration {
        let rate = self.rate_at(now);
        if rate <= 0.0 {
            return RETRY_AFTER_MAX;
        }
        let seconds = (f64::from(ahead + 1) / rate).min(RETRY_AFTER_MAX.as_secs_f64());
        Duration::from_secs_f64(seconds).max(RETRY_AFTER_MIN)
    }
}
