//! Stand-ins for the external systems that cardamomroad works with: the platform's
//! object store, the upstreams and the callers.
//!
//! Production code never depends on this package. Each stand-in is a library
//! with a thin program; tests, the demonstration and the benchmarks use both.

pub mod bench;
pub mod caller;
pub mod capacity;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod http;
pub mod policy;
pub mod process;
pub mod receipt;
pub mod store;
pub mod upstream;
