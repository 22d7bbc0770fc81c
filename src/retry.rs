//! Retry budgets, retry decisions and the retry delay for refused callers.

use std::time::Duration;

use rand::{
    Rng,
    RngExt, //
};
use tokio::time::Instant;

/// The thousandths of a retry token that each first try adds to the budget.
pub const RETRY_RATIO_MILLI: u64 = 100;
/// The maximum budget, in thousandths of a token.
const RETRY_TOKENS_MAX_MILLI: u64 = 10_000;
/// The cost of one retry, in thousandths of a token.
const RETRY_COST_MILLI: u64 = 1000;
/// The maximum number of tries for one request, including the first.
pub const TRIES_MAX: u32 = 3;
/// The upper bound of the back-off before the first retry; it doubles with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(20);
/// The maximum of the upper bound of a back-off.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// The minimum time that must remain before the deadline after the back-off.
const RETRY_TIME_MIN: Duration = Duration::from_millis(10);
/// The minimum retry delay given to a refused caller.
pub const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// The maximum retry delay given to a refused caller, also used while no rate is measured.
pub const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// The time constant of the exponential decay in [`RateMeter`], in seconds.
const METER_TIME_CONSTANT_SECONDS: f64 = 5.0;

/// A retry budget: a token bucket filled by first tries and emptied by retries.
///
/// However many requests fail, retries add at most a fixed ratio to the load,
/// by default [`RETRY_RATIO_MILLI`] thousandths.
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
    /// Creates an empty budget with the default ratio and maximum.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty budget that gains `ratio_milli` thousandths of a token for
    /// each first try, up to `tokens_max_milli` thousandths.
    pub fn with_limits(ratio_milli: u64, tokens_max_milli: u64) -> Self {
        Self {
            tokens_milli: 0,
            ratio_milli,
            tokens_max_milli,
        }
    }

    /// Changes the maximum of the budget, in thousandths of a token; an excess is discarded.
    pub fn set_max(&mut self, tokens_max_milli: u64) {
        self.tokens_max_milli = tokens_max_milli;
        self.tokens_milli = self.tokens_milli.min(tokens_max_milli);
    }

    /// Adds the tokens for one first try to the budget.
    pub fn deposit(&mut self) {
        self.tokens_milli = (self.tokens_milli + self.ratio_milli).min(self.tokens_max_milli);
    }

    /// Withdraws the cost of one retry; returns `false` if the budget is too small.
    pub fn try_withdraw(&mut self) -> bool {
        let Some(left) = self.tokens_milli.checked_sub(RETRY_COST_MILLI) else {
            return false;
        };
        self.tokens_milli = left;
        true
    }
}

/// The facts about a failed try that determine whether to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it is safe to run the request more than once.
    pub idempotent: bool,
    /// Whether it is certain that no upstream started the request, because the
    /// connection was refused or the upstream refused it explicitly.
    pub not_started: bool,
    /// The number of tries made so far, at least 1.
    pub tries: u32,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
}

/// Whether to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Retry after this back-off.
    After(Duration),
    /// Do not retry, for this reason.
    No(NoRetry),
}

/// Why a failed try is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetry {
    /// The request is not idempotent, and an upstream may have started it.
    MayHaveStarted,
    /// The request has already been tried [`TRIES_MAX`] times.
    Tries,
    /// Too little time would remain before the deadline.
    Deadline,
    /// The retry budget is exhausted.
    Budget,
}

/// Decides whether to retry after a failed try, and after which back-off.
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
    if !budget.try_withdraw() {
        return Retry::No(NoRetry::Budget);
    }
    Retry::After(pause)
}

/// Returns an exponential back-off with full jitter after `tries` tries.
fn backoff<R: Rng>(tries: u32, rng: &mut R) -> Duration {
    let doublings = tries.saturating_sub(1).min(16);
    let upper_bound = (BACKOFF_FIRST * (1 << doublings)).min(BACKOFF_MAX);
    upper_bound.mul_f64(rng.random::<f64>())
}

/// Returns the time that the next hop has for the request, or `None` if none is left.
///
/// `hop` is the one-way delay to the next hop; it is subtracted twice, since the
/// answer has to travel back.
pub fn next_hop_timeout(now: Instant, deadline: Instant, hop: Duration) -> Option<Duration> {
    deadline
        .checked_duration_since(now)?
        .checked_sub(hop * 2)
        .filter(|left| !left.is_zero())
}

/// Measures the rate of events, such as completed requests, with exponential decay.
#[derive(Clone, Debug)]
pub struct RateMeter {
    rate: f64,
    last: Instant,
}

impl RateMeter {
    /// Creates a meter with a rate of 0.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: 0.0,
            last: now,
        }
    }

    /// Counts one event at `now`.
    pub fn record(&mut self, now: Instant) {
        self.rate = self.rate_at(now) + 1.0 / METER_TIME_CONSTANT_SECONDS;
        self.last = now;
    }

    /// Returns the rate in events per second.
    pub fn rate_at(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.last).as_secs_f64();
        self.rate * (-idle / METER_TIME_CONSTANT_SECONDS).exp()
    }

    /// Returns the fraction of a steady rate that a meter does not show yet at the time
    /// `after` its first event.
    pub fn unmeasured_fraction(after: Duration) -> f64 {
        (-after.as_secs_f64() / METER_TIME_CONSTANT_SECONDS).exp()
    }

    /// Returns the delay before a caller should retry, if `ahead` requests are queued before it.
    pub fn retry_after(&self, now: Instant, ahead: u32) -> Duration {
        let rate = self.rate_at(now);
        if rate <= 0.0 {
            return RETRY_AFTER_MAX;
        }
        let seconds = (f64::from(ahead + 1) / rate).min(RETRY_AFTER_MAX.as_secs_f64());
        Duration::from_secs_f64(seconds).max(RETRY_AFTER_MIN)
    }
}
