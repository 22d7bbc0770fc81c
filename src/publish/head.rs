//! The head object, which names the current generation and its chunks.

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

/// The key of the head object in the store.
pub const HEAD_KEY: &str = "cardamomroad/head";
/// The number of writes that the head lists, so that an operator who lost the
/// store's answer can still find their write.
const MAX_RECENT_WRITES: usize = 64;

/// The id of one publication, generated at random by the `apply` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(u128);

impl WriteId {
    /// Returns a new random id.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the id with this numeric value.
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

/// The SHA-256 digest of an encoded chunk, under which the chunk is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ChunkDigest([u8; 32]);

impl ChunkDigest {
    /// Computes the digest of an encoded chunk.
    pub fn of(chunk: &[u8]) -> Self {
        Self(Sha256::digest(chunk).into())
    }

    /// Returns the chunk's key in the store.
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

/// The chunks of one kind of objects. The low bits of the hash of an object's
/// name are the index of its chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindChunks {
    /// The kind of the objects in these chunks.
    pub kind: ObjectKind,
    /// The digests of the chunks; their number is a power of two.
    pub chunks: Vec<ChunkDigest>,
}

/// A recent publication, as listed in the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentWrite {
    /// The generation that it published.
    pub generation: Generation,
    /// The write id of the publication.
    pub id: WriteId,
}

/// The list of all chunks of a set. A copy is stored under the id of the write
/// that published it, so that earlier generations can be read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The format version of the objects and chunks.
    pub schema: u32,
    /// The chunks of each kind that has at least one object.
    pub kinds: Vec<KindChunks>,
}

impl Manifest {
    /// Returns a manifest of chunks in the current format, [`SCHEMA`].
    pub fn new(kinds: Vec<KindChunks>) -> Self {
        Self {
            schema: SCHEMA,
            kinds,
        }
    }

    /// Returns the key in the store for the manifest of a write.
    pub fn key(id: WriteId) -> String {
        format!("cardamomroad/set/{id}")
    }

    /// Returns the chunks of a kind, none if the set has no objects of it.
    pub fn chunks(&self, kind: ObjectKind) -> &[ChunkDigest] {
        let found = self.kinds.iter().find(|k| k.kind == kind);
        found.map_or(&[], |k| &k.chunks)
    }

    /// Returns the chunks of all kinds.
    pub fn all_chunks(&self) -> impl Iterator<Item = &ChunkDigest> {
        self.kinds.iter().flat_map(|k| &k.chunks)
    }

    /// Encodes the manifest for the store.
    pub fn encode(&self) -> Result<Bytes, PublishError> {
        let bytes = rmp_serde::to_vec(self);
        let bytes = bytes.map_err(|e| PublishError::malformed("cardamomroad/set", &e))?;
        Ok(bytes.into())
    }

    /// Decodes a manifest that was stored under `key`.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Self, PublishError> {
        let manifest = rmp_serde::from_slice::<Self>(bytes);
        manifest
            .map_err(|e| PublishError::malformed(key, &e))?
            .check_schema()
    }

    fn check_schema(self) -> Result<Self, PublishError> {
        if self.schema != SCHEMA {
            return Err(PublishError::Schema(self.schema));
        }
        Ok(self)
    }
}

/// The content of the head object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The chunks of the current set.
    pub manifest: Manifest,
    /// The last writes, newest first; the first one published the current generation.
    pub recent: Vec<RecentWrite>,
}

impl Head {
    /// Returns the head that follows `base`, or the first head if there is none.
    pub fn new(base: Option<&Self>, id: WriteId, manifest: Manifest) -> Self {
        let generation = base.map_or(Generation(0), Self::generation);
        let write = RecentWrite {
            generation: Generation(generation.0 + 1),
            id,
        };
        let earlier = base.map_or(&[][..], |base| &base.recent);
        let recent = std::iter::once(write).chain(earlier.iter().copied());
        Self {
            manifest,
            recent: recent.take(MAX_RECENT_WRITES).collect(),
        }
    }

    /// Returns the current generation.
    pub fn generation(&self) -> Generation {
        self.recent.first().map_or(Generation(0), |w| w.generation)
    }

    /// Returns the generation that a write published, if the head still lists it.
    pub fn generation_of(&self, id: WriteId) -> Option<Generation> {
        let write = self.recent.iter().find(|write| write.id == id);
        write.map(|write| write.generation)
    }

    /// Returns the write that published a generation, if the head still lists it.
    pub fn write_of(&self, generation: Generation) -> Option<WriteId> {
        let write = self.recent.iter().find(|w| w.generation == generation);
        write.map(|write| write.id)
    }

    /// Encodes the head for the store.
    pub fn encode(&self) -> Result<Bytes, PublishError> {
        let bytes = rmp_serde::to_vec(self);
        let bytes = bytes.map_err(|e| PublishError::malformed(HEAD_KEY, &e))?;
        Ok(bytes.into())
    }

    /// Decodes the head from its value in the store.
    pub fn decode(bytes: &[u8]) -> Result<Self, PublishError> {
        let head = rmp_serde::from_slice::<Self>(bytes);
        let head = head.map_err(|e| PublishError::malformed(HEAD_KEY, &e))?;
        Ok(Self {
            manifest: head.manifest.check_schema()?,
            ..head
        })
    }
}
