//! Durations as text such as `250ms` or `2m`, for serde's `with`.

use std::time::Duration;

use serde::{
    Deserialize,
    Deserializer,
    Serializer, //
};

/// Writes a duration.
pub fn serialize<S: Serializer>(d: &Duration, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(&humantime::format_duration(*d))
}

/// Reads a duration.
pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    humantime::parse_duration(&text).map_err(serde::de::Error::custom)
}
