//! Publishes a set as the next generation.

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
        Backoff,
        PublishError,
        VersionedHead,
        chunk::{
            Chunks,
            split_into_chunks, //
        },
        head::{
            HEAD_KEY,
            Head,
            Manifest,
            WriteId, //
        },
        read_at_least,
        read_head,
        reader::{
            load_manifest,
            load_set_of_write, //
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

/// The write id of a publication and its precondition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Publication {
    /// The write id, which makes repeated attempts idempotent: a set is published
    /// at most once under one id.
    pub id: WriteId,
    /// The generation that must be current before the write, if the operator named one.
    pub expected: Option<Generation>,
}

impl Default for Publication {
    fn default() -> Self {
        Self::new(WriteId::random())
    }
}

impl Publication {
    /// Returns a publication on top of whichever generation is current.
    pub const fn new(id: WriteId) -> Self {
        Self { id, expected: None }
    }

    /// Requires that a generation is current before the write.
    pub const fn with_expected(mut self, expected: Generation) -> Self {
        self.expected = Some(expected);
        self
    }
}

/// The result of a successful publication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The generation under which the set was published.
    pub generation: Generation,
    /// The number of chunks that were written.
    pub chunks: usize,
    /// The total size of these chunks.
    pub chunk_bytes: usize,
    /// The encoded size of the head.
    pub head_bytes: usize,
    /// Whether success was established by reading the head, because the store's
    /// answer to the write was lost.
    pub read_back: bool,
}

/// Validates a set and publishes it as the next generation.
pub async fn apply<S: ObjectStore>(
    store: &S,
    mut set: ConfigSet,
    publication: Publication,
) -> Result<Applied, PublishError> {
    check(&set).map_err(PublishError::Invalid)?;
    set.sort();
    let base = read_base(store, publication.expected).await?;
    let published = base
        .as_ref()
        .and_then(|b| b.head.generation_of(publication.id));
    if let Some(generation) = published {
        check_same_set(store, publication.id, &set).await?;
        return Ok(Applied {
            generation,
            read_back: true,
            ..Applied::default()
        });
    }
    check_expected(store, base.as_ref(), publication).await?;
    let manifest = base.as_ref().map(|base| &base.head.manifest);
    let (manifest, chunks) = split_into_chunks(&set, manifest)?;
    let mut applied = write_chunks(store, base.as_ref(), &manifest, &chunks).await?;
    write_manifest(store, publication.id, &manifest, &set).await?;
    let head = Head::new(base.as_ref().map(|b| &b.head), publication.id, manifest);
    let value = head.encode()?;
    applied.generation = head.generation();
    applied.head_bytes = value.len();
    let update = HeadUpdate {
        store,
        id: publication.id,
        base,
        value,
    };
    if let Some(generation) = update.run().await? {
        applied.generation = generation;
        applied.read_back = true;
    }
    Ok(applied)
}

/// Reads the head, with retries while it is older than `min_generation`, which
/// the operator has already seen and which shows that the read was stale.
async fn read_base<S: ObjectStore>(
    store: &S,
    min_generation: Option<Generation>,
) -> Result<Option<VersionedHead>, PublishError> {
    let mut backoff = Backoff::default();
    loop {
        let base = read_head(store).await?;
        let generation = base.as_ref().map(|base| base.head.generation());
        if generation.unwrap_or_default() >= min_generation.unwrap_or_default()
            || !backoff.wait().await
        {
            return Ok(base);
        }
    }
}

/// Returns a conflict if the current generation is not the one that the operator named.
async fn check_expected<S: ObjectStore>(
    store: &S,
    base: Option<&VersionedHead>,
    publication: Publication,
) -> Result<(), PublishError> {
    let Some(expected) = publication.expected else {
        return Ok(());
    };
    let current = base.map_or(Generation(0), |base| base.head.generation());
    if current == expected {
        return Ok(());
    }
    let changes = match base {
        Some(base) => changes_since(store, expected, &base.head).await,
        None => None,
    };
    Err(PublishError::Conflict {
        expected,
        current,
        changes,
    })
}

/// Returns the differences between a generation and the current one, or `None`
/// if either set cannot be read.
async fn changes_since<S: ObjectStore>(
    store: &S,
    generation: Generation,
    now: &Head,
) -> Option<Vec<Difference>> {
    let old = if generation == Generation(0) {
        ConfigSet::default()
    } else {
        let id = now.write_of(generation)?;
        load_set_of_write(store, id).await.ok()??
    };
    let new = load_manifest(store, &now.manifest).await.ok()?;
    Some(differences(&old, &new))
}

/// Returns an error if a write id was already used for a different set.
async fn check_same_set<S: ObjectStore>(
    store: &S,
    id: WriteId,
    set: &ConfigSet,
) -> Result<(), PublishError> {
    match load_set_of_write(store, id).await? {
        Some(published) if published != *set => Err(PublishError::WriteIdReused(id)),
        _ => Ok(()),
    }
}

/// Stores the manifest under the write id.
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
    check_same_set(store, id, set).await
}

