//! The grow-only set of withdrawn keys, and its synchronisation between hosts.
//!
//! Merging is set union, so order and repetition do not matter. Two hosts
//! compare the summaries of their sets. If these differ, the host that may miss
//! keys first requests the other's latest members. If that is not enough, it
//! requests the parts whose sums differ; the set is divided into parts by the
//! first byte of the digests.

use std::{
    collections::{
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
};

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    membership::SetSummary,
    util::id::KeyDigest, //
};

/// The number of parts, one for each value of a digest's first byte.
const PART_COUNT: usize = 256;
/// The number of members that [`WithdrawnRequest::Latest`] returns.
const MAX_LATEST: usize = 16;
/// A page ends after the part with which it reaches this number of digests. A
/// part is never split over two pages, so a page may hold more.
const PAGE_TARGET_DIGESTS: usize = 512;
/// The size of a key digest.
const DIGEST_BYTES: usize = 32;
/// The number of summaries kept of other hosts' sets that this set contains.
const MAX_COVERED_SUMMARIES: usize = 16;

/// A request for withdrawn keys to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WithdrawnRequest {
    /// The members that the other host added last.
    Latest,
    /// The parts, starting at `from`, whose sums differ.
    Parts {
        /// The first part to compare.
        from: u8,
        /// The sums of all parts of the requesting host's set, eight bytes each.
        sums: Bytes,
        /// The summary in the first page of this synchronisation; `None` in the
        /// first request.
        #[serde(rename = "began")]
        initial: Option<SetSummary>,
    },
}

/// The answer to a [`WithdrawnRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnPage {
    /// The summary of the answering host's set when the synchronisation began.
    /// Keys added later may be missing from earlier pages.
    pub summary: SetSummary,
    /// The digests that the requesting host may miss, 32 bytes each.
    pub digests: Bytes,
    /// The part from which to continue; `None` on the last page.
    pub next: Option<u8>,
    /// Whether this answers [`WithdrawnRequest::Parts`]. After the last such page the
    /// requesting host's set contains the set that `summary` describes.
    pub by_parts: bool,
}

/// A grow-only set of withdrawn keys. Clones share their members.
#[derive(Clone, Debug)]
pub struct WithdrawnSet {
    members: Arc<BTreeSet<KeyDigest>>,
    summary: SetSummary,
    sums: Arc<[u64; PART_COUNT]>,
    latest: VecDeque<KeyDigest>,
    /// Summaries of other hosts' sets that this one contains, newest first.
    covered: VecDeque<SetSummary>,
}

impl WithdrawnSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            members: Arc::default(),
            summary: SetSummary::default(),
            sums: Arc::new([0; PART_COUNT]),
            latest: VecDeque::new(),
            covered: VecDeque::new(),
        }
    }

    /// Returns whether a key was withdrawn.
    pub fn contains(&self, digest: &KeyDigest) -> bool {
        self.members.contains(digest)
    }

    /// Adds a withdrawn key; returns `false` if the set contained it already.
    pub fn insert(&mut self, digest: KeyDigest) -> bool {
        if !Arc::make_mut(&mut self.members).insert(digest) {
            return false;
        }
        let [part, ..] = *digest.as_bytes();
        let hash = digest.as_bytes().as_slice().get_u64();
        self.summary.count += 1;
        self.summary.sum = self.summary.sum.wrapping_add(hash);
        let sum = &mut Arc::make_mut(&mut self.sums)[usize::from(part)];
        *sum = sum.wrapping_add(hash);
        self.latest.push_front(digest);
        self.latest.truncate(MAX_LATEST);
        true
    }

    /// Returns the count and the sum of hashes of the members.
    pub fn summary(&self) -> SetSummary {
        self.summary
    }

    /// Returns whether this set is known to contain the set with this summary.
    pub fn covers(&self, other: SetSummary) -> bool {
        other == self.summary || other.count == 0 || self.covered.contains(&other)
    }

    /// Answers another host's request.
    pub fn page_for(&self, request: &WithdrawnRequest) -> WithdrawnPage {
        match request {
            WithdrawnRequest::Latest => WithdrawnPage {
                summary: self.summary,
                digests: concat_digests(self.latest.iter()),
                next: None,
                by_parts: false,
            },
            WithdrawnRequest::Parts {
                from,
                sums,
                initial,
            } => WithdrawnPage {
                summary: initial.unwrap_or(self.summary),
                ..self.answer_parts(*from, sums)
            },
        }
    }

    /// Merges a page; returns the next request, if keys may still be missing.
    pub fn merge(&mut self, page: &WithdrawnPage) -> Option<WithdrawnRequest> {
        let mut digests = page.digests.clone();
        while digests.remaining() >= DIGEST_BYTES {
            let mut digest = [0; DIGEST_BYTES];
            digests.copy_to_slice(&mut digest);
            self.insert(KeyDigest::from_bytes(digest));
        }
        if self.covers(page.summary) {
            return None;
        }
        match (page.by_parts, page.next) {
            (false, _) => Some(self.ask_parts(0, None)),
            (true, Some(next)) => Some(self.ask_parts(next, Some(page.summary))),
            (true, None) => {
                self.covered.push_front(page.summary);
                self.covered.truncate(MAX_COVERED_SUMMARIES);
                None
            }
        }
    }

    fn ask_parts(&self, from: u8, initial: Option<SetSummary>) -> WithdrawnRequest {
        let mut sums = BytesMut::with_capacity(PART_COUNT * size_of::<u64>());
        for sum in self.sums.iter() {
            sums.put_u64(*sum);
        }
        WithdrawnRequest::Parts {
            from,
            sums: sums.freeze(),
            initial,
        }
    }

    fn answer_parts(&self, from: u8, sums: &Bytes) -> WithdrawnPage {
        let mut sums = sums.clone();
        let mut digests = Vec::new();
        let mut next = None;
        for part in 0..=u8::MAX {
            let theirs = sums.try_get_u64().unwrap_or(0);
            if part < from || theirs == self.sums[usize::from(part)] {
                continue;
            }
            if digests.len() >= PAGE_TARGET_DIGESTS {
                next = Some(part);
                break;
            }
            digests.extend(self.part(part));
        }
        WithdrawnPage {
            summary: self.summary,
            digests: concat_digests(digests.into_iter()),
            next,
            by_parts: true,
        }
    }

    fn part(&self, part: u8) -> impl Iterator<Item = &KeyDigest> {
        let (mut first, mut last) = ([0; DIGEST_BYTES], [u8::MAX; DIGEST_BYTES]);
        (first[0], last[0]) = (part, part);
        let range = KeyDigest::from_bytes(first)..=KeyDigest::from_bytes(last);
        self.members.range(range)
    }
}

fn concat_digests<'a>(digests: impl Iterator<Item = &'a KeyDigest>) -> Bytes {
    let mut buf = BytesMut::new();
    for digest in digests {
        buf.put_slice(digest.as_bytes());
    }
    buf.freeze()
}

impl Default for WithdrawnSet {
    fn default() -> Self {
        Self::new()
    }
}
