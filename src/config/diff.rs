//! Typed changes between two sets, and their encoding between entry hosts.

use std::cmp::Ordering;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::{
    config::{
        kind::{
            ConfigObject,
            ObjectKind,
            for_each_kind, //
        },
        object::*,
    },
    util::id::Generation,
};

/// A failure to encode, decode or apply a delta.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta applies to a generation other than the loaded one.
    #[error(
        "the delta applies to generation {from}, but generation {held} is loaded; fetch another one"
    )]
    WrongBase {
        /// The generation that the delta applies to.
        from: Generation,
        /// The generation that is loaded.
        held: Generation,
    },
    /// The delta's target generation is not later than its base.
    #[error("the delta goes from generation {from} to {to}, which is not later; discard it")]
    NotLater {
        /// The generation that the delta applies to.
        from: Generation,
        /// The generation that the delta produces.
        to: Generation,
    },
    /// The delta removes an object that the set does not contain.
    #[error(
        "the delta removes {kind} {id}, which is not in generation {held}; fetch the whole set"
    )]
    Missing {
        /// The kind of the object to be removed.
        kind: ObjectKind,
        /// The id of the object to be removed.
        id: String,
        /// The generation of the set.
        held: Generation,
    },
    /// The delta could not be encoded, or the bytes do not decode as one.
    #[error("the delta could not be encoded or decoded ({0}); fetch it again")]
    Malformed(String),
}

/// The changes to the objects of one kind.
///
/// The methods expect lists that are sorted by id without duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Edits<T: ConfigObject> {
    /// Added objects and the new versions of changed ones, sorted by id.
    pub put: Vec<T>,
    /// The ids of removed objects, sorted.
    pub removed: Vec<T::Id>,
}

impl<T: ConfigObject> Default for Edits<T> {
    fn default() -> Self {
        Self {
            put: Vec::new(),
            removed: Vec::new(),
        }
    }
}

impl<T: ConfigObject> Edits<T> {
    /// Returns the changes that turn one sorted list of objects into another.
    pub fn between(old: &[T], new: &[T]) -> Self {
        let mut edits = Self::default();
        let mut old = old.iter().peekable();
        let mut new = new.iter().peekable();
        loop {
            let order = match (old.peek(), new.peek()) {
                (None, None) => return edits,
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(a), Some(b)) => a.id().cmp(b.id()),
            };
            let a = old.next_if(|_| order != Ordering::Greater);
            let b = new.next_if(|_| order != Ordering::Less);
            match (a, b) {
                (Some(a), None) => edits.removed.push(a.id().clone()),
                (a, Some(b)) if a != Some(b) => edits.put.push(b.clone()),
                _ => (),
            }
        }
    }

    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.put.is_empty() && self.removed.is_empty()
    }

    /// Applies the changes to a sorted list of objects and keeps it sorted.
    pub fn apply(&self, all: &mut Vec<T>) {
        if !self.removed.is_empty() {
            all.retain(|object| self.removed.binary_search(object.id()).is_err());
        }
        let old_len = all.len();
        for object in &self.put {
            match all[..old_len].binary_search_by(|other| other.id().cmp(object.id())) {
                Ok(i) => all[i] = object.clone(),
                Err(_) => all.push(object.clone()),
            }
        }
        if all.len() > old_len {
            all.sort_by(|a, b| a.id().cmp(b.id()));
        }
    }

    /// Merges later changes into these, so that applying the result has the
    /// effect of applying both in order.
    pub fn extend(&mut self, later: Self) {
        self.put.retain(|object| {
            let id = object.id();
            later.removed.binary_search(id).is_err()
                && later.put.binary_search_by(|o| o.id().cmp(id)).is_err()
        });
        self.removed
            .retain(|id| later.put.binary_search_by(|o| o.id().cmp(id)).is_err());
        self.put.extend(later.put);
        self.put.sort_by(|a, b| a.id().cmp(b.id()));
        self.removed.extend(later.removed);
        self.removed.sort();
        self.removed.dedup();
    }

    /// Returns the first id to be removed that a sorted list does not contain.
    fn missing(&self, all: &[T]) -> Option<&T::Id> {
        let absent = |id: &&T::Id| all.binary_search_by(|o| o.id().cmp(id)).is_err();
        self.removed.iter().find(absent)
    }
}

