//! One planned drain of a zone, a pool, an upstream or a host.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The chart's file.
pub const CHART: &str = include_str!("../charts/drain.toml");

/// A state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// It is in force and nothing was shifted yet.
    Planned,
    /// New traffic is led elsewhere, step by step.
    Shifting,
    /// Nothing new is sent; caches run out and requests finish.
    Draining,
    /// The target is empty.
    Drained,
    /// The deadline passed and the target is not empty.
    Overdue,
    /// The drain was taken back.
    Cancelled,
}

impl DrainState {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Planned,
        Self::Shifting,
        Self::Draining,
        Self::Drained,
        Self::Overdue,
        Self::Cancelled,
    ];
}

/// An event that the chart takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainEvent {
    /// The first step was taken.
    Started,
    /// The last step was taken.
    Shifted,
    /// New traffic has to be led to the target again.
    TrafficReturned,
    /// The target has nothing in flight.
    Emptied,
    /// The time that the drain may take is over.
    DeadlinePassed,
    /// The configuration dropped the drain.
    Cancelled,
}

impl DrainEvent {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Started,
        Self::Shifted,
        Self::TrafficReturned,
        Self::Emptied,
        Self::DeadlinePassed,
        Self::Cancelled,
    ];
}

/// Returns the chart. A test checks its file, so that it parses here.
pub fn chart() -> &'static Chart<DrainState, DrainEvent> {
    static PARSED: LazyLock<Chart<DrainState, DrainEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &DrainState::ALL, &DrainEvent::ALL)
            .expect("the chart's file is checked")
    });
    &PARSED
}
