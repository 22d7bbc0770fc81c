//! The standing of keys, for bodies that are already running.

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

/// The digests of the keys that stand.
#[derive(Debug)]
pub struct Keys {
    standing: ArcSwap<HashSet<KeyDigest>>,
    changes: watch::Sender<u64>,
}

impl Keys {
    /// Returns an empty set of keys.
    pub fn new() -> Self {
        Self {
            standing: ArcSwap::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Replaces the keys that stand, and cuts off what runs on others.
    pub fn replace(&self, standing: HashSet<KeyDigest>) {
        self.standing.store(Arc::new(standing));
        self.changes.send_modify(|n| *n += 1);
    }

    /// Returns a future that resolves when the key no longer stands.
    pub fn cutoff(self: &Arc<Self>, key: KeyDigest) -> Cutoff {
        let keys = self.clone();
        let mut rx = self.changes.subscribe();
        Box::pin(async move {
            while keys.standing.load().contains(&key) {
                if rx.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
            BodyError::KeyWithdrawn
        })
    }
}

impl Default for Keys {
    fn default() -> Self {
        Self::new()
    }
}
