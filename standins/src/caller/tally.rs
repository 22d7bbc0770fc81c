//! Statistics over the results of many requests.

use std::{
    collections::BTreeMap,
    fmt, //
};

use hdrhistogram::Histogram;

use super::exchange::{
    Reply,
    Verdict, //
};

/// The number of significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// The properties by which requests are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Outcome {
    /// The HTTP status; 0 if no answer head arrived.
    pub status: u16,
    /// The value of `x-cardamomroad-outcome`, which says whether the request ran, if present.
    pub reported_outcome: Option<String>,
    /// The reason of a refusal; `None` for other answers.
    pub reason: Option<String>,
    /// `whole`, `refused`, `wrong`, `broken`, `lost` or `timed-out`.
    pub verdict: &'static str,
}

impl Outcome {
    fn of(reply: &Reply) -> Self {
        Self {
            status: reply.status,
            reported_outcome: reply.outcome.clone(),
            reason: reply.reason.clone(),
            verdict: match reply.verdict {
                Verdict::Whole(_) => "whole",
                Verdict::Refused => "refused",
                Verdict::Wrong(_) => "wrong",
                Verdict::Broken => "broken",
                Verdict::Lost(_) => "lost",
                Verdict::TimedOut => "timed-out",
            },
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |t: &Option<String>| t.clone().unwrap_or_else(|| "-".to_owned());
        write!(
            f,
            "status={} outcome={} reason={} verdict={}",
            self.status,
            text(&self.reported_outcome),
            text(&self.reason),
            self.verdict
        )
    }
}

/// Counts by outcome, and latencies in microseconds of complete, matching answers.
#[derive(Clone, Debug)]
pub struct RequestStats {
    counts: BTreeMap<Outcome, u64>,
    latency_us: Histogram<u64>,
    attempts: u64,
}

impl Default for RequestStats {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestStats {
    /// Returns empty statistics.
    pub fn new() -> Self {
        // Three digits are within the range that the histogram accepts.
        let latency_us = Histogram::new(LATENCY_DIGITS).expect("valid digits");
        Self {
            counts: BTreeMap::new(),
            latency_us,
            attempts: 0,
        }
    }

    /// Adds the result of a request.
    pub fn add(&mut self, reply: &Reply) {
        *self.counts.entry(Outcome::of(reply)).or_default() += 1;
        self.attempts += u64::from(reply.attempts);
        if reply.receipt().is_none() {
            return;
        }
        let us = u64::try_from(reply.latency.as_micros()).unwrap_or(u64::MAX);
        // The histogram resizes itself, so that every value fits.
        let _ = self.latency_us.record(us);
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Returns the number of attempts over all requests.
    pub fn attempts(&self) -> u64 {
        self.attempts
    }

    /// Returns the number of requests with a verdict such as `whole`.
    pub fn with_verdict(&self, verdict: &str) -> u64 {
        let matching = self.counts.iter().filter(|(o, _)| o.verdict == verdict);
        matching.map(|(_, n)| n).sum()
    }

    /// Returns the number of requests refused for a reason.
    pub fn with_reason(&self, reason: &str) -> u64 {
        let matching = self.counts.iter();
        let matching = matching.filter(|(o, _)| o.reason.as_deref() == Some(reason));
        matching.map(|(_, n)| n).sum()
    }

    /// Returns the counts by outcome.
    pub fn counts(&self) -> &BTreeMap<Outcome, u64> {
        &self.counts
    }

    /// Returns the latencies of complete, matching answers, in microseconds.
    pub fn latency_us(&self) -> &Histogram<u64> {
        &self.latency_us
    }
}

impl fmt::Display for RequestStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (outcome, n) in &self.counts {
            writeln!(f, "requests={n} {outcome}")?;
        }
        write!(
            f,
            "tries={} latency_us p50={} p99={} max={}",
            self.attempts,
            self.latency_us.value_at_quantile(0.5),
            self.latency_us.value_at_quantile(0.99),
            self.latency_us.max()
        )
    }
}
