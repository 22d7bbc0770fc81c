//! Learns how many requests an upstream runs at once without losing throughput.
//!
//! Some upstreams slow down before all their slots are taken. The work of completed requests,
//! relative to the usual work for the same route and object position, is recorded by the number of
//! requests in flight. If more in flight take so much longer that the throughput (requests in
//! flight by time) does not grow, the limit falls to the lowest number with nearly the best
//! throughput. From time to time a higher one is tried again.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use tokio::time::Instant;

use super::object_recency::{
    CLASS_COUNT,
    class, //
};

/// Maximum number of ranges into which the numbers of requests in flight are divided.
const LEVELS_MAX: u32 = 4;
/// Minimum time between two samples of a level, so that one short spell of a machine does not
/// provide most of them.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Samples from which on the median of a level is used.
const SAMPLES_MIN: u32 = 16;
/// Samples of a level that is tried again before the limit is decided.
const PROBE_SAMPLES_MIN: u32 = 8;
/// Number of recent samples that the median follows, as its smallest step implies.
const SAMPLES_REMEMBERED: u32 = 200;
/// Smallest relative step of the estimated median.
const STEP_MIN: f64 = 0.01;
/// Relative step of the estimated median after the first sample; it shrinks with the samples.
const STEP_FIRST: f64 = 0.5;
/// Time after which a level without new samples is no longer used.
const LEVEL_MAX_AGE: Duration = Duration::from_secs(60);
/// Least increase of the work above a limit, with many samples.
const RISE_MIN: f64 = 1.3;
/// Additional part of the least increase with a single sample; it shrinks with the square root of
/// the samples, as their noise does.
const RISE_NOISE: f64 = 4.0;
/// The same while a limit is in force, so that the few samples of a trial do not lift it.
const RISE_NOISE_LIMITED: f64 = 0.5;
/// Part of the best throughput that a limit must keep.
const THROUGHPUT_FRACTION_MIN: f64 = 0.9;
/// Time until a higher limit is tried after a trial that succeeded.
const PROBE_NEXT: Duration = Duration::from_secs(1);
/// Time until a higher limit is tried after the limit fell. It doubles with each trial that fails.
const PROBE_FIRST: Duration = Duration::from_secs(10);
/// Longest time between trials of a higher limit.
const PROBE_MAX: Duration = Duration::from_secs(120);
/// Time after which the next higher limit is tried although too few requests used this one.
const PROBE_UNUSED: Duration = Duration::from_secs(30);
/// Time until a lower limit is tried again on an upstream that is slow with any limit.
const LOWER_TRIAL_INTERVAL: Duration = Duration::from_secs(120);
/// Maximum number of starts of an upstream's requests that are kept.
const STARTS_MAX: usize = 32;
/// Time by which another host's run may be longer than the scheduler knows of it.
const START_TOLERANCE: Duration = Duration::from_millis(2);
/// Weight of a new sample in the moving average of the reference work.
const REFERENCE_WEIGHT: f64 = 0.02;
/// Samples from which on a reference is used.
const REFERENCE_SAMPLES_MIN: u32 = 10;
/// Largest factor by which a sample counts as longer than the reference.
const REFERENCE_OUTLIER: f64 = 2.0;

/// The usual work of a route on upstreams with at most half of their slots taken, by the position
/// of the object.
///
/// The general averages follow the times of loaded upstreams, so that a rise that all upstreams
/// have in common would not show against them.
#[derive(Clone, Debug, Default)]
pub struct ReferenceWork {
    by_route: HashMap<u64, [(f64, u32); CLASS_COUNT]>,
}

impl ReferenceWork {
    /// Adds a request's work and returns its ratio to the usual work; `None` if that is not known
    /// yet. `running` is the number of requests in flight at the upstream, out of `slots`.
    pub fn ratio(
        &mut self,
        route: u64,
        list_index: Option<usize>,
        work: Duration,
        (running, slots): (u32, u32),
    ) -> Option<f64> {
        let work = work.as_secs_f64();
        let by_class = self.by_route.entry(route).or_default();
        let (mean, samples) = &mut by_class[class(list_index)];
        let known = *mean;
        let is_used = *samples >= REFERENCE_SAMPLES_MIN && known > 0.0;
        if running.saturating_mul(2) <= slots.max(2) {
            *samples = samples.saturating_add(1);
            // Until the reference is used, it is the mean of the samples.
            let weight = REFERENCE_WEIGHT.max(1.0 / f64::from(*samples));
            let sample = match is_used {
                true => work.min(known * REFERENCE_OUTLIER),
                false => work,
            };
            *mean += (sample - known) * weight;
        }
        is_used.then_some(work / known)
    }
}

