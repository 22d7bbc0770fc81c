//! The operators' configuration set.

pub mod object;
