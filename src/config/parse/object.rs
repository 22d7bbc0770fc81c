//! Reading of one object, with a fault for each field that is at fault.

use std::marker::PhantomData;

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
const SHOWN_CHARS: usize = 80;

/// A field that is at fault.
pub(super) struct UnreadField {
    /// The field, where it is known.
    pub(super) name: Option<String>,
    /// Where it stands in the text.
    pub(super) offset: Option<usize>,
    /// What is wrong with it.
    pub(super) problem: Problem,
}

/// An object that could not be read.
pub(super) struct Unread {
    /// The object's name, where it has one.
    pub(super) name: Option<String>,
    /// Its fields at fault.
    pub(super) fields: Vec<UnreadField>,
}

/// Reads objects of one kind from a file's text.
pub(super) struct ObjectReader<'a, T> {
    text: &'a str,
    kind: PhantomData<T>,
}

impl<'a, T: Configured> ObjectReader<'a, T> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            kind: PhantomData,
        }
    }

    /// Reads an object.
    pub(super) fn read(&self, value: Spanned<DeValue<'a>>) -> Result<T, Unread> {
        match T::deserialize(ValueDeserializer::from(value.clone())) {
            Ok(object) => Ok(object),
            Err(e) => Err(self.explain(value.into_inner(), &e)),
        }
    }

    /// Finds all fields at fault. Each given field is tried alone in the place
    /// of the same field of an example that can be read.
    fn explain(&self, value: DeValue<'a>, e: &Error) -> Unread {
        let mut unread = Unread {
            name: None,
            fields: Vec::new(),
        };
        let DeValue::Table(table) = value else {
            unread.fields.push(unnamed(e));
            return unread;
        };
        let name = table.get("name").or_else(|| table.get("net"));
        unread.name = name.and_then(|name| name.get_ref().as_str().map(str::to_owned));
        let example = example(T::KIND);
        let Ok(example_table) = DeTable::parse(example) else {
            unread.fields.push(unnamed(e));
            return unread;
        };
        let example_table = example_table.into_inner();
        for (key, value) in &table {
            let problem = if example_table.contains_key(key.get_ref().as_ref()) {
                let Err(e) = self.with(&example_table, key, Some(value)) else {
                    continue;
                };
                Problem::Malformed {
                    value: self.shown(value),
                    cause: e.message().trim().to_owned(),
                    example: example_line(example, key.get_ref()),
                }
            } else {
                let known: Vec<_> = example_table.keys().map(|k| k.get_ref().as_ref()).collect();
                let known = known.join(", ");
                Problem::UnknownField { known }
            };
            unread.fields.push(UnreadField {
                name: Some(key.get_ref().to_string()),
                offset: Some(key.span().start),
                problem,
            });
        }
        for key in example_table.keys() {
            if table.contains_key(key) || self.with(&example_table, key, None).is_ok() {
                continue;
            }
            let example = example_line(example, key.get_ref());
            unread.fields.push(UnreadField {
                name: Some(key.get_ref().to_string()),
                offset: None,
                problem: Problem::MissingField { example },
            });
        }
        if unread.fields.is_empty() {
            unread.fields.push(unnamed(e));
        }
        unread
    }

    /// Reads an example with one field set to another value or left out.
    fn with(
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

    fn shown(&self, value: &Spanned<DeValue<'_>>) -> String {
        let text = self.text.get(value.span()).unwrap_or_default();
        if text.chars().count() <= SHOWN_CHARS {
            return text.to_owned();
        }
        let mut shown: String = text.chars().take(SHOWN_CHARS).collect();
        shown.push('…');
        shown
    }
}

fn unnamed(e: &Error) -> UnreadField {
    UnreadField {
        name: None,
        offset: None,
        problem: Problem::Syntax {
            cause: e.message().to_owned(),
        },
    }
}

/// Returns the line of an example that holds a field.
fn example_line(example: &str, field: &str) -> String {
    let holds = |line: &&str| {
        line.split_once(" = ")
            .is_some_and(|(name, _)| name == field)
    };
    let line = example.lines().find(holds);
    line.unwrap_or_default().to_owned()
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
