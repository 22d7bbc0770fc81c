//! Parses one object, and reports a fault for each invalid field.
//!
//! Serde stops at the first error. To report all of them, each field is parsed
//! separately within a valid example object of the same kind.

use std::{
    cell::OnceCell,
    marker::PhantomData, //
};

use toml::{
    Spanned,
    de::{
        DeTable,
        DeValue,
        Error,
        ValueDeserializer, //
    },
};

use crate::config::{
    fault::Problem,
    kind::{
        ConfigObject,
        ObjectKind, //
    },
};

/// Maximum length of a value quoted in a message, in characters.
const EXCERPT_MAX_CHARS: usize = 80;

/// An invalid, unknown or missing field.
pub(super) struct FieldError {
    /// The field's name; absent if the error cannot be attributed to a field.
    pub(super) name: Option<String>,
    /// The byte offset in the file; absent for a missing or unidentified field.
    pub(super) offset: Option<usize>,
    /// The problem and its remedy.
    pub(super) problem: Problem,
}

/// The errors of an object that could not be parsed.
pub(super) struct ObjectError {
    /// The object's name or address range, if it could be parsed.
    pub(super) name: Option<String>,
    /// The faulty fields, at least one.
    pub(super) fields: Vec<FieldError>,
}

/// Parses objects of one kind from a file's text.
pub(super) struct ObjectReader<'a, T> {
    text: &'a str,
    /// The file parsed again, on the first faulty object: deserializing consumes
    /// the original value.
    reparsed: OnceCell<Option<DeTable<'a>>>,
    kind: PhantomData<T>,
}

impl<'a, T: ConfigObject> ObjectReader<'a, T> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            reparsed: OnceCell::new(),
            kind: PhantomData,
        }
    }

    /// Parses the object at an index among its kind in the file.
    pub(super) fn read(&self, index: usize, value: Spanned<DeValue<'a>>) -> Result<T, ObjectError> {
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(object) => Ok(object),
            Err(e) => Err(self.explain(index, &e)),
        }
    }

    /// Returns the raw TOML value of an object from the reparsed file.
    fn reparsed_object(&self, index: usize) -> Option<&DeValue<'a>> {
        let reparsed = || DeTable::parse(self.text).ok().map(Spanned::into_inner);
        let table = self.reparsed.get_or_init(reparsed).as_ref()?;
        let objects = table.get(T::KIND.as_str())?.get_ref().as_array()?;
        objects.get(index).map(Spanned::get_ref)
    }

    /// Returns all faulty fields of an object that failed to parse.
    fn explain(&self, index: usize, e: &Error) -> ObjectError {
        let example = Example::new(T::KIND);
        let (Some(DeValue::Table(table)), Some(example)) = (self.reparsed_object(index), example)
        else {
            return ObjectError {
                name: None,
                fields: vec![without_field_name(e)],
            };
        };
        let mut fields = self.faulty_fields(table, &example);
        fields.extend(self.missing_fields(table, &example));
        if fields.is_empty() {
            fields.push(without_field_name(e));
        }
        let name = table.get("name").or_else(|| table.get("net"));
        let name = name.and_then(|name| name.get_ref().as_str());
        ObjectError {
            name: name.map(str::to_owned),
            fields,
        }
    }

    /// Returns the unknown and invalid fields of an object. Each value is parsed
    /// separately, as a substitute for the same field of the valid example.
    fn faulty_fields(&self, table: &DeTable<'a>, example: &Example) -> Vec<FieldError> {
        let mut fields = Vec::new();
        for (key, value) in table {
            let problem = if example.table.contains_key(key) {
                let Err(e) = self.read_example_with(&example.table, key, Some(value)) else {
                    continue;
                };
                Problem::Malformed {
                    value: self.excerpt(value),
                    cause: e.message().trim().to_owned(),
                    example: example.line(key.get_ref()),
                }
            } else {
                let known = example.fields();
                Problem::UnknownField { known }
            };
            fields.push(FieldError {
                name: Some(key.get_ref().to_string()),
                offset: Some(key.span().start),
                problem,
            });
        }
        fields
    }

    /// Returns the required fields that an object lacks.
    fn missing_fields(&self, table: &DeTable<'a>, example: &Example) -> Vec<FieldError> {
        let mut fields = Vec::new();
        for key in example.table.keys() {
            if table.contains_key(key) || self.read_example_with(&example.table, key, None).is_ok()
            {
                continue;
            }
            let example = example.line(key.get_ref());
            fields.push(FieldError {
                name: Some(key.get_ref().to_string()),
                offset: None,
                problem: Problem::MissingField { example },
            });
        }
        fields
    }

    /// Parses the example with one field replaced, or removed for `None`.
    fn read_example_with(
        &self,
        example: &DeTable<'a>,
        key: &Spanned<std::borrow::Cow<'a, str>>,
        value: Option<&Spanned<DeValue<'a>>>,
    ) -> Result<T, Error> {
        let mut table = example.clone();
        table.remove(key);
        if let Some(value) = value {
            table.insert(key.clone(), value.clone());
        }
        let table = Spanned::new(0..0, DeValue::Table(table));
        T::deserialize(ValueDeserializer::from(table))
    }

    /// Returns a value's source text, shortened to [`EXCERPT_MAX_CHARS`].
    fn excerpt(&self, value: &Spanned<DeValue<'_>>) -> String {
        let text = self.text.get(value.span()).unwrap_or_default();
        if text.chars().count() <= EXCERPT_MAX_CHARS {
            return text.to_owned();
        }
        let mut excerpt: String = text.chars().take(EXCERPT_MAX_CHARS).collect();
        excerpt.push('…');
        excerpt
    }
}

/// Returns an error that cannot be attributed to a field.
fn without_field_name(e: &Error) -> FieldError {
    FieldError {
        name: None,
        offset: None,
        problem: Problem::Syntax {
            cause: e.message().to_owned(),
        },
    }
}

/// A valid example object of a kind, with all its fields.
struct Example {
    text: &'static str,
    table: DeTable<'static>,
}

impl Example {
    fn new(kind: ObjectKind) -> Option<Self> {
        let text = example(kind);
        let table = DeTable::parse(text).ok()?.into_inner();
        Some(Self { text, table })
    }

    /// Returns the names of all fields, separated by commas.
    fn fields(&self) -> String {
        let fields: Vec<_> = self
            .table
            .keys()
            .map(|key| key.get_ref().as_ref())
            .collect();
        fields.join(", ")
    }

    /// Returns the line of the example that sets a field.
    fn line(&self, field: &str) -> String {
        let defines_field = |line: &&str| {
            let name = line.split_once(" = ").map(|(name, _)| name);
            name == Some(field)
        };
        let line = self.text.lines().find(defines_field);
        line.unwrap_or_default().to_owned()
    }
}

/// Returns the TOML text of the example object of a kind.
const fn example(kind: ObjectKind) -> &'static str {
    match kind {
        ObjectKind::Region => include_str!("example/region.toml"),
        ObjectKind::Zone => include_str!("example/zone.toml"),
        ObjectKind::Link => include_str!("example/link.toml"),
        ObjectKind::Service => include_str!("example/service.toml"),
        ObjectKind::Route => include_str!("example/route.toml"),
        ObjectKind::Organisation => include_str!("example/organisation.toml"),
        ObjectKind::Key => include_str!("example/key.toml"),
        ObjectKind::Pool => include_str!("example/pool.toml"),
        ObjectKind::Drain => include_str!("example/drain.toml"),
        ObjectKind::Block => include_str!("example/block.toml"),
    }
}
