//! How much of a quantity was asked for lately, on one host.

use std::time::Duration;

use tokio::time::Instant;

/// The length of one slot.
const SLOT: Duration = Duration::from_millis(500);
/// Slots that are kept: eight seconds.
const SLOTS: usize = 16;
/// Slots of the short look back, the running one among them.
const RECENT_SLOTS: usize = 2;
/// Slots that show a fall in demand, the running one among them.
const LATE_SLOTS: usize = 4;
/// Demand counts as at most this many times the rate over [`LATE_SLOTS`].
const LATE_FACTOR: u64 = 2;
/// Demand counts as gone when this many arrivals failed to come.
const SILENCE_ARRIVALS: u128 = 8;
/// The shortest span that a rate is worked out over.
const SPAN_MIN: Duration = Duration::from_millis(250);

/// Amounts asked for in the last eight seconds, by slots.
#[derive(Clone, Debug)]
pub struct Demand {
    slots: [u64; SLOTS],
    start: Instant,
    current: u64,
    since: Option<Instant>,
    last_at: Instant,
    last_amount: u64,
}

impl Demand {
    /// Returns an empty record.
    pub fn new(now: Instant) -> Self {
        Self {
            slots: [0; SLOTS],
            start: now,
            current: 0,
            since: None,
            last_at: now,
            last_amount: 0,
        }
    }

    /// Records an amount that was asked for, whether it was granted or not.
    pub fn record(&mut self, now: Instant, amount: u64) {
        self.advance(now);
        self.since.get_or_insert(now);
        self.last_at = now;
        self.last_amount = amount;
        let slot = &mut self.slots[index(self.current)];
        *slot = slot.saturating_add(amount);
    }

    /// Returns the units a second over the whole record, or since demand began;
    /// less where the last two seconds or the present silence show that demand went away.
    pub fn rate(&mut self, now: Instant) -> u64 {
        let rate = self.rate_over(now, SLOTS);
        let lately = self.rate_over(now, LATE_SLOTS).saturating_mul(LATE_FACTOR);
        let silence = now.saturating_duration_since(self.last_at).max(SPAN_MIN);
        let expected = u128::from(self.last_amount) * SILENCE_ARRIVALS * 1_000_000_000;
        let most = u64::try_from(expected / silence.as_nanos()).unwrap_or(u64::MAX);
        match silence > SPAN_MIN {
            true => rate.min(lately).min(most),
            false => rate.min(lately),
        }
    }

    /// Returns the units a second over the last half to whole second.
    pub fn recent_rate(&mut self, now: Instant) -> u64 {
        self.rate_over(now, RECENT_SLOTS)
    }

    fn rate_over(&mut self, now: Instant, slots: usize) -> u64 {
        self.advance(now);
        let Some(since) = self.since else {
            return 0;
        };
        let first = self.current.saturating_sub(slots as u64 - 1);
        let mut sum: u64 = 0;
        for slot in first..=self.current {
            sum = sum.saturating_add(self.slots[index(slot)]);
        }
        let from = since.max(self.start + SLOT * u32::try_from(first).unwrap_or(u32::MAX));
        let span = now.saturating_duration_since(from).max(SPAN_MIN);
        let rate = u128::from(sum) * 1_000_000_000 / span.as_nanos();
        u64::try_from(rate).unwrap_or(u64::MAX)
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let target = u64::try_from(elapsed.as_nanos() / SLOT.as_nanos()).unwrap_or(u64::MAX);
        let steps = target.saturating_sub(self.current).min(SLOTS as u64);
        for step in 0..steps {
            self.slots[index(target - step)] = 0;
        }
        self.current = self.current.max(target);
        if steps > 0 && self.slots.iter().all(|amount| *amount == 0) {
            self.since = None;
        }
    }
}

fn index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize
}
