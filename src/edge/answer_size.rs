//! Learns how large the answers of each route are.
//!
//! Traffic between zones is billed, and an answer passes from the upstream's zone to the zone of the
//! host that serves the caller. Placement therefore needs the size of an answer before the request
//! is sent. Each host learns it from the answers that it forwards itself.

use std::collections::HashMap;

/// Mean size from which the answers of a route count as large, in bytes. Smaller answers cost less
/// than the search for an upstream in the same zone.
pub const LARGE_ANSWER_MIN_BYTES: u64 = 16 * 1024;
/// Weight of a new answer in the moving average. It is small because each change between small and
/// large moves objects to upstreams that do not have them cached.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Maximum number of routes that are kept; the one whose last answer is the oldest is dropped.
const ROUTES_MAX: usize = 1024;

/// Moving average of the sizes of answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanBytes {
    bytes: f64,
    answers: u64,
}

impl MeanBytes {
    /// Adds the size of a complete answer's body.
    pub fn record(&mut self, bytes: u64) {
        self.answers += 1;
        // The first answers count alike, so that the very first one does not dominate for long.
        let weight = SAMPLE_WEIGHT.max(1.0 / self.answers as f64);
        self.bytes += (bytes as f64 - self.bytes) * weight;
    }

    /// Returns the mean in bytes; 0 before the first answer.
    pub fn bytes(&self) -> u64 {
        self.bytes as u64
    }

    /// Returns the mean in bytes if answers are large on average, otherwise 0.
    pub fn large_bytes(&self) -> u64 {
        match self.bytes() >= LARGE_ANSWER_MIN_BYTES {
            true => self.bytes(),
            false => 0,
        }
    }
}

/// Mean size of one route's answers.
#[derive(Clone, Copy, Debug, Default)]
struct RouteSize {
    mean: MeanBytes,
    /// Number of the latest answer among those of all routes.
    last: u64,
}

/// Mean sizes of the answers of each route, by the hash of the route's prefix.
#[derive(Clone, Debug, Default)]
pub struct AnswerSizes {
    routes: HashMap<u64, RouteSize>,
    recorded: u64,
}

/// A change between small and large answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeChange {
    /// Whether the route's answers are large now.
    pub is_large: bool,
    /// Mean size of the route's answers, in bytes.
    pub mean_bytes: u64,
}

impl AnswerSizes {
    /// Records the size of a complete answer's body. Returns the change if the route's answers
    /// become large or small by it.
    pub fn record(&mut self, route: u64, bytes: u64) -> Option<SizeChange> {
        self.recorded += 1;
        let was_large = self.expected_bytes(route) > 0;
        if !self.routes.contains_key(&route) && self.routes.len() >= ROUTES_MAX {
            self.drop_oldest();
        }
        let size = self.routes.entry(route).or_default();
        size.mean.record(bytes);
        size.last = self.recorded;
        let is_large = size.mean.large_bytes() > 0;
        let mean_bytes = size.mean.bytes();
        (is_large != was_large).then_some(SizeChange {
            is_large,
            mean_bytes,
        })
    }

    /// Returns the expected size of an answer of a route in bytes; 0 if the route's answers are not
    /// large on average, or not known.
    pub fn expected_bytes(&self, route: u64) -> u64 {
        self.routes.get(&route).map_or(0, |s| s.mean.large_bytes())
    }

    /// Returns the largest mean size of all routes, in bytes.
    pub fn largest_mean_bytes(&self) -> u64 {
        let means = self.routes.values().map(|s| s.mean.bytes());
        means.max().unwrap_or(0)
    }

    /// Returns the number of routes whose answers are large on average.
    pub fn large_routes(&self) -> usize {
        let sizes = self.routes.values();
        sizes.filter(|s| s.mean.large_bytes() > 0).count()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.routes.iter().min_by_key(|(_, m)| m.last);
        if let Some(route) = oldest.map(|(route, _)| *route) {
            self.routes.remove(&route);
        }
    }
}
