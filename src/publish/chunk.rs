//! Splits a set into the chunks in which it is stored, and reassembles it.

use std::collections::HashMap;

use bytes::Bytes;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::{
        kind::{
            ConfigObject,
            for_each_kind, //
        },
        object::*,
    },
    publish::{
        PublishError,
        head::{
            ChunkDigest,
            KindChunks,
            Manifest, //
        },
    },
};

/// The mean chunk size of a kind above which its number of chunks grows.
const MEAN_CHUNK_BYTES: usize = 32 << 10;
/// The maximum number of chunks of a kind, which keeps the head well below the
/// store's size limit.
const MAX_CHUNKS_PER_KIND: usize = 4096;
/// The maximum size of an encoded chunk.
pub const CHUNK_MAX_BYTES: usize = 512 << 10;

/// Encoded chunks, indexed by their digest.
#[derive(Clone, Debug, Default)]
pub struct Chunks(HashMap<ChunkDigest, Bytes>);

impl Chunks {
    /// Adds an encoded chunk and returns its digest.
    pub fn insert(&mut self, chunk: Bytes) -> ChunkDigest {
        let digest = ChunkDigest::of(&chunk);
        self.0.insert(digest, chunk);
        digest
    }

    /// Returns the encoded chunk with this digest, if it is held.
    pub fn get(&self, digest: &ChunkDigest) -> Option<&Bytes> {
        self.0.get(digest)
    }

    /// Drops all chunks that a manifest does not list.
    pub fn retain(&mut self, manifest: &Manifest) {
        let mut kept = HashMap::with_capacity(self.0.len());
        for digest in manifest.all_chunks() {
            if let Some(chunk) = self.0.remove(digest) {
                kept.insert(*digest, chunk);
            }
        }
        self.0 = kept;
    }

    /// Returns the total size of the chunks.
    pub fn bytes(&self) -> usize {
        self.0.values().map(Bytes::len).sum()
    }

    /// Decodes the objects of a chunk.
    pub fn decode_objects<T: ConfigObject>(
        &self,
        digest: &ChunkDigest,
    ) -> Result<Vec<T>, PublishError> {
        let Some(chunk) = self.0.get(digest) else {
            return Err(PublishError::ChunkLost(digest.key()));
        };
        rmp_serde::from_slice(chunk).map_err(|e| PublishError::malformed(&digest.key(), &e))
    }

    /// Decodes the set whose chunks a manifest lists.
    pub fn set(&self, manifest: &Manifest) -> Result<ConfigSet, PublishError> {
        let mut set = ConfigSet {
            schema: manifest.schema,
            ..ConfigSet::default()
        };
        macro_rules! read {
            ($($field:ident: $type:ident),*) => {$(
                for digest in manifest.chunks($type::KIND) {
                    set.$field.extend(self.decode_objects::<$type>(digest)?);
                }
            )*};
        }
        for_each_kind!(read);
        set.sort();
        Ok(set)
    }
}

/// Splits a set into chunks. `base` is the manifest of the current generation;
/// its number of chunks is kept where it still fits.
pub fn split_into_chunks(
    set: &ConfigSet,
    base: Option<&Manifest>,
) -> Result<(Manifest, Chunks), PublishError> {
    let mut chunks = Chunks::default();
    let mut kinds = Vec::new();
    macro_rules! split_into_chunks {
        ($($field:ident: $type:ident),*) => {$(
            if !set.$field.is_empty() {
                let previous_count = base.map_or(0, |base| base.chunks($type::KIND).len());
                kinds.push(KindChunks {
                    kind: $type::KIND,
                    chunks: split_kind(&set.$field, previous_count, &mut chunks)?,
                });
            }
        )*};
    }
    for_each_kind!(split_into_chunks);
    Ok((Manifest::new(kinds), chunks))
}

fn split_kind<T: ConfigObject>(
    objects: &[T],
    previous_count: usize,
    chunks: &mut Chunks,
) -> Result<Vec<ChunkDigest>, PublishError> {
    let encoded = encode(objects)?;
    let count = chunk_count(encoded.len(), previous_count);
    let mut buckets = vec![Vec::new(); count];
    for object in objects {
        let hash = xxh3_64(object.id().to_string().as_bytes());
        buckets[hash as usize & (count - 1)].push(object);
    }
    let mut digests = Vec::with_capacity(count);
    for mut bucket in buckets {
        bucket.sort_by(|a, b| a.id().cmp(b.id()));
        let chunk = encode(&bucket)?;
        let bytes = chunk.len();
        let digest = chunks.insert(chunk.into());
        if bytes > CHUNK_MAX_BYTES {
            return Err(PublishError::TooLarge {
                key: digest.key(),
                bytes,
                max_bytes: CHUNK_MAX_BYTES,
            });
        }
        digests.push(digest);
    }
    Ok(digests)
}

fn encode<T: Serialize>(objects: &[T]) -> Result<Vec<u8>, PublishError> {
    rmp_serde::to_vec(objects).map_err(|e| PublishError::malformed("cardamomroad/chunk", &e))
}

/// Returns the number of chunks of a kind, a power of two. The previous number
/// is kept while it is within a factor of two of the target, because a new
/// number changes every chunk.
fn chunk_count(bytes: usize, previous_count: usize) -> usize {
    let target_count = bytes.div_ceil(MEAN_CHUNK_BYTES).next_power_of_two();
    let target_count = target_count.min(MAX_CHUNKS_PER_KIND);
    if previous_count.is_power_of_two()
        && previous_count <= 2 * target_count
        && target_count <= 2 * previous_count
    {
        return previous_count;
    }
    target_count
}
