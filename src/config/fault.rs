//! The faults of a configuration set. Each names the place, the offending
//! value and the remedy.

use std::{
    fmt,
    sync::Arc, //
};

use serde::Serialize;
use thiserror::Error;

use crate::config::kind::Kind;

/// Where an object stands in the files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Location {
    /// The file.
    pub file: Arc<str>,
    /// The line, counted from one.
    pub line: u32,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// What is wrong with a value, and what to do about it.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "problem")]
pub enum Problem {
    /// The file is not TOML.
    #[error("is not TOML: {cause}")]
    Syntax {
        /// What the reader says.
        cause: String,
    },
    /// The file has another format, or names none.
    #[error("schema {value} is not {known}; write `schema = {known}` at the head of the file")]
    Schema {
        /// The schema that stands there.
        value: String,
        /// The schema that is read.
        known: u32,
    },
    /// No such kind of object exists.
    #[error("unknown kind {value:?}; use one of {known}")]
    UnknownKind {
        /// The kind that stands there.
        value: String,
        /// All kinds.
        known: String,
    },
    /// The kind has no such field.
    #[error("unknown field; use one of {known}")]
    UnknownField {
        /// The kind's fields.
        known: String,
    },
    /// A needed field is not there.
    #[error("missing; add it, for example `{example}`")]
    MissingField {
        /// How the field may look.
        example: String,
    },
    /// The value cannot be read.
    #[error("{value} cannot be read ({cause}); write it like `{example}`")]
    Malformed {
        /// The value that stands there.
        value: String,
        /// What is wrong with it.
        cause: String,
        /// How the field may look.
        example: String,
    },
    /// The name refers to nothing.
    #[error("no {kind} is named {value:?}; add it or correct the name")]
    Dangling {
        /// The kind referred to.
        kind: Kind,
        /// The name.
        value: String,
    },
    /// The value stands in another object of the kind too.
    #[error("{value:?} is also that of {other}; each may stand once")]
    Duplicate {
        /// The value.
        value: String,
        /// The other object.
        other: String,
    },
    /// The value stands twice in a list.
    #[error("{value:?} stands twice in the list; remove one")]
    Repeated {
        /// The value.
        value: String,
    },
    /// The value is outside its bounds.
    #[error("{value} is out of bounds; use {least} to {most}")]
    OutOfBounds {
        /// The value.
        value: String,
        /// The least allowed value.
        least: String,
        /// The largest allowed value.
        most: String,
    },
    /// A sum is larger than the cap that bounds it.
    #[error("the sum {sum} of {what} is over the cap {cap}; lower them or raise the cap")]
    OverCap {
        /// What is added up.
        what: &'static str,
        /// The sum.
        sum: u64,
        /// The cap.
        cap: u64,
    },
    /// The value has a form that the field does not allow.
    #[error("{value:?} {rule}")]
    Rule {
        /// The value.
        value: String,
        /// The rule that it breaks, with the remedy.
        rule: &'static str,
    },
    /// The client blocks share addresses.
    #[error("{value} overlaps {other}; keep one or split the larger")]
    Overlap {
        /// The block.
        value: String,
        /// The block that it shares addresses with.
        other: String,
    },
    /// Nothing refers to the object that has to be referred to.
    #[error("has no {missing}; add one or remove it")]
    Without {
        /// What is missing.
        missing: &'static str,
    },
    /// The drains leave nothing of a service.
    #[error("the drains together leave no upstream of it; remove one of them")]
    DrainedWhole,
}

impl Problem {
    /// Returns whether the problem may only come from objects that could not be read.
    pub(crate) const fn needs_whole_set(&self) -> bool {
        matches!(
            self,
            Self::Dangling { .. } | Self::Without { .. } | Self::DrainedWhole
        )
    }
}

/// One fault of a configuration set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Where the object stands, if it came from a file.
    #[serde(rename = "place")]
    pub location: Option<Location>,
    /// The object's kind; none where a whole file is at fault.
    pub kind: Option<Kind>,
    /// The object's name, or its number among its kind in the file.
    pub object: Option<String>,
    /// The field.
    pub field: Option<String>,
    /// What is wrong, and the remedy.
    #[serde(flatten)]
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{location}: ")?;
        }
        if let Some(kind) = self.kind {
            write!(f, "{kind} ")?;
        }
        if let Some(object) = &self.object {
            write!(f, "{object}: ")?;
        }
        if let Some(field) = &self.field {
            write!(f, "{field}: ")?;
        }
        write!(f, "{}", self.problem)
    }
}

/// All faults of a configuration set, never none.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0.len();
        write!(f, "the configuration has {count} fault")?;
        if count != 1 {
            write!(f, "s")?;
        }
        for fault in &self.0 {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

/// Sorts faults by the places of their objects.
pub(crate) fn sort(faults: &mut [Fault]) {
    faults.sort_by(|a, b| {
        let a = a
            .location
            .as_ref()
            .map(|location| (&location.file, location.line));
        let b = b
            .location
            .as_ref()
            .map(|location| (&location.file, location.line));
        a.cmp(&b)
    });
}

/// Where the objects of a set stand in the files.
#[derive(Clone, Debug, Default)]
pub struct Locations {
    files: Vec<Arc<str>>,
    objects: [Vec<(u32, u32)>; Kind::ALL.len()],
}

impl Locations {
    /// Adds a file and returns its number.
    pub(crate) fn add_file(&mut self, file: &str) -> u32 {
        self.files.push(file.into());
        self.files.len() as u32 - 1
    }

    /// Adds the next object of a kind.
    pub(crate) fn add(&mut self, kind: Kind, file: u32, line: u32) {
        self.objects[kind as usize].push((file, line));
    }

    /// Returns where an object of a kind stands.
    pub fn get(&self, kind: Kind, index: usize) -> Option<Location> {
        let &(file, line) = self.objects[kind as usize].get(index)?;
        self.location(file, line)
    }

    /// Returns a place in a file.
    pub(crate) fn location(&self, file: u32, line: u32) -> Option<Location> {
        let file = Arc::clone(self.files.get(file as usize)?);
        Some(Location { file, line })
    }
}
