//! Global traffic steering for operators whose network supplier bills each
//! link by its busiest minute.
//!
//! The library holds all logic. Decisions are pure functions of explicit state
//! and an instant that is passed in; actors own the state and do the I/O. The
//! programs `cardamomroad` and `cardamomroad-entry` are thin.

mod account;
pub mod blocks;
pub mod bucket;
pub mod budget;
pub mod chart;
pub mod config;
pub mod demand;
pub mod drain;
pub mod error;
pub mod fairness;
pub mod ledger;
pub mod link;
pub mod loan;
pub mod lookup;
pub mod plan;
pub mod planner;
pub mod pool;
pub mod queue;
pub mod retry;
pub mod route;
pub mod share;
pub mod slots;
pub mod store;
pub mod util;
pub mod wire;