/// Writes the chunks that the base generation does not contain.
async fn write_chunks<S: ObjectStore>(
    store: &S,
    base: Option<&VersionedHead>,
    manifest: &Manifest,
    chunks: &Chunks,
) -> Result<Applied, PublishError> {
    let mut applied = Applied::default();
    let stored: HashSet<_> = base
        .iter()
        .flat_map(|b| b.head.manifest.all_chunks())
        .collect();
    for digest in manifest.all_chunks() {
        let Some(chunk) = chunks.get(digest) else {
            continue;
        };
        if stored.contains(digest) {
            continue;
        }
        write_once(store, &digest.key(), chunk).await?;
        applied.chunks += 1;
        applied.chunk_bytes += chunk.len();
    }
    Ok(applied)
}

/// Writes an immutable object; returns `false` if it exists already.
async fn write_once<S: ObjectStore>(
    store: &S,
    key: &str,
    value: &Bytes,
) -> Result<bool, StoreError> {
    let mut backoff = Backoff::default();
    loop {
        match store.put(key, value.clone(), Condition::Absent).await {
            Ok(_) => return Ok(true),
            Err(StoreError::Conflict { .. }) => return Ok(false),
            Err(e) if !backoff.wait().await => return Err(e),
            Err(_) => (),
        }
    }
}

/// A conditional update of the head from its base to the next generation.
struct HeadUpdate<'a, S> {
    store: &'a S,
    id: WriteId,
    base: Option<VersionedHead>,
    value: Bytes,
}

/// What the head shows about a write whose condition did not hold.
enum WriteOutcome {
    /// An earlier attempt took effect and published this generation.
    Published(Generation),
    /// The base generation is still current, but the head object has this new
    /// version, because a host confirmed the head by writing it back unchanged.
    Rewritten(Version),
    /// Another write followed the base.
    Superseded(Head),
    /// The read was stale, or the head no longer lists the write that followed the base.
    Unclear,
}

impl<S: ObjectStore> HeadUpdate<'_, S> {
    /// Writes the head. Returns the generation found in the head if success was
    /// established only by reading it back, otherwise `None`.
    ///
    /// An attempt without an answer is repeated under the same condition. Once
    /// the store answers that the condition does not hold, no earlier attempt can
    /// still take effect, and the head shows whether one did.
    async fn run(self) -> Result<Option<Generation>, PublishError> {
        let version = self.base.as_ref().map(|base| base.version);
        let mut condition = version.map_or(Condition::Absent, Condition::At);
        let mut in_doubt = false;
        let mut backoff = Backoff::default();
        loop {
            let put = self.store.put(HEAD_KEY, self.value.clone(), condition);
            let e = match put.await {
                Ok(_) => return Ok(None),
                Err(e) => e,
            };
            let StoreError::Conflict { current, .. } = e else {
                in_doubt |= !matches!(e, StoreError::Refused { .. });
                if !backoff.wait().await {
                    return Err(self.failure(in_doubt, e));
                }
                continue;
            };
            match self.read_outcome(current, in_doubt).await {
                Ok(WriteOutcome::Published(generation)) => return Ok(Some(generation)),
                Ok(WriteOutcome::Superseded(head)) => return Err(self.conflict(head).await),
                Ok(WriteOutcome::Rewritten(version)) if backoff.wait().await => {
                    condition = Condition::At(version);
                    in_doubt = false;
                }
                Ok(WriteOutcome::Rewritten(_)) => return Err(self.failure(false, e)),
                Ok(WriteOutcome::Unclear) | Err(_) => return Err(self.failure(in_doubt, e)),
            }
        }
    }

    /// Reads the head after a failed condition to find out whether an earlier
    /// attempt took effect. `in_doubt` says that one went unanswered.
    async fn read_outcome(
        &self,
        current: Option<Version>,
        in_doubt: bool,
    ) -> Result<WriteOutcome, PublishError> {
        let base = self.base.as_ref();
        let after_base = Version(base.map_or(0, |base| base.version.0) + 1);
        let min_version = current.unwrap_or(after_base).max(after_base);
        let object = read_at_least(self.store, HEAD_KEY, Some(min_version)).await?;
        let Some(object) = object.filter(|object| object.version >= min_version) else {
            return Ok(WriteOutcome::Unclear);
        };
        let head = Head::decode(&object.value)?;
        if let Some(generation) = head.generation_of(self.id) {
            return Ok(WriteOutcome::Published(generation));
        }
        if base.is_some_and(|base| base.head == head) {
            return Ok(WriteOutcome::Rewritten(object.version));
        }
        let next = Generation(self.base_generation().0 + 1);
        if in_doubt && head.write_of(next).is_none() {
            return Ok(WriteOutcome::Unclear);
        }
        Ok(WriteOutcome::Superseded(head))
    }

    fn base_generation(&self) -> Generation {
        let base = self.base.as_ref();
        base.map_or(Generation(0), |base| base.head.generation())
    }

    fn failure(&self, in_doubt: bool, cause: StoreError) -> PublishError {
        if !in_doubt {
            return PublishError::Store(cause);
        }
        PublishError::OutcomeUnknown { id: self.id, cause }
    }

    async fn conflict(&self, head: Head) -> PublishError {
        let expected = self.base_generation();
        PublishError::Conflict {
            expected,
            current: head.generation(),
            changes: changes_since(self.store, expected, &head).await,
        }
    }
}
