//! The life of an entry host's process, as the process itself runs it.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The chart's file.
pub const CHART: &str = include_str!("../charts/host.toml");

/// A state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// Its addresses are not bound yet.
    Starting,
    /// It is bound and has no configuration.
    NotReady,
    /// It serves.
    Ready,
    /// Look-ups do not name it any more; it finishes what runs.
    Leaving,
    /// Nothing runs.
    Stopped,
}

impl HostState {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Starting,
        Self::NotReady,
        Self::Ready,
        Self::Leaving,
        Self::Stopped,
    ];
}

/// An event that the chart takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostEvent {
    /// Its addresses are bound.
    Bound,
    /// It adopted a configuration.
    Configured,
    /// A signal, or the platform, asks it to stop.
    Stop,
    /// The last request is finished.
    Emptied,
}

impl HostEvent {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Bound, Self::Configured, Self::Stop, Self::Emptied];
}

/// Returns the chart. A test checks its file, so that it parses here.
pub fn chart() -> &'static Chart<HostState, HostEvent> {
    static PARSED: LazyLock<Chart<HostState, HostEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &HostState::ALL, &HostEvent::ALL).expect("the chart's file is checked")
    });
    &PARSED
}
