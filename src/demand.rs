//! How much of a quantity was asked for lately, on one host.

use std::time::Duration;

use tokio::time::Instant;

/// The length of one slot.
const SLOT: Duration = Duration::from_millis(250);
/// Slots that are kept: two seconds.
const SLOTS: usize = 8;
/// Slots in a second.
const SLOTS_PER_SECOND: u64 = 4;

/// Amounts asked for in the last two seconds, by slots.
#[derive(Clone, Debug)]
pub struct Demand {
    slots: [u64; SLOTS],
    start: Instant,
    current: u128,
}

impl Demand {
    /// Returns an empty record.
    pub fn new(now: Instant) -> Self {
        Self {
            slots: [0; SLOTS],
            start: now,
            current: 0,
        }
    }

    /// Records an amount that was asked for, whether it was granted or not.
    pub fn record(&mut self, now: Instant, amount: u64) {
        self.advance(now);
        let slot = &mut self.slots[(self.current % SLOTS as u128) as usize];
        *slot = slot.saturating_add(amount);
    }

    /// Returns the units a second, the larger of the last half second's and the whole record's.
    pub fn rate(&mut self, now: Instant) -> u64 {
        self.advance(now);
        let sum: u64 = self.slots.iter().sum();
        let last = self.back(0) + self.back(1) + self.back(2);
        (sum * SLOTS_PER_SECOND / SLOTS as u64).max(last * SLOTS_PER_SECOND / 3)
    }

    /// Returns the largest amount of one slot.
    pub fn peak(&mut self, now: Instant) -> u64 {
        self.advance(now);
        self.slots.iter().copied().max().unwrap_or(0)
    }

    fn back(&self, slots: u128) -> u64 {
        if slots > self.current {
            return 0;
        }
        self.slots[((self.current - slots) % SLOTS as u128) as usize]
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let target = elapsed.as_nanos() / SLOT.as_nanos();
        let steps = target.saturating_sub(self.current).min(SLOTS as u128);
        for step in 0..steps {
            self.slots[((target - step) % SLOTS as u128) as usize] = 0;
        }
        self.current = self.current.max(target);
    }
}
