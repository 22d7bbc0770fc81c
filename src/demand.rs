//! The recent demand for a quantity on one host, measured as a rate.

use std::time::Duration;

use tokio::time::Instant;

/// The time span of one bucket.
const BUCKET_SPAN: Duration = Duration::from_millis(500);
/// The number of buckets kept: eight seconds.
const BUCKETS: usize = 16;
/// The number of buckets for the recent rate, including the current one.
const RECENT_BUCKETS: usize = 2;
/// The number of buckets in which a decline of demand is detected, including the current one.
const DECLINE_BUCKETS: usize = 4;
/// The rate is limited to this multiple of the rate over [`DECLINE_BUCKETS`].
const DECLINE_FACTOR: u64 = 2;
/// During a silence, the rate is limited to this many times the last amount over the silence.
const MISSED_ARRIVALS: u128 = 8;
/// The minimum time span over which a rate is computed.
const RATE_SPAN_MIN: Duration = Duration::from_millis(250);

/// The amounts requested in the last eight seconds, in buckets of `BUCKET_SPAN`.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    buckets: [u64; BUCKETS],
    start: Instant,
    current: u64,
    demand_since: Option<Instant>,
    last_at: Instant,
    last_amount: u64,
}

impl DemandMeter {
    /// Creates an empty record that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            buckets: [0; BUCKETS],
            start: now,
            current: 0,
            demand_since: None,
            last_at: now,
            last_amount: 0,
        }
    }

    /// Records a requested amount, whether or not it was granted.
    pub fn record(&mut self, now: Instant, amount: u64) {
        self.advance(now);
        self.demand_since.get_or_insert(now);
        self.last_at = now;
        self.last_amount = amount;
        let bucket = &mut self.buckets[index(self.current)];
        *bucket = bucket.saturating_add(amount);
    }

    /// Returns the rate in units per second over the whole record, or since demand
    /// began if that is shorter. The rate is reduced if the last two seconds or the
    /// time since the last request show that demand has declined.
    pub fn rate(&mut self, now: Instant) -> u64 {
        let rate = self.rate_over(now, BUCKETS);
        let recent = self
            .rate_over(now, DECLINE_BUCKETS)
            .saturating_mul(DECLINE_FACTOR);
        let silence = now
            .saturating_duration_since(self.last_at)
            .max(RATE_SPAN_MIN);
        let expected = u128::from(self.last_amount) * MISSED_ARRIVALS * 1_000_000_000;
        let upper_bound = u64::try_from(expected / silence.as_nanos()).unwrap_or(u64::MAX);
        match silence > RATE_SPAN_MIN {
            true => rate.min(recent).min(upper_bound),
            false => rate.min(recent),
        }
    }

    /// Returns the rate in units per second over the last half to whole second.
    pub fn recent_rate(&mut self, now: Instant) -> u64 {
        self.rate_over(now, RECENT_BUCKETS)
    }

    fn rate_over(&mut self, now: Instant, buckets: usize) -> u64 {
        self.advance(now);
        let Some(demand_since) = self.demand_since else {
            return 0;
        };
        let first = self.current.saturating_sub(buckets as u64 - 1);
        let mut sum: u64 = 0;
        for bucket in first..=self.current {
            sum = sum.saturating_add(self.buckets[index(bucket)]);
        }
        let from =
            demand_since.max(self.start + BUCKET_SPAN * u32::try_from(first).unwrap_or(u32::MAX));
        let span = now.saturating_duration_since(from).max(RATE_SPAN_MIN);
        let rate = u128::from(sum) * 1_000_000_000 / span.as_nanos();
        u64::try_from(rate).unwrap_or(u64::MAX)
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let target = u64::try_from(elapsed.as_nanos() / BUCKET_SPAN.as_nanos()).unwrap_or(u64::MAX);
        let steps = target.saturating_sub(self.current).min(BUCKETS as u64);
        for step in 0..steps {
            self.buckets[index(target - step)] = 0;
        }
        self.current = self.current.max(target);
        if steps > 0 && self.buckets.iter().all(|amount| *amount == 0) {
            self.demand_since = None;
        }
    }
}

fn index(bucket: u64) -> usize {
    (bucket % BUCKETS as u64) as usize
}
