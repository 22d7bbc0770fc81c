//! The pace of an upstream's machine: how long work takes there at the moment, relative to the
//! usual time.
//!
//! Machines are shared, so that at any time some of them are slow for a spell of about 600 ms. An
//! answer may report the pace. The report is evidence for the time around it: its effect on
//! placement fades within a second, and the times of requests that ran around it are divided by it
//! before they are compared with other upstreams.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// The pace of a machine on which work takes the usual time, in percent.
const USUAL_PERCENT: u16 = 100;
/// Largest reported pace that is valid, in percent.
const REPORTED_PERCENT_MAX: f64 = 10_000.0;
/// Range to which valid paces are clamped, in percent.
const PERCENT_RANGE: (u16, u16) = (20, 1000);
/// Time after which a report no longer affects placement.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Time before and after a report for which it describes the work that was done.
const REPORT_REACH: Duration = Duration::from_millis(500);
/// Mean remaining duration of a spell at a pace other than the usual one, in seconds.
const SPELL_SECONDS: f64 = 0.6;
/// Paces that differ by less than this fraction belong to the same spell.
const SAME_SPELL_FRACTION: f64 = 0.05;
/// Maximum number of spells of an upstream that are kept.
const SPELLS_MAX: usize = 16;
/// Minimum distance between the starts of two spells that are kept.
const SPELL_DISTANCE_MIN: Duration = Duration::from_millis(50);
/// An upstream counts as slow from this factor on.
const SLOW_FACTOR: f64 = 1.5;

/// The pace that an upstream reported with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// How long work takes, in percent of the usual time.
    percent: u16,
    /// Time since the report, in milliseconds.
    age_ms: u16,
}

impl PaceReport {
    /// Parses a pace in percent; `None` if it is not a number from more than 0 to 10,000.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        if !text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
            return None;
        }
        let percent: f64 = text.parse().ok()?;
        if percent <= 0.0 || percent > REPORTED_PERCENT_MAX {
            return None;
        }
        let (min, max) = PERCENT_RANGE;
        Some(Self {
            percent: percent.clamp(f64::from(min), f64::from(max)).round() as u16,
            age_ms: 0,
        })
    }

    /// Returns the report as it is after a further `time`.
    #[must_use]
    pub fn aged(self, time: Duration) -> Self {
        let age = Duration::from_millis(u64::from(self.age_ms)).saturating_add(time);
        Self {
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            ..self
        }
    }

    /// Returns the pace in percent, within the range that is used.
    pub fn percent(self) -> u16 {
        // The report may come from another host.
        self.percent.clamp(PERCENT_RANGE.0, PERCENT_RANGE.1)
    }

    fn factor(self) -> f64 {
        f64::from(self.percent()) / f64::from(USUAL_PERCENT)
    }
}

/// A time during which a machine kept its pace.
#[derive(Clone, Copy, Debug)]
struct Spell {
    since: Instant,
    factor: f64,
}

/// What the reports of an upstream say about its machine. It describes the machine, so that it
/// remains when the upstream starts again.
#[derive(Clone, Debug, Default)]
pub struct MachinePace {
    /// When the last report was made, and its factor.
    last: Option<(Instant, f64)>,
    /// Recent spells, the oldest first.
    spells: Vec<Spell>,
}

impl MachinePace {
    /// Adds a report. One that is older than the last one is ignored.
    pub fn record(&mut self, now: Instant, report: PaceReport) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let at = now.checked_sub(age).unwrap_or(now);
        if self.last.is_some_and(|(last, _)| at < last) {
            return;
        }
        let factor = report.factor();
        let since = self.spell_start(at);
        let previous = self.last.replace((at, factor));
        if let Some((last, _)) = previous
            && last + REPORT_REACH < since
        {
            // Nothing is known of the time between them.
            self.push(Spell {
                since: last + REPORT_REACH,
                factor: 1.0,
            });
        }
        let is_same = |s: &Spell| (s.factor - factor).abs() <= s.factor * SAME_SPELL_FRACTION;
        if self.spells.last().is_some_and(is_same) {
            return;
        }
        self.push(Spell { since, factor });
    }

    /// Returns since when a report made at `at` describes the machine: halfway from the previous
    /// report if that was shortly before.
    fn spell_start(&self, at: Instant) -> Instant {
        let earliest = at.checked_sub(REPORT_REACH).unwrap_or(at);
        let Some((last, _)) = self.last else {
            return earliest;
        };
        earliest.max(last + at.saturating_duration_since(last) / 2)
    }

    fn push(&mut self, spell: Spell) {
        let is_close = |s: &&mut Spell| spell.since < s.since + SPELL_DISTANCE_MIN;
        if let Some(last) = self.spells.last_mut().filter(is_close) {
            last.factor = spell.factor;
            return;
        }
        if self.spells.len() >= SPELLS_MAX {
            self.spells.remove(0);
        }
        self.spells.push(spell);
    }

    /// Returns the factor by which a request with this amount of work, in seconds at the usual
    /// pace, is expected to take longer if it starts now: 1 if it takes the usual time.
    ///
    /// A spell ends at a random time, so that a short request has most of its work in the spell in
    /// which it starts, and a long one only a part.
    pub fn expected_factor(&self, now: Instant, work_seconds: f64) -> f64 {
        let factor = self.current_factor(now);
        if factor == 1.0 {
            return 1.0;
        }
        1.0 + (factor - 1.0) * SPELL_SECONDS / (SPELL_SECONDS + work_seconds.max(0.0) * factor)
    }

    /// Returns the present factor, which fades to 1 as the last report gets older.
    fn current_factor(&self, now: Instant) -> f64 {
        let Some((at, factor)) = self.last else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at);
        if age >= REPORT_LIFETIME {
            return 1.0;
        }
        let weight = 1.0 - age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64();
        1.0 + (factor - 1.0) * weight
    }

    /// Returns the present pace in percent; `None` without a recent report.
    pub fn percent(&self, now: Instant) -> Option<u16> {
        let (at, _) = self.last?;
        let is_recent = now.saturating_duration_since(at) < REPORT_LIFETIME;
        is_recent.then(|| (self.current_factor(now) * f64::from(USUAL_PERCENT)).round() as u16)
    }

    /// Returns whether work takes much longer than usual now.
    pub fn is_slow(&self, now: Instant) -> bool {
        self.current_factor(now) >= SLOW_FACTOR
    }

    /// Returns the time that a run of the duration `held`, which ends now, would have taken at the
    /// usual pace.
    pub fn usual_time(&self, now: Instant, held: Duration) -> Duration {
        let Some((last, _)) = self.last else {
            return held;
        };
        let Some(start) = now.checked_sub(held) else {
            return held;
        };
        let mut usual = Duration::ZERO;
        // From the latest spell to the earliest. After the last report's reach and before the first
        // spell, the pace is assumed to be the usual one.
        let mut until = now;
        let described_until = (last + REPORT_REACH).clamp(start, now);
        usual += until.saturating_duration_since(described_until);
        until = described_until;
        for spell in self.spells.iter().rev() {
            let since = spell.since.clamp(start, until);
            usual += until.saturating_duration_since(since).div_f64(spell.factor);
            until = since;
        }
        usual + until.saturating_duration_since(start)
    }
}
