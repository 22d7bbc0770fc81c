//! One gateway's view of a single upstream: its state, its concurrency limit and its load.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use tokio::time::Instant;

use crate::chart::upstream::{
    UpstreamEvent as Event,
    UpstreamState as State,
    chart, //
};

/// Consecutive failures after which an upstream becomes suspect.
const FAILURES_MAX: u32 = 3;
/// The initial back-off after a shed request or a failure that makes the upstream suspect.
const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// The maximum back-off.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// The fraction of its share that a cold upstream may use at once; it grows over the warm-up.
const COLD_START_FRACTION: f64 = 0.25;
/// Load reports older than this no longer lower the weight.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
/// The lowest factor by which a load report can scale the weight.
const REPORT_FACTOR_MIN: f64 = 0.25;
/// Answers after which a window that was narrowed by shed requests grows by one.
const WIDEN_AFTER_ANSWERS: u32 = 8;

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The upstream refused the request before starting it, because it is at capacity.
    Shed,
    /// The upstream refused the request before starting it, because it is draining.
    Draining,
    /// The connection was refused, so the request was never sent.
    Refused,
    /// The request was sent, and then the connection or the response failed.
    Failed,
    /// The deadline passed before the upstream answered.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}

/// An upstream's report about itself, which may be outdated or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reported {
    /// The reported state.
    pub state: ReportedState,
    /// The reported load; `None` if the upstream sent no valid load report.
    pub load: Option<ReportedLoad>,
    /// When the report was requested.
    pub requested_at: Instant,
}

/// The state in an upstream's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It accepts requests.
    Ready,
    /// It accepts no new requests.
    Draining,
    /// It has started and is still warming up.
    Cold,
}

/// The load in an upstream's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests, from all gateways.
    pub in_flight: u32,
    /// Requests that the upstream can run concurrently.
    pub slots: u32,
}

/// One gateway's view of a single upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    address: SocketAddr,
    state: State,
    state_since: Instant,
    share: u32,
    /// The concurrency limit learnt from shed requests; `u32::MAX` until the first one.
    window: u32,
    running: u32,
    /// Failures since the last answer.
    failures: u32,
    /// Answers since the window last changed.
    answers: u32,
    backoff: Duration,
    backoff_until: Instant,
    /// Whether an operator's drain is in force; reports from the upstream cannot end it.
    drained: bool,
    /// The fraction of the share that may be used while cold.
    warm_fraction: f64,
    reported: Option<Reported>,
}

impl Upstream {
    /// Creates a cold upstream with a share of 0 slots.
    pub fn new(now: Instant, address: SocketAddr) -> Self {
        Self {
            address,
            state: chart().initial(),
            state_since: now,
            share: 0,
            window: u32::MAX,
            running: 0,
            failures: 0,
            answers: 0,
            backoff: BACKOFF_FIRST,
            backoff_until: now,
            drained: false,
            warm_fraction: COLD_START_FRACTION,
            reported: None,
        }
    }