/// The work of requests that ended with a certain number of requests in flight.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Estimated median of the work relative to the usual work.
    median: f64,
    samples: u32,
    last: Option<Instant>,
}

impl Level {
    /// Returns by which factor the work of this level must exceed that of `other` samples to count as
    /// longer; `noise` is the additional part for a single sample.
    fn rise_min(&self, other: u32, noise: f64) -> f64 {
        let samples = self.samples.min(other).clamp(1, SAMPLES_REMEMBERED);
        RISE_MIN * (1.0 + noise / f64::from(samples).sqrt())
    }

    /// Adds a sample, unless it follows the last one too soon; returns whether it was added.
    fn record(&mut self, now: Instant, ratio: f64) -> bool {
        if self.last.is_some_and(|last| now < last + SAMPLE_INTERVAL) {
            return false;
        }
        self.last = Some(now);
        if self.samples == 0 {
            // The first sample may be an outlier.
            self.median = 1.0;
        }
        self.samples = self.samples.saturating_add(1);
        // The long tail of single requests moves the median by one step at most.
        let step = (STEP_FIRST / f64::from(self.samples)).max(STEP_MIN);
        self.median = match () {
            () if ratio > self.median => (self.median * (1.0 + step)).min(ratio),
            () => (self.median / (1.0 + step)).max(ratio),
        };
        true
    }
}

/// The numbers of requests in flight at an upstream when its recent requests started.
#[derive(Clone, Debug, Default)]
pub struct InFlight(VecDeque<(Instant, u32)>);

impl InFlight {
    /// Records that a request started as one of `running`.
    pub fn record(&mut self, now: Instant, running: u32) {
        if self.0.len() >= STARTS_MAX {
            self.0.pop_front();
        }
        self.0.push_back((now, running));
    }

    /// Returns the mean number of requests in flight during a run that ends now as one of
    /// `running`. The number at its end alone would count the slow runs at the end of a burst as
    /// those of an upstream that is lightly loaded.
    pub fn mean(&self, now: Instant, held: Duration, running: u32) -> u32 {
        let since = now.checked_sub(held + START_TOLERANCE).unwrap_or(now);
        let during = self.0.iter().rev().take_while(|(at, _)| *at >= since);
        let (sum, count) = during.fold((u64::from(running), 1), |(sum, count), (_, running)| {
            (sum + u64::from(*running), count + 1)
        });
        u32::try_from((sum + count / 2) / count).unwrap_or(u32::MAX)
    }
}

/// A change of the learned limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit before.
    pub from: u32,
    /// The limit now.
    pub to: u32,
}

/// The learned limit of one start of an upstream.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Registered slots for which the levels were recorded; 0 before the first sample.
    slots: u32,
    /// The limit; `None` if the registered slots apply.
    limit: Option<u32>,
    levels: Vec<Level>,
    /// When the limit last changed.
    changed_at: Option<Instant>,
    /// The level that is tried again.
    probed: Option<usize>,
    /// When a lower limit may be tried without any samples of it.
    lower_trial_at: Option<Instant>,
    probe_at: Option<Instant>,
    probe_backoff: Duration,
}

impl ConcurrencyLimit {
    /// Returns the number of requests that the upstream may run at once.
    pub fn limit(&self, slots: u32) -> u32 {
        self.limit
            .map_or(slots, |limit| limit.clamp(1, slots.max(1)).min(slots))
    }

    /// Records the work of a completed request that was `held` for a time, relative to the usual
    /// work, and the mean number of requests in flight. Returns a change of the limit that
    /// follows from it.
    pub fn record(
        &mut self,
        now: Instant,
        held: Duration,
        (running, slots): (u32, u32),
        ratio: f64,
    ) -> Option<LimitChange> {
        if slots < 2 {
            return None;
        }
        if self.slots != slots {
            *self = Self {
                slots,
                levels: vec![Level::default(); slots.min(LEVELS_MAX) as usize],
                ..Self::default()
            };
        }
        // The request ran beside others that the limit now excludes, or does not exclude any more.
        if self.changed_at.is_some_and(|at| now < at + held) {
            return None;
        }
        let level = self.level_of(running);
        if !self.levels[level].record(now, ratio) {
            return None;
        }
        if let Some(probed) = self.probed
            && self.levels[probed].samples < PROBE_SAMPLES_MIN
        {
            return None;
        }
        let before = self.limit(slots);
        let to = match self.lower_trial(now, level) {
            Some(to) => to,
            None => {
                let to = self.learned(now);
                self.settle(now, before, to);
                to
            }
        };
        if before != to {
            self.changed_at = Some(now);
        }
        (before != to).then_some(LimitChange { from: before, to })
    }

