//! The operators' configuration set.

pub mod check;
pub mod diff;
pub mod difference;
pub mod fault;
pub mod index;
pub mod kind;
pub mod object;
pub mod parse;
pub mod path;
