//! Shared types and helpers: names, ids, sizes, rates, duration texts, time arithmetic and the log writer.

pub mod duration_text;
pub mod id;
pub mod log_writer;
pub mod time;
pub mod units;
