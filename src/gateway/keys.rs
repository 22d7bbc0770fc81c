//! The valid API keys, to cut off transfers whose key is withdrawn.

use std::{
    collections::HashSet,
    sync::Arc, //
};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::{
    body::{
        BodyError,
        Cutoff, //
    },
    util::id::KeyDigest,
};

/// The digests of the valid API keys, with notification of changes.
#[derive(Debug)]
pub struct ValidKeys {
    valid: ArcSwap<HashSet<KeyDigest>>,
    changes: watch::Sender<u64>,
}

impl ValidKeys {
    /// Creates an empty set, in which no key is valid.
    pub fn new() -> Self {
        Self {
            valid: ArcSwap::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Replaces the set of valid keys and cuts off transfers whose key is no longer in it.
    pub fn replace(&self, valid: HashSet<KeyDigest>) {
        self.valid.store(Arc::new(valid));
        self.changes.send_modify(|n| *n += 1);
    }

    /// Returns a future that resolves when the key is no longer valid.
    pub fn cutoff(self: &Arc<Self>, key: KeyDigest) -> Cutoff {
        let keys = self.clone();
        let mut rx = self.changes.subscribe();
        Box::pin(async move {
            while keys.valid.load().contains(&key) {
                if rx.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
            BodyError::KeyWithdrawn
        })
    }
}

impl Default for ValidKeys {
    fn default() -> Self {
        Self::new()
    }
}
