//! Publication of a set as the next generation.

use std::collections::HashSet;

use bytes::Bytes;

use crate::{
    config::{
        check::check,
        difference::{
            Difference,
            differences, //
        },
        object::ConfigSet, //
    },
    error::StoreError,
    publish::{
        HeadAt,
        Pauses,
        PublishError,
        chunk::{
            Chunks,
            cut, //
        },
        head::{
            HEAD_KEY,
            Head,
            Manifest,
            WriteId, //
        },
        read_head,
        read_since,
        reader::{
            load_manifest,
            load_write, //
        }, //
    },
    store::{
        Condition,
        ObjectStore, //
    },
    util::id::{
        Generation,
        Version, //
    },
};

/// How a set is to be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The id of the write; a repetition with the same id publishes at most once.
    pub id: WriteId,
    /// The generation that must be in force before, where the operator named one.
    pub expected: Option<Generation>,
}

impl Default for Publication {
    fn default() -> Self {
        Self::new(WriteId::random())
    }
}

impl Publication {
    /// Returns a publication on top of whatever is in force.
    pub const fn new(id: WriteId) -> Self {
        Self { id, expected: None }
    }

    /// Demands that a generation is in force before.
    pub const fn with_expected(mut self, expected: Generation) -> Self {
        self.expected = Some(expected);
        self
    }
}

/// A publication that took effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The generation that it led to.
    pub generation: Generation,
    /// The chunks that were new.
    pub chunks: usize,
    /// The bytes of these chunks.
    pub chunk_bytes: usize,
    /// The bytes of the head.
    pub head_bytes: usize,
    /// Whether this was found by reading back, because an answer was lost.
    pub read_back: bool,
}

/// Checks a set as a whole and publishes it as the next generation.
pub async fn apply<S: ObjectStore>(
    store: &S,
    mut set: ConfigSet,
    publication: Publication,
) -> Result<Applied, PublishError> {
    check(&set).map_err(PublishError::Faulty)?;
    set.sort();
    let base = read_base(store, publication.expected).await?;
    let published = base
        .as_ref()
        .and_then(|b| b.head.generation_of(publication.id));
    if let Some(generation) = published {
        check_same(store, publication.id, &set).await?;
        return Ok(Applied {
            generation,
            read_back: true,
            ..Applied::default()
        });
    }
    check_expected(store, base.as_ref(), publication).await?;
    let manifest = base.as_ref().map(|base| &base.head.manifest);
    let (manifest, chunks) = cut(&set, manifest)?;
    let mut applied = write_chunks(store, base.as_ref(), &manifest, &chunks).await?;
    write_manifest(store, publication.id, &manifest, &set).await?;
    let head = Head::new(base.as_ref().map(|b| &b.head), publication.id, manifest);
    let value = head.encode()?;
    applied.generation = head.generation();
    applied.head_bytes = value.len();
    let moving = Move {
        store,
        id: publication.id,
        base,
        value,
    };
    if let Some(generation) = moving.run().await? {
        applied.generation = generation;
        applied.read_back = true;
    }
    Ok(applied)
}

/// Reads the head, again where it is stale: older than what the operator has seen.
async fn read_base<S: ObjectStore>(
    store: &S,
    seen: Option<Generation>,
) -> Result<Option<HeadAt>, PublishError> {
    let mut pauses = Pauses::default();
    loop {
        let base = read_head(store).await?;
        let generation = base.as_ref().map(|base| base.head.generation());
        if generation.unwrap_or_default() >= seen.unwrap_or_default() || !pauses.wait().await {
            return Ok(base);
        }
    }
}

/// Returns an error where another generation is in force than the operator named.
async fn check_expected<S: ObjectStore>(
    store: &S,
    base: Option<&HeadAt>,
    publication: Publication,
) -> Result<(), PublishError> {
    let Some(expected) = publication.expected else {
        return Ok(());
    };
    let now = base.map_or(Generation(0), |base| base.head.generation());
    if now == expected {
        return Ok(());
    }
    let changes = match base {
        Some(base) => changes_since(store, expected, &base.head).await,
        None => None,
    };
    Err(PublishError::Conflict {
        expected,
        now,
        changes,
    })
}

/// Returns what changed after a generation, where the store still tells.
async fn changes_since<S: ObjectStore>(
    store: &S,
    generation: Generation,
    now: &Head,
) -> Option<Vec<Difference>> {
    let old = if generation == Generation(0) {
        ConfigSet::default()
    } else {
        let id = now.write_of(generation)?;
        load_write(store, id).await.ok()??
    };
    let new = load_manifest(store, &now.manifest).await.ok()?;
    Some(differences(&old, &new))
}

/// Returns an error where a write id was for another set than this one.
async fn check_same<S: ObjectStore>(
    store: &S,
    id: WriteId,
    set: &ConfigSet,
) -> Result<(), PublishError> {
    match load_write(store, id).await? {
        Some(published) if published != *set => Err(PublishError::WriteIdReused(id)),
        _ => Ok(()),
    }
}

