//! The state chart of one upstream, as seen by one entry host.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The content of the chart file.
pub const CHART: &str = include_str!("../charts/upstream.toml");

/// The state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Warming up; gets less than its full capacity.
    Cold,
    /// Gets up to its full capacity.
    Ready,
    /// Failed; gets only probes.
    Suspect,
    /// Gets no new requests and finishes the running ones.
    Draining,
    /// No longer configured.
    Gone,
}

impl UpstreamState {
    /// All states, for checking the chart file.
    pub const ALL: [Self; 5] = [
        Self::Cold,
        Self::Ready,
        Self::Suspect,
        Self::Draining,
        Self::Gone,
    ];
}

/// An event that changes the state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamEvent {
    /// The warm-up ended.
    Warmed,
    /// The upstream restarted and is cold.
    Restarted,
    /// A connection or a request failed and the upstream is the cause.
    Failed,
    /// A suspect upstream answered a probe.
    Answered,
    /// A drain is planned, or the upstream reported that it is draining.
    DrainStarted,
    /// The drain was cancelled.
    DrainCancelled,
    /// The configuration no longer names the upstream.
    Removed,
    /// The configuration names the upstream again.
    Added,
}

impl UpstreamEvent {
    /// All events, for checking the chart file.
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

/// Returns the parsed chart; a test checks that the file is valid.
pub fn chart() -> &'static Chart<UpstreamState, UpstreamEvent> {
    static PARSED: LazyLock<Chart<UpstreamState, UpstreamEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &UpstreamState::ALL, &UpstreamEvent::ALL)
            .expect("the built-in chart file is valid")
    });
    &PARSED
}
