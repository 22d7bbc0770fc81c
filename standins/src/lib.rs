//! Stand-ins.

pub mod policy;
