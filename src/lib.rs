//! Global traffic steering for operators whose network supplier bills each link by the traffic of
//! its busiest minute.
//!
//! The library holds all logic. Decisions are pure functions of explicit state and an instant
//! passed as an argument; actors own the state and do the I/O. The programs `cardamomroad` and
//! `cardamomroad-entry` only parse arguments and call the library.

pub mod account;
pub mod adoption;
pub mod agent;
pub mod at_most_once;
pub mod blocks;
pub mod body;
pub mod bucket;
pub mod budget;
pub mod chart;
pub mod cli;
pub mod command;
pub mod config;
pub mod connection;
pub mod control;
pub mod credential;
pub mod demand;
pub mod drain;
pub mod edge;
pub mod entry;
pub mod error;
pub mod explain;
pub mod fairness;
pub mod gateway;
pub mod held_bytes;
pub mod host;
pub mod lease;
pub mod ledger;
pub mod link;
pub mod listener;
pub mod loan;
pub mod lookup;
pub mod membership;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod plan;
pub mod plan_publisher;
pub mod planner;
pub mod pool;
pub mod post;
pub mod process;
pub mod publish;
pub mod quarantine;
pub mod queue;
pub mod refusal;
pub mod relay;
pub mod retry;
pub mod role;
pub mod route;
pub mod share;
pub mod slots;
pub mod store;
pub mod trace;
pub mod util;
pub mod wire;
