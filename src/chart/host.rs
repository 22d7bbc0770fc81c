//! The state chart of an entry host's process, as driven by the process itself.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The content of the chart file.
pub const CHART: &str = include_str!("../charts/host.toml");

/// The state of a host process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The listening addresses are not bound yet.
    Starting,
    /// The addresses are bound; no configuration has been adopted.
    NotReady,
    /// Serving requests.
    Ready,
    /// Look-up answers no longer name the host; it finishes running requests.
    Leaving,
    /// No request is left and the process may exit.
    Stopped,
}

impl HostState {
    /// All states, for checking the chart file.
    pub const ALL: [Self; 5] = [
        Self::Starting,
        Self::NotReady,
        Self::Ready,
        Self::Leaving,
        Self::Stopped,
    ];
}

/// An event that changes the state of a host process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostEvent {
    /// All listening addresses are bound.
    Bound,
    /// The first configuration was adopted.
    Configured,
    /// A signal or the platform asked the process to stop.
    Stop,
    /// The last running request finished.
    Emptied,
}

impl HostEvent {
    /// All events, for checking the chart file.
    pub const ALL: [Self; 4] = [Self::Bound, Self::Configured, Self::Stop, Self::Emptied];
}

/// Returns the parsed chart; a test checks that the file is valid.
pub fn chart() -> &'static Chart<HostState, HostEvent> {
    static PARSED: LazyLock<Chart<HostState, HostEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &HostState::ALL, &HostEvent::ALL)
            .expect("the built-in chart file is valid")
    });
    &PARSED
}