macro_rules! changes {
    ($($field:ident: $type:ident),*) => {
        /// The changes to all kinds of objects.
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        pub struct Changes {
            $(
                #[doc = concat!("The changes to the ", stringify!($field), ".")]
                pub $field: Edits<$type>,
            )*
        }

        impl Changes {
            /// Returns the changes that turn one sorted set into another.
            pub fn between(old: &ConfigSet, new: &ConfigSet) -> Self {
                Self {
                    $($field: Edits::between(&old.$field, &new.$field),)*
                }
            }

            /// Returns whether there are no changes.
            pub fn is_empty(&self) -> bool {
                $(self.$field.is_empty())&&*
            }

            /// Returns the number of added, changed and removed objects.
            pub fn len(&self) -> usize {
                let mut len = 0;
                $(len += self.$field.put.len() + self.$field.removed.len();)*
                len
            }

            /// Applies the changes to a sorted set.
            pub fn apply(&self, set: &mut ConfigSet) {
                $(self.$field.apply(&mut set.$field);)*
            }

            /// Merges later changes into these, so that applying the result
            /// has the effect of applying both in order.
            pub fn extend(&mut self, later: Self) {
                $(self.$field.extend(later.$field);)*
            }

            /// Returns the first object to be removed that the set does not contain.
            fn missing(&self, set: &ConfigSet) -> Option<(ObjectKind, String)> {
                $(
                    if let Some(id) = self.$field.missing(&set.$field) {
                        return Some(($type::KIND, id.to_string()));
                    }
                )*
                None
            }
        }

        impl ConfigSet {
            /// Returns the number of objects of all kinds.
            pub fn len(&self) -> usize {
                let mut len = 0;
                $(len += self.$field.len();)*
                len
            }

            /// Returns whether the set has no objects.
            pub fn is_empty(&self) -> bool {
                self.len() == 0
            }

            /// Sorts the objects of each kind by id. Sets are published and
            /// compared in this order.
            pub fn sort(&mut self) {
                $(self.$field.sort_by(|a, b| a.id().cmp(b.id()));)*
            }
        }
    };
}

for_each_kind!(changes);

/// The changes from one generation of the configuration to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The base generation, which the changes apply to.
    pub from: Generation,
    /// The generation that applying the changes produces.
    pub to: Generation,
    /// The added, changed and removed objects.
    pub changes: Changes,
}

impl Delta {
    /// Compares the sorted sets of two generations.
    pub fn between(from: Generation, old: &ConfigSet, to: Generation, new: &ConfigSet) -> Self {
        Self {
            from,
            to,
            changes: Changes::between(old, new),
        }
    }

    /// Encodes the delta as MessagePack, as it is sent between entry hosts.
    pub fn encode(&self) -> Result<Bytes, DeltaError> {
        let bytes = rmp_serde::to_vec(self);
        let bytes = bytes.map_err(|e| DeltaError::Malformed(e.to_string()))?;
        Ok(bytes.into())
    }

    /// Decodes a delta that another entry host sent.
    pub fn decode(bytes: &[u8]) -> Result<Self, DeltaError> {
        rmp_serde::from_slice(bytes).map_err(|e| DeltaError::Malformed(e.to_string()))
    }

    /// Applies the delta to the sorted set of generation `held`. On an error the
    /// set is unchanged.
    pub fn apply(&self, held: Generation, set: &mut ConfigSet) -> Result<(), DeltaError> {
        self.check_base(held)?;
        if let Some((kind, id)) = self.changes.missing(set) {
            return Err(DeltaError::Missing { kind, id, held });
        }
        self.changes.apply(set);
        Ok(())
    }

    /// Returns a copy without the changes to client blocks, which
    /// [`Index`](crate::config::index::Index) applies separately.
    pub fn without_blocks(&self) -> Self {
        let mut delta = self.clone();
        delta.changes.blocks = Edits::default();
        delta
    }

    /// Returns an error unless the delta applies to generation `held` and
    /// produces a later one.
    pub fn check_base(&self, held: Generation) -> Result<(), DeltaError> {
        if self.from != held {
            return Err(DeltaError::WrongBase {
                from: self.from,
                held,
            });
        }
        if self.to <= self.from {
            return Err(DeltaError::NotLater {
                from: self.from,
                to: self.to,
            });
        }
        Ok(())
    }
}
