//! Accumulates the faults that validation finds.

use std::{
    collections::HashMap,
    fmt::Display,
    hash::Hash, //
};

use crate::config::{
    fault::{
        Fault,
        Locations,
        Problem,
        sort, //
    },
    kind::{
        ConfigObject,
        ObjectKind, //
    },
};

/// The faults found so far, and the source locations of the objects.
pub(super) struct Report<'a> {
    locations: &'a Locations,
    faults: Vec<Fault>,
}

impl<'a> Report<'a> {
    /// Returns an empty report.
    pub(super) fn new(locations: &'a Locations) -> Self {
        Self {
            locations,
            faults: Vec::new(),
        }
    }

    /// Returns the faults, sorted by file and line.
    pub(super) fn into_faults(mut self) -> Vec<Fault> {
        sort(&mut self.faults);
        self.faults
    }

    /// Adds a fault that belongs to the set and not to a single object.
    pub(super) fn add_set_fault(&mut self, problem: Problem) {
        self.faults.push(Fault {
            location: None,
            kind: None,
            object: None,
            field: None,
            problem,
        });
    }

    /// Adds a fault of an object; an empty `field` means the object as a whole.
    pub(super) fn add<T: ConfigObject>(
        &mut self,
        index: usize,
        object: &T,
        field: &str,
        problem: Problem,
    ) {
        self.faults.push(Fault {
            location: self.locations.get(T::KIND, index),
            kind: Some(T::KIND),
            object: Some(object.id().to_string()),
            field: (!field.is_empty()).then(|| field.to_owned()),
            problem,
        });
    }

    /// Adds a fault unless `holds`; `rule` is its text, with the remedy.
    pub(super) fn rule<T: ConfigObject>(
        &mut self,
        index: usize,
        object: &T,
        field: &str,
        value: &dyn Display,
        holds: bool,
        rule: &'static str,
    ) {
        if holds {
            return;
        }
        let value = value.to_string();
        self.add(index, object, field, Problem::Rule { value, rule });
    }

    /// Adds a fault if a value is out of bounds; both bounds are inclusive.
    pub(super) fn bounds<T: ConfigObject, V: PartialOrd + Display>(
        &mut self,
        index: usize,
        object: &T,
        field: &str,
        value: V,
        (least, most): (V, V),
    ) {
        if value >= least && value <= most {
            return;
        }
        let problem = Problem::OutOfBounds {
            value: value.to_string(),
            least: least.to_string(),
            most: most.to_string(),
        };
        self.add(index, object, field, problem);
    }

    /// Adds a fault for each object whose value an earlier object already has.
    pub(super) fn unique<'s, T: ConfigObject, V: Eq + Hash + 's>(
        &mut self,
        objects: &'s [T],
        field: &str,
        value: impl Fn(&'s T) -> V,
        describe: impl Fn(&'s T) -> String,
    ) {
        let mut first_index = HashMap::with_capacity(objects.len());
        for (i, object) in objects.iter().enumerate() {
            let other = *first_index.entry(value(object)).or_insert(i);
            if other == i {
                continue;
            }
            let mut other_object = format!("{} {}", T::KIND, objects[other].id());
            if let Some(location) = self.locations.get(T::KIND, other) {
                other_object = format!("{other_object} at {location}");
            }
            let value = describe(object);
            self.add(
                i,
                object,
                field,
                Problem::Duplicate {
                    value,
                    other: other_object,
                },
            );
        }
    }

    /// Adds a fault for each repeated value in an object's list.
    pub(super) fn distinct<T: ConfigObject, V: Eq + Hash + Display>(
        &mut self,
        index: usize,
        object: &T,
        field: &str,
        values: &[V],
    ) {
        for (i, value) in values.iter().enumerate() {
            // A quadratic search is sufficient: lists are short or already bounded.
            if !values[..i].contains(value) {
                continue;
            }
            let value = value.to_string();
            self.add(index, object, field, Problem::Repeated { value });
        }
    }

    /// Adds a fault if the object that a field refers to was not found.
    pub(super) fn reference<T: ConfigObject>(
        &mut self,
        index: usize,
        object: &T,
        field: &str,
        kind: ObjectKind,
        found: bool,
        value: &dyn Display,
    ) {
        if found {
            return;
        }
        let value = value.to_string();
        self.add(index, object, field, Problem::Dangling { kind, value });
    }
}
