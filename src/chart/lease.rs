//! One host's part in a lease that the platform's store holds.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The chart's file.
pub const CHART: &str = include_str!("../charts/lease.toml");

/// A state of the chart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// It watches another holder's record, or none.
    Watching,
    /// It asked for the lease and has no certain answer.
    Acquiring,
    /// It holds the lease.
    Held,
    /// It holds the lease and asked to renew it.
    Renewing,
    /// It held the lease and may not act any more.
    Lost,
}

impl LeaseState {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::Watching,
        Self::Acquiring,
        Self::Held,
        Self::Renewing,
        Self::Lost,
    ];
}

/// An event that the chart takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEvent {
    /// A conditional write left.
    Asked,
    /// The store holds the written record.
    Granted,
    /// Another record took its place.
    Refused,
    /// The renewal was not written; the holding before it goes on.
    NotRenewed,
    /// The lease ran out on the holder's clock.
    Lapsed,
    /// The holder gave it up.
    Released,
    /// A record was read after a loss.
    Observed,
}

impl LeaseEvent {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Asked,
        Self::Granted,
        Self::Refused,
        Self::NotRenewed,
        Self::Lapsed,
        Self::Released,
        Self::Observed,
    ];
}

/// Returns the chart. A test checks its file, so that it parses here.
pub fn chart() -> &'static Chart<LeaseState, LeaseEvent> {
    static PARSED: LazyLock<Chart<LeaseState, LeaseEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &LeaseState::ALL, &LeaseEvent::ALL)
            .expect("the chart's file is checked")
    });
    &PARSED
}
