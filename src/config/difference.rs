//! Differences between two sets, field by field, as shown to operators.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::config::{
    diff::{
        Changes,
        Edits, //
    },
    kind::{
        ConfigObject,
        ObjectKind,
        for_each_kind, //
    },
    object::*,
};

/// A changed field of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The field's name in TOML files.
    pub field: String,
    /// The value in the older set; null if the field was absent.
    pub old: Value,
    /// The value in the newer set.
    pub new: Value,
}

/// How an object differs between two sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum ObjectChange {
    /// Only the newer set has the object.
    Added,
    /// Only the older set has the object.
    Removed,
    /// Both sets have the object, with different fields.
    Changed {
        /// The changed fields with their old and new values.
        fields: Vec<FieldChange>,
    },
}

/// An object that differs between two sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name, or the address range of a client block.
    pub id: String,
    /// Whether the object was added, removed or changed.
    #[serde(flatten)]
    pub change: ObjectChange,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, id, change } = self;
        match change {
            ObjectChange::Added => write!(f, "+ {kind} {id}"),
            ObjectChange::Removed => write!(f, "- {kind} {id}"),
            ObjectChange::Changed { fields } => {
                write!(f, "~ {kind} {id}")?;
                for field_change in fields {
                    write!(
                        f,
                        " {}: {} -> {}",
                        field_change.field, field_change.old, field_change.new
                    )?;
                }
                Ok(())
            }
        }
    }
}

/// Returns all objects that differ between two sorted sets, grouped by kind.
pub fn differences(old: &ConfigSet, new: &ConfigSet) -> Vec<Difference> {
    let changes = Changes::between(old, new);
    let mut all = Vec::with_capacity(changes.len());
    macro_rules! describe {
        ($($field:ident: $type:ident),*) => {$(
            describe_kind(&old.$field, &changes.$field, &mut all);
        )*};
    }
    for_each_kind!(describe);
    all
}

fn describe_kind<T: ConfigObject>(old: &[T], edits: &Edits<T>, all: &mut Vec<Difference>) {
    for id in &edits.removed {
        all.push(Difference {
            kind: T::KIND,
            id: id.to_string(),
            change: ObjectChange::Removed,
        });
    }
    for object in &edits.put {
        let change = match old.binary_search_by(|o| o.id().cmp(object.id())) {
            Ok(i) => ObjectChange::Changed {
                fields: changed_fields(&old[i], object),
            },
            Err(_) => ObjectChange::Added,
        };
        all.push(Difference {
            kind: T::KIND,
            id: object.id().to_string(),
            change,
        });
    }
}

fn changed_fields<T: Serialize>(old: &T, new: &T) -> Vec<FieldChange> {
    let (old, new) = (serde_json::to_value(old), serde_json::to_value(new));
    let (Ok(Value::Object(old)), Ok(Value::Object(new))) = (old, new) else {
        return Vec::new();
    };
    let mut fields = Vec::new();
    for (field, new) in new {
        let old = old.get(&field).cloned().unwrap_or(Value::Null);
        if old != new {
            fields.push(FieldChange { field, old, new });
        }
    }
    fields
}
