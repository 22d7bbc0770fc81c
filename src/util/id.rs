//! Newtypes for names and ids.
//!
//! Names are stored as [`Bytes`], which are cheap to clone. Names of the project's own configuration
//! are restricted to [`NAME_MAX_BYTES`] bytes of `a-z`, `0-9`, `-` and `.`. Names that a platform
//! has given need only be suitable as the value of a header, see `from_external`.

use std::{
    cell::RefCell,
    collections::HashSet,
    fmt,
    str::FromStr, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::Visitor, //
};
use sha2::{
    Digest,
    Sha256, //
};
use thiserror::Error;

/// The longest name that the configuration accepts, in bytes.
pub const NAME_MAX_BYTES: usize = 63;
/// The longest name that is accepted from a platform, in bytes.
pub const EXTERNAL_NAME_MAX_BYTES: usize = 1024;

/// A failure to parse a name, an id or a digest.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum IdError {
    /// The name is empty or longer than [`NAME_MAX_BYTES`].
    #[error("name {0:?} has {1} bytes; use 1 to {NAME_MAX_BYTES}")]
    Length(String, usize),
    /// The name contains a byte outside `a-z`, `0-9`, `-` and `.`, or starts with a
    /// hyphen or a dot.
    #[error("name {0:?} may hold only a-z, 0-9, '-' and '.', and starts with a letter or digit")]
    Character(String),
    /// The name of a platform is not suitable as the value of a header.
    #[error(
        "name {0:?} must have 1 to {EXTERNAL_NAME_MAX_BYTES} bytes, without control characters and \
         without spaces at its ends"
    )]
    External(String),
    /// The text does not parse as the kind of id that the second field describes.
    #[error("{0:?} is not {1}")]
    Malformed(String, &'static str),
}

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > NAME_MAX_BYTES {
        return Err(IdError::Length(text.to_owned(), text.len()));
    }
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let first = text.as_bytes()[0];
    if !text.bytes().all(allowed) || !(first.is_ascii_lowercase() || first.is_ascii_digit()) {
        return Err(IdError::Character(text.to_owned()));
    }
    Ok(())
}

fn check_external_name(text: &str) -> Result<(), IdError> {
    let is_valid = !text.is_empty()
        && text.len() <= EXTERNAL_NAME_MAX_BYTES
        && text.trim() == text
        && !text.chars().any(char::is_control);
    match is_valid {
        true => Ok(()),
        false => Err(IdError::External(text.to_owned())),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type(Bytes);

        impl $type {
            /// Accepts a name that a platform has given.
            ///
            /// # Errors
            ///
            /// Fails if the name is empty, longer than [`EXTERNAL_NAME_MAX_BYTES`], has a control
            /// character, or begins or ends with a space.
            pub fn from_external(text: &str) -> Result<Self, IdError> {
                check_external_name(text)?;
                Ok(Self(Bytes::copy_from_slice(text.as_bytes())))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                std::str::from_utf8(&self.0).unwrap_or_default()
            }
        }

        impl FromStr for $type {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(Bytes::copy_from_slice(text.as_bytes())))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.as_str())
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($type), self.as_str())
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(self.as_str())
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                // Text formats hold the project's own configuration. Binary ones are used between
                // hosts, which pass on names of the platform too.
                let check = match d.is_human_readable() {
                    true => check_name,
                    false => check_external_name,
                };
                d.deserialize_str(NameVisitor { check }).map(Self)
            }
        }
    };
}

/// Deserialises a name. Equal names share one buffer while the thread's cache holds it.
struct NameVisitor {
    check: fn(&str) -> Result<(), IdError>,
}

impl Visitor<'_> for NameVisitor {
    type Value = Bytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Bytes, E> {
        (self.check)(text).map_err(E::custom)?;
        INTERNED_NAMES.with_borrow_mut(|names| {
            if let Some(name) = names.get(text.as_bytes()) {
                return Ok(name.clone());
            }
            if names.len() >= INTERNED_NAMES_MAX {
                names.clear();
            }
            let name = Bytes::copy_from_slice(text.as_bytes());
            names.insert(name.clone());
            Ok(name)
        })
    }
}

/// Maximum names in a thread's cache; the cache is cleared when it is full.
const INTERNED_NAMES_MAX: usize = 1024;

thread_local! {
    static INTERNED_NAMES: RefCell<HashSet<Bytes>> = RefCell::default();
}

name!(
    /// The name of a region.
    RegionName
);
name!(
    /// The name of an availability zone.
    ZoneName
);
name!(
    /// The name of an entry host, unique over all zones.
    HostName
);
name!(
    /// The name of an organisation.
    OrganisationName
);
name!(
    /// The name of a service.
    ServiceName
);
name!(
    /// The id of one run of an upstream's process; a restart gets a new one.
    UpstreamId
);
name!(
    /// The name of any other configured object: route, link, key, pool, drain, client block.
    ObjectName
);

macro_rules! number {
    ($(#[$doc:meta])* $type:ident, $expected:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl FromStr for $type {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse()
                    .map(Self)
                    .map_err(|_| IdError::Malformed(text.to_owned(), $expected))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

number!(
    /// The number of an accepted configuration; later ones have larger numbers.
    Generation,
    "a generation number"
);
number!(
    /// The number of one run of an entry host's process; later runs have larger numbers.
    Incarnation,
    "an incarnation number"
);
number!(
    /// The time since an entry host's process started, in units of [`STAMP_TICK`].
    ///
    /// Stamps of different hosts or incarnations are never compared.
    Stamp,
    "a stamp"
);
number!(
    /// The version of an object in the platform's store; each write increases it.
    Version,
    "a store version"
);

/// The duration of one [`Stamp`] tick.
pub const STAMP_TICK: std::time::Duration = std::time::Duration::from_secs(1);

/// The SHA-256 digest of a caller's key. The key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key in the form that callers send.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Creates a digest from its raw bytes.
    pub const fn from_bytes(digest: [u8; 32]) -> Self {
        Self(digest)
    }

    /// Returns the raw bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for b in self.0 {
            write!(f, "{b:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed = || IdError::Malformed(text.to_owned(), "a SHA-256 digest of 64 hex digits");
        if text.len() != 64 || !text.is_ascii() {
            return Err(malformed());
        }
        let mut digest = [0; 32];
        for (i, b) in digest.iter_mut().enumerate() {
            *b = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| malformed())?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The id of a request: the host and incarnation that may run it, that host's
/// stamp when it answered the caller's look-up, and a nonce chosen by the caller.
///
/// Written `host/incarnation/stamp/nonce`, for example `bac-a-1/1718/42/9f3c`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The only host that may run the request.
    pub host: HostName,
    /// The only incarnation of that host that may run it.
    pub incarnation: Incarnation,
    /// The stamp of that host in the look-up answer.
    pub stamp: Stamp,
    /// A nonce chosen by the caller to distinguish its requests.
    pub nonce: ObjectName,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}/{}",
            self.host, self.incarnation, self.stamp, self.nonce
        )
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let malformed =
            || IdError::Malformed(text.to_owned(), "a request id host/incarnation/stamp/nonce");
        let mut parts = text.split('/');
        let mut next = || parts.next().ok_or_else(malformed);
        let id = Self {
            host: next()?.parse()?,
            incarnation: next()?.parse()?,
            stamp: next()?.parse()?,
            nonce: next()?.parse()?,
        };
        if parts.next().is_some() {
            return Err(malformed());
        }
        Ok(id)
    }
}
