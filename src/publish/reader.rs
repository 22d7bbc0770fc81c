//! Reads published sets from the store, for relays and operators.

use crate::{
    config::{
        diff::{
            Changes,
            Delta,
            Edits, //
        },
        kind::{
            ConfigObject,
            for_each_kind, //
        },
        object::*,
    },
    publish::{
        PublishError,
        VersionedHead,
        chunk::Chunks,
        head::{
            ChunkDigest,
            Manifest,
            WriteId, //
        },
        read_head, //
        read_object,
    },
    store::ObjectStore,
    util::id::Generation,
};

/// A new generation that a [`Reader`] found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The first set that the reader loaded, with its generation.
    Full(Generation, Box<ConfigSet>),
    /// The changes since the generation that the reader returned before.
    Delta(Box<Delta>),
}

/// Follows the published generations and fetches only the chunks that changed.
///
/// A stale answer never makes it return to an earlier generation.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    current: Option<VersionedHead>,
    chunks: Chunks,
}

impl Reader {
    /// Returns a reader that has not loaded a set yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the generation that was loaded last.
    pub fn generation(&self) -> Option<Generation> {
        self.current
            .as_ref()
            .map(|current| current.head.generation())
    }

    /// Decodes the set that was loaded last.
    pub fn current_set(&self) -> Result<Option<(Generation, ConfigSet)>, PublishError> {
        let Some(current) = &self.current else {
            return Ok(None);
        };
        let set = self.chunks.set(&current.head.manifest)?;
        Ok(Some((current.head.generation(), set)))
    }

    /// Returns the total size of the cached chunks.
    pub fn bytes(&self) -> usize {
        self.chunks.bytes()
    }

    /// Reads the head and, if its generation is newer, fetches the changed chunks.
    /// Returns `None` if there is no newer generation.
    pub async fn refresh<S: ObjectStore>(
        &mut self,
        store: &S,
    ) -> Result<Option<Update>, PublishError> {
        let Some(new) = read_head(store).await? else {
            return Ok(None);
        };
        if Some(new.head.generation()) <= self.generation() {
            return Ok(None);
        }
        for digest in new.head.manifest.all_chunks() {
            if self.chunks.get(digest).is_none() {
                self.fetch(store, digest).await?;
            }
        }
        let update = self.update(&new)?;
        self.chunks.retain(&new.head.manifest);
        self.current = Some(new);
        Ok(Some(update))
    }

    async fn fetch<S: ObjectStore>(
        &mut self,
        store: &S,
        digest: &ChunkDigest,
    ) -> Result<(), PublishError> {
        let key = digest.key();
        let object = read_object(store, &key).await?;
        match object {
            Some(object) if self.chunks.insert(object.value.clone()) == *digest => Ok(()),
            _ => Err(PublishError::ChunkLost(key)),
        }
    }

    fn update(&self, new: &VersionedHead) -> Result<Update, PublishError> {
        let Some(current) = &self.current else {
            let set = Box::new(self.chunks.set(&new.head.manifest)?);
            return Ok(Update::Full(new.head.generation(), set));
        };
        let (old, new) = (&current.head, &new.head);
        let mut changes = Changes::default();
        macro_rules! compare {
            ($($field:ident: $type:ident),*) => {$(
                changes.$field = self.edits::<$type>(&old.manifest, &new.manifest)?;
            )*};
        }
        for_each_kind!(compare);
        Ok(Update::Delta(Box::new(Delta {
            from: old.generation(),
            to: new.generation(),
            changes,
        })))
    }

    fn edits<T: ConfigObject>(
        &self,
        old: &Manifest,
        new: &Manifest,
    ) -> Result<Edits<T>, PublishError> {
        let (old, new) = (old.chunks(T::KIND), new.chunks(T::KIND));
        let aligned = old.len() == new.len();
        let mut before = Vec::<T>::new();
        let mut after = Vec::<T>::new();
        for (i, digest) in old.iter().enumerate() {
            if !aligned || new[i] != *digest {
                before.extend(self.chunks.decode_objects(digest)?);
            }
        }
        for (i, digest) in new.iter().enumerate() {
            if !aligned || old[i] != *digest {
                after.extend(self.chunks.decode_objects(digest)?);
            }
        }
        before.sort_by(|a, b| a.id().cmp(b.id()));
        after.sort_by(|a, b| a.id().cmp(b.id()));
        Ok(Edits::between(&before, &after))
    }
}

/// Reads the current set, or `None` if nothing was published yet; the result
/// may be stale.
pub async fn load_set<S: ObjectStore>(
    store: &S,
) -> Result<Option<(Generation, ConfigSet)>, PublishError> {
    match Reader::new().refresh(store).await? {
        Some(Update::Full(generation, set)) => Ok(Some((generation, *set))),
        _ => Ok(None),
    }
}

/// Reads the set whose chunks a manifest lists.
pub async fn load_manifest<S: ObjectStore>(
    store: &S,
    manifest: &Manifest,
) -> Result<ConfigSet, PublishError> {
    let mut reader = Reader::new();
    for digest in manifest.all_chunks() {
        reader.fetch(store, digest).await?;
    }
    reader.chunks.set(manifest)
}

/// Reads the set of a write, or `None` if the store does not have it. The
/// manifest is stored before the head, so the write need not have taken effect.
pub async fn load_set_of_write<S: ObjectStore>(
    store: &S,
    id: WriteId,
) -> Result<Option<ConfigSet>, PublishError> {
    let key = Manifest::key(id);
    let Some(object) = read_object(store, &key).await? else {
        return Ok(None);
    };
    let manifest = Manifest::decode(&key, &object.value)?;
    load_manifest(store, &manifest).await.map(Some)
}
