//! Small types that the other modules share: names, ids, sizes and rates.

pub mod duration_text;
pub mod id;
pub mod log_writer;
pub mod units;
