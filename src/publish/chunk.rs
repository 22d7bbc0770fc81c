//! The parts that a set is published in.

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

/// The mean size of a kind's chunks above which it gets more of them.
const MEAN_CHUNK_BYTES: usize = 32 << 10;
/// The most chunks of a kind, so that the head stays far under the store's limit.
const CHUNKS_MAX: usize = 4096;
/// The largest chunk.
pub const CHUNK_MAX_BYTES: usize = 512 << 10;

/// Chunks by their digest.
#[derive(Clone, Debug, Default)]
pub struct Chunks(HashMap<ChunkDigest, Bytes>);

impl Chunks {
    /// Adds a chunk.
    pub fn insert(&mut self, chunk: Bytes) -> ChunkDigest {
        let digest = ChunkDigest::of(&chunk);
        self.0.insert(digest, chunk);
        digest
    }

    /// Returns a chunk.
    pub fn get(&self, digest: &ChunkDigest) -> Option<&Bytes> {
        self.0.get(digest)
    }

    /// Drops all chunks that a manifest does not name.
    pub fn retain(&mut self, manifest: &Manifest) {
        let mut kept = HashMap::with_capacity(self.0.len());
        for digest in manifest.all_chunks() {
            if let Some(chunk) = self.0.remove(digest) {
                kept.insert(*digest, chunk);
            }
        }
        self.0 = kept;
    }

    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.0.values().map(Bytes::len).sum()
    }

    /// Reads the objects of a chunk.
    pub fn objects<T: ConfigObject>(&self, digest: &ChunkDigest) -> Result<Vec<T>, PublishError> {
        let Some(chunk) = self.0.get(digest) else {
            return Err(PublishError::ChunkLost(digest.key()));
        };
        rmp_serde::from_slice(chunk).map_err(|e| PublishError::malformed(&digest.key(), &e))
    }

    /// Reads all objects that a manifest names.
    pub fn set(&self, manifest: &Manifest) -> Result<ConfigSet, PublishError> {
        let mut set = ConfigSet {
            schema: manifest.schema,
            ..ConfigSet::default()
        };
        macro_rules! read {
            ($($field:ident: $type:ident),*) => {$(
                for digest in manifest.chunks($type::KIND) {
                    set.$field.extend(self.objects::<$type>(digest)?);
                }
            )*};
        }
        for_each_kind!(read);
        set.sort();
        Ok(set)
    }
}

/// Cuts a set into chunks.
pub fn cut(set: &ConfigSet, base: Option<&Manifest>) -> Result<(Manifest, Chunks), PublishError> {
    let mut chunks = Chunks::default();
    let mut kinds = Vec::new();
    macro_rules! cut {
        ($($field:ident: $type:ident),*) => {$(
            if !set.$field.is_empty() {
                let held = base.map_or(0, |base| base.chunks($type::KIND).len());
                kinds.push(KindChunks {
                    kind: $type::KIND,
                    chunks: cut_kind(&set.$field, held, &mut chunks)?,
                });
            }
        )*};
    }
    for_each_kind!(cut);
    Ok((Manifest::new(kinds), chunks))
}

fn cut_kind<T: ConfigObject>(
    objects: &[T],
    held: usize,
    chunks: &mut Chunks,
) -> Result<Vec<ChunkDigest>, PublishError> {
    let whole = encode(objects)?;
    let count = chunk_count(whole.len(), held);
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
                most: CHUNK_MAX_BYTES,
            });
        }
        digests.push(digest);
    }
    Ok(digests)
}

fn encode<T: Serialize>(objects: &[T]) -> Result<Vec<u8>, PublishError> {
    rmp_serde::to_vec(objects).map_err(|e| PublishError::malformed("cardamomroad/chunk", &e))
}

/// Returns the number of chunks of a kind, a power of two. The number held
/// stays until it is far off, because another number changes every chunk.
fn chunk_count(bytes: usize, held: usize) -> usize {
    let fitting = bytes.div_ceil(MEAN_CHUNK_BYTES).next_power_of_two();
    let fitting = fitting.min(CHUNKS_MAX);
    if held.is_power_of_two() && held <= 2 * fitting && fitting <= 2 * held {
        return held;
    }
    fitting
}
