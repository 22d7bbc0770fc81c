//! The head object, which names the generation in force and its chunks.

use std::{
    fmt,
    str::FromStr, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer, //
};
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    config::{
        kind::ObjectKind,
        object::SCHEMA, //
    },
    publish::PublishError,
    util::id::{
        Generation,
        IdError, //
    },
};

/// The key of the head object.
pub const HEAD_KEY: &str = "cardamomroad/head";
/// The writes that the head remembers, so that an operator whose answer was
/// lost still finds their own.
const RECENT_WRITES: usize = 64;

/// The id of one publication, chosen at random by the operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(u128);

impl WriteId {
    /// Returns a fresh id.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the id of a number.
    pub const fn new(id: u128) -> Self {
        Self(id)
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for WriteId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let id = u128::from_str_radix(text, 16);
        id.map(Self)
            .map_err(|_| IdError::Malformed(text.to_owned(), "a write id of 32 hex digits"))
    }
}

/// The SHA-256 digest of a chunk, which is also its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChunkDigest([u8; 32]);

impl ChunkDigest {
    /// Returns the digest of a chunk.
    pub fn of(chunk: &[u8]) -> Self {
        Self(Sha256::digest(chunk).into())
    }

    /// Returns the key of the chunk's object.
    pub fn key(&self) -> String {
        format!("cardamomroad/chunk/{self}")
    }
}

impl fmt::Display for ChunkDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for b in self.0 {
            write!(f, "{b:02x}")?;
        }
        Ok(())
    }
}

impl Serialize for ChunkDigest {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for ChunkDigest {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let bytes = Bytes::deserialize(d)?;
        let digest = bytes.as_ref().try_into();
        digest.map(Self).map_err(serde::de::Error::custom)
    }
}

/// The chunks of one kind of objects. An object stands in the chunk that the
/// low bits of its name's hash number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindChunks {
    /// The kind.
    pub kind: ObjectKind,
    /// The chunks, as many as a power of two.
    pub chunks: Vec<ChunkDigest>,
}

/// A publication that the head remembers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The generation that it led to.
    pub generation: Generation,
    /// Its id.
    pub id: WriteId,
}

/// The chunks of a whole set. It is kept under the id of the write that
/// published it, so that earlier generations can be read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version of the format of objects and chunks.
    pub schema: u32,
    /// The chunks of each kind that has objects.
    pub kinds: Vec<KindChunks>,
}

impl Manifest {
    /// Returns the manifest of chunks of this build's format.
    pub fn new(kinds: Vec<KindChunks>) -> Self {
        Self {
            schema: SCHEMA,
            kinds,
        }
    }

    /// Returns the key that the manifest of a write is kept under.
    pub fn key(id: WriteId) -> String {
        format!("cardamomroad/set/{id}")
    }

    /// Returns the chunks of a kind.
    pub fn chunks(&self, kind: ObjectKind) -> &[ChunkDigest] {
        let found = self.kinds.iter().find(|k| k.kind == kind);
        found.map_or(&[], |k| &k.chunks)
    }

    /// Returns the chunks of all kinds.
    pub fn all_chunks(&self) -> impl Iterator<Item = &ChunkDigest> {
        self.kinds.iter().flat_map(|k| &k.chunks)
    }

    /// Returns the manifest's value in the store.
    pub fn encode(&self) -> Result<Bytes, PublishError> {
        let bytes = rmp_serde::to_vec(self);
        let bytes = bytes.map_err(|e| PublishError::malformed("cardamomroad/set", &e))?;
        Ok(bytes.into())
    }

    /// Reads a manifest's value.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self, PublishError> {
        let manifest = rmp_serde::from_slice::<Self>(bytes);
        manifest
            .map_err(|e| PublishError::malformed(key, &e))?
            .checked()
    }

    fn checked(self) -> Result<Self, PublishError> {
        if self.schema != SCHEMA {
            return Err(PublishError::Schema(self.schema));
        }
        Ok(self)
    }
}

/// The head object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The set in force.
    pub manifest: Manifest,
    /// The last writes, newest first; the first one is this generation's own.
    pub recent: Vec<Write>,
}

impl Head {
    /// Returns the head that follows another, or the first one.
    pub fn new(base: Option<&Self>, id: WriteId, manifest: Manifest) -> Self {
        let generation = base.map_or(Generation(0), Self::generation);
        let write = Write {
            generation: Generation(generation.0 + 1),
            id,
        };
        let earlier = base.map_or(&[][..], |base| &base.recent);
        let recent = std::iter::once(write).chain(earlier.iter().copied());
        Self {
            manifest,
            recent: recent.take(RECENT_WRITES).collect(),
        }
    }

    /// Returns the generation in force.
    pub fn generation(&self) -> Generation {
        self.recent.first().map_or(Generation(0), |w| w.generation)
    }

    /// Returns the generation that a write led to, where the head remembers it.
    pub fn generation_of(&self, id: WriteId) -> Option<Generation> {
        let write = self.recent.iter().find(|write| write.id == id);
        write.map(|write| write.generation)
    }

    /// Returns the write that led to a generation, where the head remembers it.
    pub fn write_of(&self, generation: Generation) -> Option<WriteId> {
        let write = self.recent.iter().find(|w| w.generation == generation);
        write.map(|write| write.id)
    }

    /// Returns the head's value in the store.
    pub fn encode(&self) -> Result<Bytes, PublishError> {
        let bytes = rmp_serde::to_vec(self);
        let bytes = bytes.map_err(|e| PublishError::malformed(HEAD_KEY, &e))?;
        Ok(bytes.into())
    }

    /// Reads the head's value.
    pub fn decode(bytes: &[u8]) -> Result<Self, PublishError> {
        let head = rmp_serde::from_slice::<Self>(bytes);
        let head = head.map_err(|e| PublishError::malformed(HEAD_KEY, &e))?;
        Ok(Self {
            manifest: head.manifest.checked()?,
            ..head
        })
    }
}
