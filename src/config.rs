//! The configuration set that operators write: its object types, parsing,
//! validation, comparison and the compiled form that hosts use.

pub mod check;
pub mod diff;
pub mod difference;
pub mod fault;
pub mod index;
pub mod kind;
pub mod object;
pub mod parse;
pub mod path;
