//! Reading of published sets, by relays and operators.

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
        HeadAt,
        PublishError,
        chunk::Chunks,
        head::{
            ChunkDigest,
            Manifest,
            WriteId, //
        },
        read,
        read_head, //
    },
    store::ObjectStore,
    util::id::Generation,
};

/// What a [`Reader`] found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The first set that it read.
    Whole(Generation, Box<ConfigSet>),
    /// What leads on from the generation that it returned before.
    Delta(Box<Delta>),
}

/// Reads generation after generation and fetches only the chunks that changed.
///
/// It never goes back to an earlier generation, whatever the store answers.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    held: Option<HeadAt>,
    chunks: Chunks,
}

impl Reader {
    /// Returns a reader that holds nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the generation that was read last.
    pub fn generation(&self) -> Option<Generation> {
        self.held.as_ref().map(|held| held.head.generation())
    }

    /// Returns the set that was read last.
    pub fn whole(&self) -> Result<Option<(Generation, ConfigSet)>, PublishError> {
        let Some(held) = &self.held else {
            return Ok(None);
        };
        let set = self.chunks.set(&held.head.manifest)?;
        Ok(Some((held.head.generation(), set)))
    }

    /// Returns the bytes of the chunks held.
    pub fn bytes(&self) -> usize {
        self.chunks.bytes()
    }

    /// Reads the head, and the changed chunks where its generation is a later one.
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
        self.held = Some(new);
        Ok(Some(update))
    }

    async fn fetch<S: ObjectStore>(
        &mut self,
        store: &S,
        digest: &ChunkDigest,
    ) -> Result<(), PublishError> {
        let key = digest.key();
        let object = read(store, &key).await?;
        match object {
            Some(object) if self.chunks.insert(object.value.clone()) == *digest => Ok(()),
            _ => Err(PublishError::ChunkLost(key)),
        }
    }

    fn update(&self, new: &HeadAt) -> Result<Update, PublishError> {
        let Some(held) = &self.held else {
            let set = Box::new(self.chunks.set(&new.head.manifest)?);
            return Ok(Update::Whole(new.head.generation(), set));
        };
        let (old, new) = (&held.head, &new.head);
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
                before.extend(self.chunks.objects(digest)?);
            }
        }
        for (i, digest) in new.iter().enumerate() {
            if !aligned || old[i] != *digest {
                after.extend(self.chunks.objects(digest)?);
            }
        }
        before.sort_by(|a, b| a.id().cmp(b.id()));
        after.sort_by(|a, b| a.id().cmp(b.id()));
        Ok(Edits::between(&before, &after))
    }
}

/// Reads the set in force, or `None` where nothing was published yet; the
/// answer may be stale.
pub async fn load<S: ObjectStore>(
    store: &S,
) -> Result<Option<(Generation, ConfigSet)>, PublishError> {
    match Reader::new().refresh(store).await? {
        Some(Update::Whole(generation, set)) => Ok(Some((generation, *set))),
        _ => Ok(None),
    }
}

/// Reads the set that a manifest names.
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

/// Reads the set that a write published or was going to, or `None` where the
/// store does not have it.
pub async fn load_write<S: ObjectStore>(
    store: &S,
    id: WriteId,
) -> Result<Option<ConfigSet>, PublishError> {
    let key = Manifest::key(id);
    let Some(object) = read(store, &key).await? else {
        return Ok(None);
    };
    let manifest = Manifest::decode(&key, &object.value)?;
    load_manifest(store, &manifest).await.map(Some)
}
