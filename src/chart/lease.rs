//! The state chart of one host's claim to a lease in the platform's store.

use std::sync::LazyLock;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::chart::Chart;

/// The content of the chart file.
pub const CHART: &str = include_str!("../charts/lease.toml");

/// The state of a lease as seen by one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseState {
    /// Watching the record of another holder, or no record.
    Watching,
    /// A write to acquire the lease was sent; its result is not certain yet.
    Acquiring,
    /// This host holds the lease.
    Held,
    /// This host holds the lease and sent a write to renew it.
    Renewing,
    /// This host held the lease and must not act as holder any more.
    Lost,
}

impl LeaseState {
    /// All states, for checking the chart file.
    pub const ALL: [Self; 5] = [
        Self::Watching,
        Self::Acquiring,
        Self::Held,
        Self::Renewing,
        Self::Lost,
    ];
}

/// An event that changes the state of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseEvent {
    /// A conditional write was sent.
    Asked,
    /// The store contains the record that was written.
    Granted,
    /// The store contains another host's record instead.
    Refused,
    /// The renewal was not written; the lease held before it stays valid.
    NotRenewed,
    /// The lease expired by the holder's own clock.
    Lapsed,
    /// The holder released the lease.
    Released,
    /// The record was read after the lease was lost.
    Observed,
}

impl LeaseEvent {
    /// All events, for checking the chart file.
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

/// Returns the parsed chart; a test checks that the file is valid.
pub fn chart() -> &'static Chart<LeaseState, LeaseEvent> {
    static PARSED: LazyLock<Chart<LeaseState, LeaseEvent>> = LazyLock::new(|| {
        Chart::parse(CHART, &LeaseState::ALL, &LeaseEvent::ALL)
            .expect("the built-in chart file is valid")
    });
    &PARSED
}
