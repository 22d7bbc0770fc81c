//! The faults of a configuration set. Each names the location, the offending
//! value and the remedy.

use std::{
    fmt,
    sync::Arc, //
};

use serde::Serialize;
use thiserror::Error;

use crate::config::kind::ObjectKind;

/// The position of an object or field in the configuration files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Location {
    /// The file's path, as it was opened.
    pub file: Arc<str>,
    /// The line number, starting at 1.
    pub line: u32,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// A problem with a value, and how to fix it.
#[derive(Clone, Debug, Error, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "problem")]
pub enum Problem {
    /// The file or object is not valid TOML, and no single field is to blame.
    #[error("invalid TOML: {cause}")]
    Syntax {
        /// The TOML parser's message.
        cause: String,
    },
    /// The file's schema version is unsupported or missing.
    #[error("schema {value} is not supported; write `schema = {known}` at the top of the file")]
    Schema {
        /// The schema version in the file, or `(none)`.
        value: String,
        /// The supported schema version.
        known: u32,
    },
    /// A top-level key is not a kind of object.
    #[error("unknown kind {value:?}; use one of {known}")]
    UnknownKind {
        /// The unknown key.
        value: String,
        /// All kinds, separated by commas.
        known: String,
    },
    /// The kind has no such field.
    #[error("unknown field; use one of {known}")]
    UnknownField {
        /// The kind's fields, separated by commas.
        known: String,
    },
    /// A required field is missing.
    #[error("missing; add it, for example `{example}`")]
    MissingField {
        /// A valid example of the field.
        example: String,
    },
    /// The value does not parse.
    #[error("{value} cannot be read ({cause}); write it like `{example}`")]
    Malformed {
        /// The value in the file, shortened if it is long, or the kind whose list
        /// is malformed.
        value: String,
        /// The reason why the value does not parse.
        cause: String,
        /// A valid example of the field.
        example: String,
    },
    /// The name refers to an object that the set does not contain.
    #[error("no {kind} is named {value:?}; add it or correct the name")]
    Dangling {
        /// The kind of the missing object.
        kind: ObjectKind,
        /// The name of the missing object.
        value: String,
    },
    /// Another object already has the value, which must be unique.
    #[error("{value:?} is already used by {other}; it must be unique")]
    Duplicate {
        /// The duplicate value.
        value: String,
        /// The object that has the value already, with its location if known.
        other: String,
    },
    /// A list contains the value more than once.
    #[error("{value:?} appears twice in the list; remove one")]
    Repeated {
        /// The repeated value.
        value: String,
    },
    /// The value is out of bounds.
    #[error("{value} is out of bounds; use {least} to {most}")]
    OutOfBounds {
        /// The value that was given.
        value: String,
        /// The smallest allowed value.
        least: String,
        /// The largest allowed value.
        most: String,
    },
    /// A sum exceeds its cap.
    #[error("the sum {sum} of {what} exceeds the cap {cap}; lower the sum or raise the cap")]
    OverCap {
        /// The quantity that is summed up, for the message.
        what: &'static str,
        /// The sum of the configured values.
        sum: u64,
        /// The largest allowed sum.
        cap: u64,
    },
    /// The value breaks a rule of its field.
    #[error("{value:?} {rule}")]
    Rule {
        /// The value that was given.
        value: String,
        /// The rule that the value breaks, with the remedy; follows the value in the message.
        rule: &'static str,
    },
    /// Two client blocks overlap.
    #[error("{value} overlaps {other}; keep one or split the larger")]
    Overlap {
        /// The later block in address order.
        value: String,
        /// The block that contains it.
        other: String,
    },
    /// The object lacks a counterpart that it requires, such as a region without zones.
    #[error("has no {missing}; add one or remove this object")]
    Without {
        /// The missing counterpart, for the message.
        missing: &'static str,
    },
    /// The drains cover all upstreams of a service.
    #[error("the drains together leave this service without upstreams; remove one of the drains")]
    DrainedWhole,
}

impl Problem {
    /// Returns whether the check needs the whole set. If some objects could not
    /// be parsed, such a problem may be only a consequence of their absence.
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
    /// The object's location; absent if the set was not read from files.
    #[serde(rename = "place")]
    pub location: Option<Location>,
    /// The object's kind; absent if the fault concerns a whole file or set.
    pub kind: Option<ObjectKind>,
    /// The object's name, or `#` and its position among its kind in the file.
    pub object: Option<String>,
    /// The faulty field; absent if the fault concerns the whole object.
    pub field: Option<String>,
    /// The problem and its remedy.
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

/// All faults of a configuration set; never empty.
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

/// Sorts faults by file and line; faults without a location come first.
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

/// The locations of a set's objects.
///
/// Objects are numbered per kind, in the order of the set's lists before sorting.
#[derive(Clone, Debug, Default)]
pub struct Locations {
    files: Vec<Arc<str>>,
    /// File number and line of each object, by kind.
    objects: [Vec<(u32, u32)>; ObjectKind::ALL.len()],
}

impl Locations {
    /// Registers a file and returns its number.
    pub(crate) fn add_file(&mut self, file: &str) -> u32 {
        self.files.push(file.into());
        self.files.len() as u32 - 1
    }

    /// Records the location of the next object of a kind.
    pub(crate) fn add(&mut self, kind: ObjectKind, file: u32, line: u32) {
        self.objects[kind as usize].push((file, line));
    }

    /// Returns the location of an object by its index among its kind.
    pub fn get(&self, kind: ObjectKind, index: usize) -> Option<Location> {
        let &(file, line) = self.objects[kind as usize].get(index)?;
        self.location(file, line)
    }

    /// Returns the location for a file number and line.
    pub(crate) fn location(&self, file: u32, line: u32) -> Option<Location> {
        let file = Arc::clone(self.files.get(file as usize)?);
        Some(Location { file, line })
    }
}
