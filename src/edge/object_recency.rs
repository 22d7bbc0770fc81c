//! Estimates which objects an upstream has cached, and how much faster it answers for them.
//!
//! An upstream answers faster for an object that it handled recently. How many objects it keeps and
//! how much time that saves differs by service, so both are measured: the objects of each upstream
//! are kept in a most-recently-used list, and the time of each request is recorded by the position
//! that its object had in that list.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum length of an upstream's most-recently-used list.
pub const RECENT_OBJECTS_MAX: usize = 128;
/// First list position of each position class. One more class follows them, for objects that are
/// not in the list.
const CLASS_STARTS: [usize; 5] = [0, 8, 16, 32, 64];
/// Number of position classes, including the one for objects that are not in the list.
pub(super) const CLASS_COUNT: usize = CLASS_STARTS.len() + 1;
/// Weight of a new sample in the moving average of the work.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Assumed work of a listed object relative to that of an unlisted one, before both are measured.
const LISTED_WORK_RATIO_PRIOR: f64 = 0.5;
/// Assumed work before any request has been answered.
const WORK_PRIOR: Duration = Duration::from_millis(300);
/// An object counts as warm if its work is less than this fraction of an unlisted object's work.
const WARM_WORK_RATIO: f64 = 0.75;

/// The objects that an upstream handled, the most recent one first.
#[derive(Clone, Debug, Default)]
pub struct RecentObjects(Vec<u64>);

impl RecentObjects {
    /// Returns an object's position in the list; the most recent object is at 0.
    pub fn list_index(&self, object: u64) -> Option<usize> {
        self.0.iter().position(|&o| o == object)
    }

    /// Returns the objects, the most recent one first.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.0.iter().copied()
    }

    /// Returns the number of objects in the list.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the upstream has not handled any object yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Moves an object to the front of the list, adding it if necessary.
    pub fn touch(&mut self, object: u64) {
        let listed = self.list_index(object);
        let last = listed.unwrap_or_else(|| {
            self.0.truncate(RECENT_OBJECTS_MAX - 1);
            self.0.push(object);
            self.0.len() - 1
        });
        self.0[..=last].rotate_right(1);
    }

    /// Removes all objects, for an upstream that has restarted.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// Mean work (time that a request holds its slot) of a route, by the position of the object.
#[derive(Clone, Debug, Default)]
pub struct WorkByPosition {
    means: [Option<f64>; CLASS_COUNT],
}

/// Returns the position class of a position in the list.
pub(super) fn class(list_index: Option<usize>) -> usize {
    match list_index {
        None => CLASS_COUNT - 1,
        Some(list_index) => CLASS_STARTS
            .iter()
            .rposition(|&s| s <= list_index)
            .unwrap_or(0),
    }
}

impl WorkByPosition {
    /// The estimate for a route without any answered request.
    pub const UNKNOWN: Self = Self {
        means: [None; CLASS_COUNT],
    };

    /// Adds the work of a request whose object was at `list_index` when the request was sent.
    pub fn record(&mut self, list_index: Option<usize>, work: Duration) {
        let sample = work.as_secs_f64();
        let mean = &mut self.means[class(list_index)];
        let previous = mean.unwrap_or(sample);
        *mean = Some(previous + (sample - previous) * SAMPLE_WEIGHT);
    }

    /// Returns the longest mean work of the positions, in seconds; `None` before the first answer.
    pub fn longest_seconds(&self) -> Option<f64> {
        self.means.iter().copied().flatten().reduce(f64::max)
    }

    /// Returns the expected work for an object at this position, in seconds.
    pub fn expected_seconds(&self, list_index: Option<usize>) -> f64 {
        let class = class(list_index);
        if let Some(mean) = self.means[class] {
            return mean;
        }
        let listed = self.means[..CLASS_COUNT - 1]
            .iter()
            .flatten()
            .next()
            .copied();
        match (self.means[CLASS_COUNT - 1], listed) {
            (_, Some(listed)) if class == CLASS_COUNT - 1 => listed / LISTED_WORK_RATIO_PRIOR,
            // A class without samples uses the mean of the class before it.
            (_, Some(_)) => self.nearest_class_mean(class),
            (Some(unlisted), None) => unlisted * LISTED_WORK_RATIO_PRIOR,
            (None, None) => WORK_PRIOR.as_secs_f64(),
        }
    }

    fn nearest_class_mean(&self, class: usize) -> f64 {
        let nearest = self.means[..class].iter().rev().flatten().next();
        let after = self.means[class..CLASS_COUNT - 1].iter().flatten().next();
        nearest
            .or(after)
            .copied()
            .unwrap_or(WORK_PRIOR.as_secs_f64())
    }

    /// Estimates at how many positions objects are still cached; `None` if no measured class of
    /// positions takes about as much work as unlisted objects.
    pub fn cached_positions(&self) -> Option<f64> {
        let uncached = self.means[CLASS_COUNT - 1]?;
        let cached = self.means[0]?;
        let mut positions = 0.0;
        for (class, &start) in CLASS_STARTS.iter().enumerate() {
            let end = CLASS_STARTS.get(class + 1).unwrap_or(&RECENT_OBJECTS_MAX);
            let mean = self.means[class].unwrap_or(cached);
            let part = (uncached - mean) / (uncached - cached).max(f64::EPSILON);
            positions += (end - start) as f64 * part.clamp(0.0, 1.0);
            if class > 0 && !self.is_warm(Some(start)) {
                return Some(positions);
            }
        }
        None
    }

    /// Returns whether an object at this position takes significantly less work than an unlisted
    /// one.
    pub fn is_warm(&self, list_index: Option<usize>) -> bool {
        list_index.is_some()
            && self.expected_seconds(list_index) < self.expected_seconds(None) * WARM_WORK_RATIO
    }
}

/// Relative service time of an upstream: 1 is as expected, 2 is twice as slow.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    factor: f64,
    at: Instant,
}

/// Weight of a new sample in the moving average of an upstream's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Half-life of a measured slowness.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Range to which each sample is clamped.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 8.0);

impl Slowness {
    /// Creates the factor 1, for an upstream that is as fast as expected.
    pub fn new(now: Instant) -> Self {
        Self {
            factor: 1.0,
            at: now,
        }
    }

    /// Returns the factor at `now`; without new samples it decays towards 1.
    pub fn factor(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.at).as_secs_f64();
        let decay = 0.5_f64.powf(idle / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.factor - 1.0) * decay
    }

    /// Returns the time since the last sample, or since the creation without one.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Adds a sample: the time that a request took, divided by the expected time.
    pub fn record(&mut self, now: Instant, sample: f64) {
        let sample = sample.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        let previous = self.factor(now);
        self.factor = previous + (sample - previous) * SLOWNESS_WEIGHT;
        self.at = now;
    }
}
