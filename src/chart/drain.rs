//! The state chart of a planned drain of a zone, pool, upstream or host.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The content of the chart file.
pub const CHART: &str = include_str!("../charts/drain.toml");

/// The state of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// In force; no traffic has been shifted yet.
    Planned,
    /// New traffic is being shifted elsewhere in steps.
    Shifting,
    /// No new traffic is sent; cached look-up answers expire and requests finish.
    Draining,
    /// The target has no requests left.
    Drained,
    /// The deadline passed while the target still had requests.
    Overdue,
    /// The configuration no longer contains the drain.
    Cancelled,
}

impl DrainState {
    /// All states, for checking the chart file.
    pub const ALL: [Self; 6] = [
        Self::Planned,
        Self::Shifting,
        Self::Draining,
        Self::Drained,
        Self::Overdue,
        Self::Cancelled,
    ];
}

/// An event that changes the state of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainEvent {
    /// The target was measured for the first time.
    Started,
    /// No plan gives the target any weight.
    Shifted,
    /// A plan gives the target weight again.
    TrafficReturned,
    /// The target has no weight and no requests in flight.
    Emptied,
    /// The drain exceeded its time limit.
    DeadlinePassed,
    /// The drain was removed from the configuration.
    Cancelled,
}

impl DrainEvent {
    /// All events, for checking the chart file.
    pub const ALL: [Self; 6] = [
        Self::Started,
        Self::Shifted,
        Self::TrafficReturned,
        Self::Emptied,
        Self::DeadlinePassed,
        Self::Cancelled,
    ];
}

/// Returns the parsed chart; a test checks that the file is valid.
pub fn chart() -> &'static Chart<DrainState, DrainEvent> {
    static PARSED: LazyLock<Chart<DrainState, DrainEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &DrainState::ALL, &DrainEvent::ALL)
            .expect("the built-in chart file is valid")
    });
    &PARSED
}
