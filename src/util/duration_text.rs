//! Durations as text such as `250ms` or `2m`, for serde's `with` attribute.

use std::time::Duration;

use serde::{
    Deserialize,
    Deserializer,
    Serializer, //
};

/// Serialises a duration as text.
pub fn serialize<S: Serializer>(d: &Duration, s: S) -> Result<S::Ok, S::Error> {
    s.collect_str(&humantime::format_duration(*d))
}

/// Parses a duration from text; fails if it is malformed.
pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    humantime::parse_duration(&text).map_err(serde::de::Error::custom)
}
