//! The life of one upstream, as one entry host sees it.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The chart's file.
pub const CHART: &str = include_str!("../charts/upstream.toml");

/// A state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It runs, and takes less than its full capacity.
    Cold,
    /// It takes its full capacity.
    Ready,
    /// It failed; only probes go there.
    Suspect,
    /// It gets no new work and finishes what it has.
    Draining,
    /// It is not configured any more.
    Gone,
}

impl UpstreamState {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Cold,
        Self::Ready,
        Self::Suspect,
        Self::Draining,
        Self::Gone,
    ];
}

/// An event that the chart takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamEvent {
    /// The warm-up ended.
    Warmed,
    /// It started again and is cold.
    Restarted,
    /// A connection or a request failed in a way that blames it.
    Failed,
    /// A probe of a suspect upstream was answered.
    Answered,
    /// A drain is planned, or the upstream says that it drains.
    DrainStarted,
    /// The drain was taken back.
    DrainCancelled,
    /// The configuration dropped it.
    Removed,
    /// The configuration names it again.
    Added,
}

impl UpstreamEvent {
    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::Warmed,
        Self::Restarted,
        Self::Failed,
        Self::Answered,
        Self::DrainStarted,
        Self::DrainCancelled,
        Self::Removed,
        Self::Added,
    ];
}

/// Returns the chart. A test checks its file, so that it parses here.
pub fn chart() -> &'static Chart<UpstreamState, UpstreamEvent> {
    static PARSED: LazyLock<Chart<UpstreamState, UpstreamEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &UpstreamState::ALL, &UpstreamEvent::ALL)
            .expect("the chart's file is checked")
    });
    &PARSED
}
