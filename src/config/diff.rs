//! Typed changes from one set to another, and their form between entry hosts.

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
            Configured,
            Kind,
            for_each_kind, //
        },
        object::*,
    },
    util::id::Generation,
};

/// A failure to read or to apply a delta.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta starts from another generation.
    #[error(
        "the delta starts from generation {from}, but generation {held} is held; ask for another"
    )]
    WrongBase {
        /// The generation that the delta starts from.
        from: Generation,
        /// The generation that it was applied to.
        held: Generation,
    },
    /// The delta does not lead to a later generation.
    #[error("the delta leads from generation {from} back to {to}; drop it")]
    NotLater {
        /// The generation that the delta starts from.
        from: Generation,
        /// The generation that it leads to.
        to: Generation,
    },
    /// The delta removes an object that is not there.
    #[error("the delta removes {kind} {id}, which is not in generation {held}; load the whole set")]
    Missing {
        /// The object's kind.
        kind: Kind,
        /// Its id.
        id: String,
        /// The generation that the delta was applied to.
        held: Generation,
    },
    /// The bytes are not a delta.
    #[error("the delta could not be read ({0}); ask for it again")]
    Malformed(String),
}

/// The changes to the objects of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound = "")]
pub struct Edits<T: Configured> {
    /// Added objects, and changed ones as they are now; sorted by id.
    pub put: Vec<T>,
    /// The ids of removed objects, sorted.
    pub removed: Vec<T::Id>,
}

impl<T: Configured> Default for Edits<T> {
    fn default() -> Self {
        Self {
            put: Vec::new(),
            removed: Vec::new(),
        }
    }
}

impl<T: Configured> Edits<T> {
    /// Returns what leads from one sorted list of objects to another.
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

    /// Returns whether nothing changes.
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

    /// Appends later changes, so that this one has the effect of both.
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
            /// Returns what leads from one sorted set to another.
            pub fn between(old: &Set, new: &Set) -> Self {
                Self {
                    $($field: Edits::between(&old.$field, &new.$field),)*
                }
            }

            /// Returns whether nothing changes.
            pub fn is_empty(&self) -> bool {
                $(self.$field.is_empty())&&*
            }

            /// Returns how many objects are added, changed or removed.
            pub fn len(&self) -> usize {
                let mut len = 0;
                $(len += self.$field.put.len() + self.$field.removed.len();)*
                len
            }

            /// Applies the changes to a sorted set.
            pub fn apply(&self, set: &mut Set) {
                $(self.$field.apply(&mut set.$field);)*
            }

            /// Appends later changes, so that these have the effect of both.
            pub fn extend(&mut self, later: Self) {
                $(self.$field.extend(later.$field);)*
            }

            /// Returns a removed object that is not in the set.
            fn missing(&self, set: &Set) -> Option<(Kind, String)> {
                $(
                    if let Some(id) = self.$field.missing(&set.$field) {
                        return Some(($type::KIND, id.to_string()));
                    }
                )*
                None
            }
        }

        impl Set {
            /// Returns how many objects there are.
            pub fn len(&self) -> usize {
                let mut len = 0;
                $(len += self.$field.len();)*
                len
            }

            /// Returns whether there is no object.
            pub fn is_empty(&self) -> bool {
                self.len() == 0
            }

            /// Sorts the objects of each kind by id, the form that is published and compared.
            pub fn sort(&mut self) {
                $(self.$field.sort_by(|a, b| a.id().cmp(b.id()));)*
            }
        }
    };
}

for_each_kind!(changes);

/// What leads from one generation to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The generation that it applies to.
    pub from: Generation,
    /// The generation that it leads to.
    pub to: Generation,
    /// The changed objects.
    pub changes: Changes,
}

impl Delta {
    /// Returns what leads from one generation's sorted set to another's.
    pub fn between(from: Generation, old: &Set, to: Generation, new: &Set) -> Self {
        Self {
            from,
            to,
            changes: Changes::between(old, new),
        }
    }

    /// Returns the delta's form between entry hosts.
    pub fn encode(&self) -> Result<Bytes, DeltaError> {
        let bytes = rmp_serde::to_vec(self);
        let bytes = bytes.map_err(|e| DeltaError::Malformed(e.to_string()))?;
        Ok(bytes.into())
    }

    /// Reads a delta from its form between entry hosts.
    pub fn decode(bytes: &[u8]) -> Result<Self, DeltaError> {
        rmp_serde::from_slice(bytes).map_err(|e| DeltaError::Malformed(e.to_string()))
    }

    /// Applies the delta to a generation's sorted set; on an error the set is unchanged.
    pub fn apply(&self, held: Generation, set: &mut Set) -> Result<(), DeltaError> {
        self.check_base(held)?;
        if let Some((kind, id)) = self.changes.missing(set) {
            return Err(DeltaError::Missing { kind, id, held });
        }
        self.changes.apply(set);
        Ok(())
    }

    /// Returns the delta without the changes to client blocks.
    pub fn without_blocks(&self) -> Self {
        let mut delta = self.clone();
        delta.changes.blocks = Edits::default();
        delta
    }

    /// Returns an error where the delta does not lead on from a generation.
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