/// Keeps the manifest under the write's id.
async fn write_manifest<S: ObjectStore>(
    store: &S,
    id: WriteId,
    manifest: &Manifest,
    set: &ConfigSet,
) -> Result<(), PublishError> {
    let value = manifest.encode()?;
    if write_once(store, &Manifest::key(id), &value).await? {
        return Ok(());
    }
    check_same(store, id, set).await
}

/// Writes the chunks that the base does not have yet.
async fn write_chunks<S: ObjectStore>(
    store: &S,
    base: Option<&HeadAt>,
    manifest: &Manifest,
    chunks: &Chunks,
) -> Result<Applied, PublishError> {
    let mut applied = Applied::default();
    let held: HashSet<_> = base
        .iter()
        .flat_map(|b| b.head.manifest.all_chunks())
        .collect();
    for digest in manifest.all_chunks() {
        let Some(chunk) = chunks.get(digest) else {
            continue;
        };
        if held.contains(digest) {
            continue;
        }
        write_once(store, &digest.key(), chunk).await?;
        applied.chunks += 1;
        applied.chunk_bytes += chunk.len();
    }
    Ok(applied)
}

/// Writes an object that never changes; returns `false` where it exists already.
async fn write_once<S: ObjectStore>(
    store: &S,
    key: &str,
    value: &Bytes,
) -> Result<bool, StoreError> {
    let mut pauses = Pauses::default();
    loop {
        match store.put(key, value.clone(), Condition::Absent).await {
            Ok(_) => return Ok(true),
            Err(StoreError::Conflict { .. }) => return Ok(false),
            Err(e) if !pauses.wait().await => return Err(e),
            Err(_) => (),
        }
    }
}

/// The conditional update of the head.
struct Move<'a, S> {
    store: &'a S,
    id: WriteId,
    base: Option<HeadAt>,
    value: Bytes,
}

/// What the head tells about a write whose condition did not hold.
enum Found {
    /// The head holds this write, which led to this generation.
    Own(Generation),
    /// The same generation is in force as before, at another version.
    Touched(Version),
    /// Another write led on from the base.
    Other(Head),
    /// The head was read too old, or remembers too little, to tell.
    Undecided,
}

impl<S: ObjectStore> Move<'_, S> {
    /// Moves the head. Where that was found only by reading back, returns the
    /// generation that the head tells.
    ///
    /// A try without an answer is repeated under the same condition. Once the
    /// store answers that the condition does not hold, no earlier try can take
    /// effect any more, and the head tells whether one did.
    async fn run(self) -> Result<Option<Generation>, PublishError> {
        let version = self.base.as_ref().map(|base| base.version);
        let mut condition = version.map_or(Condition::Absent, Condition::At);
        let mut in_doubt = false;
        let mut pauses = Pauses::default();
        loop {
            let put = self.store.put(HEAD_KEY, self.value.clone(), condition);
            let e = match put.await {
                Ok(_) => return Ok(None),
                Err(e) => e,
            };
            let StoreError::Conflict { current, .. } = e else {
                in_doubt |= !matches!(e, StoreError::Refused { .. });
                if !pauses.wait().await {
                    return Err(self.failed(in_doubt, e));
                }
                continue;
            };
            match self.find(current, in_doubt).await {
                Ok(Found::Own(generation)) => return Ok(Some(generation)),
                Ok(Found::Other(head)) => return Err(self.conflict(head).await),
                Ok(Found::Touched(version)) if pauses.wait().await => {
                    condition = Condition::At(version);
                    in_doubt = false;
                }
                Ok(Found::Touched(_)) => return Err(self.failed(false, e)),
                Ok(Found::Undecided) | Err(_) => return Err(self.failed(in_doubt, e)),
            }
        }
    }

    /// Reads the head after the store answered that the condition does not hold.
    async fn find(&self, current: Option<Version>, in_doubt: bool) -> Result<Found, PublishError> {
        let base = self.base.as_ref();
        let after_base = Version(base.map_or(0, |base| base.version.0) + 1);
        let since = current.unwrap_or(after_base).max(after_base);
        let object = read_since(self.store, HEAD_KEY, Some(since)).await?;
        let Some(object) = object.filter(|object| object.version >= since) else {
            return Ok(Found::Undecided);
        };
        let head = Head::decode(&object.value)?;
        if let Some(generation) = head.generation_of(self.id) {
            return Ok(Found::Own(generation));
        }
        if base.is_some_and(|base| base.head == head) {
            return Ok(Found::Touched(object.version));
        }
        let next = Generation(self.base_generation().0 + 1);
        if in_doubt && head.write_of(next).is_none() {
            return Ok(Found::Undecided);
        }
        Ok(Found::Other(head))
    }

    fn base_generation(&self) -> Generation {
        let base = self.base.as_ref();
        base.map_or(Generation(0), |base| base.head.generation())
    }

    fn failed(&self, in_doubt: bool, cause: StoreError) -> PublishError {
        if !in_doubt {
            return PublishError::Store(cause);
        }
        PublishError::Unknown { id: self.id, cause }
    }

    async fn conflict(&self, head: Head) -> PublishError {
        let expected = self.base_generation();
        PublishError::Conflict {
            expected,
            now: head.generation(),
            changes: changes_since(self.store, expected, &head).await,
        }
    }
}
