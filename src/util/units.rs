//! Newtypes for sizes and rates.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Converts link rates in bits to bytes.
const BITS_PER_BYTE: u64 = 8;
/// Seconds in a minute, the unit in which link traffic is billed.
const SECONDS_PER_MINUTE: u64 = 60;
/// The scale of values in thousandths.
const MILLI: u64 = 1000;

/// A failure to parse a size or a rate.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UnitError {
    /// The text has no valid number or an unknown unit.
    #[error("{0:?} is not {1}")]
    Malformed(String, &'static str),
    /// The value does not fit into 64 bits.
    #[error("{0:?} is too large")]
    TooLarge(String),
}

/// A number of bytes, written with a decimal unit such as `512kB`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let units = [
            ("GB", 1_000_000_000),
            ("MB", 1_000_000),
            ("kB", 1_000),
            ("B", 1),
        ];
        parse_unit(text, &units, "a size such as 512kB").map(Self)
    }
}

/// A link's capacity in one direction, in bits a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BitRate(pub u64);

impl BitRate {
    /// Returns the bytes that the link can carry in one billed minute.
    pub fn bytes_per_minute(self) -> ByteSize {
        ByteSize(self.0 / BITS_PER_BYTE * SECONDS_PER_MINUTE)
    }

    /// Returns the bytes that the link can carry in one second.
    pub fn bytes_per_second(self) -> ByteSize {
        ByteSize(self.0 / BITS_PER_BYTE)
    }
}

const BIT_RATE_UNITS: [(&str, u64); 4] = [
    ("Gbit/s", 1_000_000_000),
    ("Mbit/s", 1_000_000),
    ("kbit/s", 1_000),
    ("bit/s", 1),
];

impl fmt::Display for BitRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, factor) in BIT_RATE_UNITS {
            if self.0 >= factor && self.0.is_multiple_of(factor) {
                return write!(f, "{}{unit}", self.0 / factor);
            }
        }
        write!(f, "{}bit/s", self.0)
    }
}

impl FromStr for BitRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_unit(text, &BIT_RATE_UNITS, "a bit rate such as 280Mbit/s").map(Self)
    }
}

/// A rate of requests, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Creates a rate from a whole number of requests a second.
    pub const fn per_second(requests: u64) -> Self {
        Self(requests * MILLI)
    }

    /// Returns how many requests the rate allows in `span`, in thousandths of a request.
    pub fn milli_requests_in(self, span: Duration) -> u64 {
        let milli = u128::from(self.0) * span.as_nanos() / 1_000_000_000;
        u64::try_from(milli).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(MILLI) {
            return write!(f, "{}/s", self.0 / MILLI);
        }
        write!(f, "{}.{:03}/s", self.0 / MILLI, self.0 % MILLI)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let malformed =
            || UnitError::Malformed(text.to_owned(), "a request rate such as 40/s or 2.5/s");
        let number = text.strip_suffix("/s").ok_or_else(malformed)?;
        let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
        let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
        if whole.is_empty() || !digits(whole) || !digits(fraction) || fraction.len() > 3 {
            return Err(malformed());
        }
        let too_large = || UnitError::TooLarge(text.to_owned());
        let whole: u64 = whole.parse().map_err(|_| too_large())?;
        let fraction: u64 = format!("{fraction:0<3}").parse().map_err(|_| malformed())?;
        let milli = whole
            .checked_mul(MILLI)
            .and_then(|m| m.checked_add(fraction));
        milli.map(Self).ok_or_else(too_large)
    }
}

fn parse_unit(text: &str, units: &[(&str, u64)], expected: &'static str) -> Result<u64, UnitError> {
    for &(unit, factor) in units {
        let Some(number) = text.strip_suffix(unit) else {
            continue;
        };
        let number: u64 = number
            .trim_end()
            .parse()
            .map_err(|_| UnitError::Malformed(text.to_owned(), expected))?;
        return number
            .checked_mul(factor)
            .ok_or_else(|| UnitError::TooLarge(text.to_owned()));
    }
    Err(UnitError::Malformed(text.to_owned(), expected))
}

macro_rules! serde_as_text {
    ($($type:ident),*) => {$(
        impl Serialize for $type {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

serde_as_text!(BitRate, RequestRate);
