//! Reading of one object, with a fault for each field that is at fault.

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
        Configured,
        Kind, //
    },
};

/// The longest piece of a value that a message repeats, in characters.
const EXCERPT_MAX_CHARS: usize = 80;

/// A field that is at fault.
pub(super) struct FieldError {
    /// The field, where it is known.
    pub(super) name: Option<String>,
    /// Where it stands in the text.
    pub(super) offset: Option<usize>,
    /// What is wrong with it.
    pub(super) problem: Problem,
}

/// An object that could not be read.
pub(super) struct ObjectError {
    /// The object's name, where it has one.
    pub(super) name: Option<String>,
    /// Its fields at fault.
    pub(super) fields: Vec<FieldError>,
}

/// Reads objects of one kind from a file's text.
pub(super) struct ObjectReader<'a, T> {
    text: &'a str,
    /// The file read once more, where an object of it is at fault.
    reparsed: OnceCell<Option<DeTable<'a>>>,
    kind: PhantomData<T>,
}

impl<'a, T: Configured> ObjectReader<'a, T> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            reparsed: OnceCell::new(),
            kind: PhantomData,
        }
    }

    /// Reads the object that stands at an index among its kind in the file.
    pub(super) fn read(&self, index: usize, value: Spanned<DeValue<'a>>) -> Result<T, ObjectError> {
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(object) => Ok(object),
            Err(e) => Err(self.explain(index, &e)),
        }
    }

    /// Returns an object as it stands in the file, for messages.
    fn reparsed_object(&self, index: usize) -> Option<&DeValue<'a>> {
        let reparsed = || DeTable::parse(self.text).ok().map(Spanned::into_inner);
        let table = self.reparsed.get_or_init(reparsed).as_ref()?;
        let objects = table.get(T::KIND.as_str())?.get_ref().as_array()?;
        objects.get(index).map(Spanned::get_ref)
    }

    /// Finds all fields at fault.
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

    /// Finds given fields at fault. Each is tried alone in the place of the
    /// same field of an example that can be read.
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

    /// Finds fields that have to be there and are not.
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

    /// Reads an example with one field set to another value or left out.
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

fn without_field_name(e: &Error) -> FieldError {
    FieldError {
        name: None,
        offset: None,
        problem: Problem::Syntax {
            cause: e.message().to_owned(),
        },
    }
}

/// An object of a kind with all its fields.
struct Example {
    text: &'static str,
    table: DeTable<'static>,
}

impl Example {
    fn new(kind: Kind) -> Option<Self> {
        let text = example(kind);
        let table = DeTable::parse(text).ok()?.into_inner();
        Some(Self { text, table })
    }

    /// Returns the names of all fields.
    fn fields(&self) -> String {
        let fields: Vec<_> = self
            .table
            .keys()
            .map(|key| key.get_ref().as_ref())
            .collect();
        fields.join(", ")
    }

    /// Returns the line that holds a field.
    fn line(&self, field: &str) -> String {
        let defines_field = |line: &&str| {
            let name = line.split_once(" = ").map(|(name, _)| name);
            name == Some(field)
        };
        let line = self.text.lines().find(defines_field);
        line.unwrap_or_default().to_owned()
    }
}

/// Returns an object of a kind with all its fields.
const fn example(kind: Kind) -> &'static str {
    match kind {
        Kind::Region => include_str!("example/region.toml"),
        Kind::Zone => include_str!("example/zone.toml"),
        Kind::Link => include_str!("example/link.toml"),
        Kind::Service => include_str!("example/service.toml"),
        Kind::Route => include_str!("example/route.toml"),
        Kind::Organisation => include_str!("example/organisation.toml"),
        Kind::Key => include_str!("example/key.toml"),
        Kind::Pool => include_str!("example/pool.toml"),
        Kind::Drain => include_str!("example/drain.toml"),
        Kind::Block => include_str!("example/block.toml"),
    }
}