    /// Returns the address to which requests are sent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the time since the last state change.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.state_since)
    }

    /// Returns the number of this gateway's requests running at the upstream.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of the upstream's slots allotted to this gateway.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Returns how many of this gateway's requests may run now, including those already running.
    pub fn limit(&self, now: Instant) -> u32 {
        if now < self.backoff_until {
            return 0;
        }
        match self.state {
            State::Ready => self.share.min(self.window),
            State::Cold => self.cold_share().min(self.window),
            State::Suspect | State::Draining | State::Gone => 0,
        }
    }

    /// Returns the number of further requests that may start now, one if a probe is due to
    /// an upstream that may have recovered.
    pub fn free(&self, now: Instant) -> u32 {
        if self.may_have_recovered(now) {
            return 1;
        }
        self.limit(now).saturating_sub(self.running)
    }

    /// Returns whether the upstream is suspect, idle and past its back-off.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.state == State::Suspect
            && self.running == 0
            && self.share > 0
            && now >= self.backoff_until
    }

    /// Returns whether a probe is due and the upstream's own reports do not speak against it:
    /// one was received since the back-off, or none ever was.
    pub fn may_have_recovered(&self, now: Instant) -> bool {
        self.is_probe_due(now)
            && self
                .reported
                .is_none_or(|r| r.requested_at >= self.backoff_until)
    }

    /// Returns the load after one more request, relative to the weight.
    pub fn load_with_one_more(&self, now: Instant) -> f64 {
        let limit = f64::from(self.limit(now).max(1));
        f64::from(self.running + 1) / (limit * self.report_factor(now))
    }

    pub(super) fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    pub(super) fn tick(&mut self, now: Instant, warm_up: Duration) {
        if self.state != State::Cold {
            return;
        }
        let progress = match warm_up.is_zero() {
            true => 1.0,
            false => self.age(now).as_secs_f64() / warm_up.as_secs_f64(),
        };
        self.warm_fraction = COLD_START_FRACTION + (1.0 - COLD_START_FRACTION) * progress;
        if self.warm_fraction >= 1.0 {
            self.apply(now, Event::Warmed);
        }
    }

    pub(super) fn started(&mut self, _now: Instant) {
        self.running += 1;
    }

    pub(super) fn finished(&mut self, now: Instant, outcome: Outcome) {
        self.running = self.running.saturating_sub(1);
        match outcome {
            Outcome::Answered => self.answered(now),
            Outcome::Shed => self.shed(now),
            Outcome::Draining => {
                self.apply(now, Event::DrainStarted);
            }
            Outcome::Refused => self.suspect(now),
            Outcome::Failed | Outcome::TimedOut => self.failed(now),
            Outcome::Cancelled => {}
        }
    }

    pub(super) fn report(&mut self, now: Instant, reported: Reported) {
        let newer = self
            .reported
            .is_none_or(|old| old.requested_at <= reported.requested_at);
        if !newer {
            return;
        }
        self.reported = Some(reported);
        let event = match (self.state, reported.state) {
            (_, ReportedState::Draining) => Event::DrainStarted,
            (State::Draining, _) if self.drained || reported.requested_at <= self.state_since => {
                return;
            }
            (State::Draining, _) => Event::DrainCancelled,
            (State::Ready, ReportedState::Cold) => Event::Restarted,
            _ => return,
        };
        self.apply(now, event);
    }

    pub(super) fn set_drained(&mut self, now: Instant, drained: bool) {
        if self.drained == drained {
            return;
        }
        self.drained = drained;
        match drained {
            true => self.apply(now, Event::DrainStarted),
            false => self.apply(now, Event::DrainCancelled),
        };
    }

    pub(super) fn remove(&mut self, now: Instant) {
        self.apply(now, Event::Removed);
    }

    pub(super) fn restore(&mut self, now: Instant) {
        self.apply(now, Event::Added);
        if self.drained {
            self.apply(now, Event::DrainStarted);
        }
    }

    /// Applies an event of the state chart; returns whether the chart has a transition for it.
    fn apply(&mut self, now: Instant, event: Event) -> bool {
        if !chart().step(&mut self.state, event) {
            return false;
        }
        self.state_since = now;
        if self.state == State::Cold {
            self.warm_fraction = COLD_START_FRACTION;
        }
        true
    }

    fn answered(&mut self, now: Instant) {
        self.failures = 0;
        self.backoff = BACKOFF_FIRST;
        self.answers += 1;
        if self.answers >= WIDEN_AFTER_ANSWERS {
            self.answers = 0;
            self.window = self.window.saturating_add(1);
        }
        self.apply(now, Event::Answered);
    }

    /// Narrows the window and backs off: the upstream has less capacity than the share implies.
    fn shed(&mut self, now: Instant) {
        self.window = self.running.max(1).min(self.window);
        self.answers = 0;
        self.back_off(now);
    }

    fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURES_MAX || self.state == State::Suspect {
            self.suspect(now);
        }
    }

    fn suspect(&mut self, now: Instant) {
        self.apply(now, Event::Failed);
        if self.state == State::Suspect {
            self.back_off(now);
        }
    }

    fn back_off(&mut self, now: Instant) {
        self.backoff_until = self.backoff_until.max(now + self.backoff);
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
    }

    fn cold_share(&self) -> u32 {
        let slots = (f64::from(self.share) * self.warm_fraction) as u32;
        slots.max(1).min(self.share)
    }

    /// Returns the factor by which a recent load report scales the weight, 1.0 without one.
    fn report_factor(&self, now: Instant) -> f64 {
        let Some(reported) = self.reported else {
            return 1.0;
        };
        if now.saturating_duration_since(reported.requested_at) > REPORT_MAX_AGE {
            return 1.0;
        }
        let Some(load) = reported.load else {
            return 1.0;
        };
        let used = f64::from(load.in_flight) / f64::from(load.slots.max(1));
        (1.0 - used).clamp(REPORT_FACTOR_MIN, 1.0)
    }
}