    /// Tries half of the limit on an upstream that is slow and has not been seen at fewer requests;
    /// returns that limit. Under a sustained overload it would otherwise remain at all its slots.
    fn lower_trial(&mut self, now: Instant, level: usize) -> Option<u32> {
        let l = self.levels[level];
        let is_due = self.lower_trial_at.is_none_or(|at| at <= now);
        let is_slow = l.samples >= SAMPLES_MIN && l.median >= l.rise_min(l.samples, RISE_NOISE);
        let tried = level / 2;
        let is_unknown = self.levels[tried].samples < SAMPLES_MIN;
        if self.limit.is_some() || level == 0 || !(is_due && is_slow && is_unknown) {
            return None;
        }
        self.levels[tried] = Level::default();
        self.lower_trial_at = Some(now + LOWER_TRIAL_INTERVAL);
        self.limit = Some(self.top(tried));
        self.probed = Some(tried);
        self.probe_at = Some(now + PROBE_UNUSED);
        self.limit
    }

    /// Adopts a limit and schedules the next trial of a higher one.
    fn settle(&mut self, now: Instant, before: u32, to: u32) {
        let was_probed = self.probed.take().is_some();
        self.limit = (to < self.slots).then_some(to);
        let next = match (was_probed, to < before) {
            (true, true) => (self.probe_backoff * 2).min(PROBE_MAX),
            (true, false) => PROBE_NEXT,
            (false, true) => PROBE_FIRST,
            (false, false) => return,
        };
        self.probe_backoff = next.max(PROBE_FIRST);
        self.probe_at = Some(now + next);
    }

    /// Raises the limit by one level if it is time to try that again; returns whether it did.
    pub fn probe(&mut self, now: Instant) -> bool {
        let Some(limit) = self.limit else {
            return false;
        };
        if self.probe_at.is_none_or(|at| now < at) {
            return false;
        }
        let level = self.level_of(limit + 1);
        self.levels[level] = Level::default();
        let top = self.top(level);
        self.limit = (top < self.slots).then_some(top);
        self.probed = Some(level);
        self.probe_at = Some(now + PROBE_UNUSED);
        self.changed_at = Some(now);
        true
    }

    fn level_of(&self, running: u32) -> usize {
        let levels = self.levels.len() as u64;
        let running = u64::from(running.clamp(1, self.slots));
        ((running * levels).div_ceil(u64::from(self.slots)) - 1) as usize
    }

    /// Returns the largest number of requests in flight of a level.
    fn top(&self, level: usize) -> u32 {
        let top = (level as u64 + 1) * u64::from(self.slots) / self.levels.len() as u64;
        u32::try_from(top).unwrap_or(u32::MAX)
    }

    /// Returns the lowest level with nearly the best throughput if more in flight take much longer,
    /// as a number of requests; otherwise the slots.
    fn learned(&self, now: Instant) -> u32 {
        let current = self.level_of(self.limit(self.slots));
        let is_limited = self.limit.is_some() || self.probed.is_some();
        let is_used = |i: usize, l: &Level| {
            let is_recent = l.last.is_some_and(|last| now < last + LEVEL_MAX_AGE);
            let samples_min = match is_limited {
                true => PROBE_SAMPLES_MIN,
                false => SAMPLES_MIN,
            };
            // A level above the limit gets no new samples until it is tried again.
            l.samples >= samples_min && l.median > 0.0 && (is_recent || i > current)
        };
        let throughput = |i: usize, l: &Level| f64::from(self.top(i)) / l.median;
        let levels = self.levels.iter().enumerate();
        let used = levels.filter(|(i, l)| is_used(*i, l));
        let best = used
            .clone()
            .map(|(i, l)| throughput(i, l))
            .fold(0.0, f64::max);
        let noise = match is_limited {
            true => RISE_NOISE_LIMITED,
            false => RISE_NOISE,
        };
        let mut lowest = used.clone().filter(|(i, l)| {
            let is_good = throughput(*i, l) >= best * THROUGHPUT_FRACTION_MIN;
            let mut above = used.clone().filter(|(j, _)| j > i);
            is_good && above.any(|(_, a)| a.median >= l.median * a.rise_min(l.samples, noise))
        });
        lowest.next().map_or(self.slots, |(i, _)| self.top(i))
    }
}
