//! Global traffic steering for operators whose network supplier bills each
//! link by its busiest minute.
//!
//! The library holds all logic. Decisions are pure functions of explicit state
//! and an instant that is passed in; actors own the state and do the I/O. The
//! programs `cardamomroad` and `cardamomroad-entry` are thin.

pub mod cli;
pub mod command;
pub mod config;
pub mod error;
pub mod explain;
pub mod options;
pub mod publish;
pub mod refusal;
pub mod store;
pub mod util;
pub mod wire;
