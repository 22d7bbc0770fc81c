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
    /// The file read once more, where an object of it is at fault.
    again: OnceCell<Option<DeTable<'a>>>,
    kind: PhantomData<T>,
}

impl<'a, T: Configured> ObjectReader<'a, T> {
    pub(super) fn new(text: &'a str) -> Self {
        Self {
            text,
            again: OnceCell::new(),
            kind: PhantomData,
        }
    }

    /// Reads the object that stands at an index among its kind in the file.
    pub(super) fn read(&self, index: usize, value: Spanned<DeValue<'a>>) -> Result<T, Unread> {
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(object) => Ok(object),
            Err(e) => Err(self.explain(index, &e)),
        }
    }

    /// Returns an object as it stands in the file, for messages.
    fn value(&self, index: usize) -> Option<&DeValue<'a>> {
        let again = || DeTable::parse(self.text).ok().map(Spanned::into_inner);
        let table = self.again.get_or_init(again).as_ref()?;
        let objects = table.get(T::KIND.as_str())?.get_ref().as_array()?;
        objects.get(index).map(Spanned::get_ref)
    }

    /// Finds all fields at fault.
    fn explain(&self, index: usize, e: &Error) -> Unread {
        let example = Example::new(T::KIND);
        let (Some(DeValue::Table(table)), Some(example)) = (self.value(index), example) else {
            return Unread {
                name: None,
                fields: vec![unnamed(e)],
            };
        };
        let mut fields = self.given(table, &example);
        fields.extend(self.missing(table, &example));
        if fields.is_empty() {
            fields.push(unnamed(e));
        }
        let name = table.get("name").or_else(|| table.get("net"));
        let name = name.and_then(|name| name.get_ref().as_str());
        Unread {
            name: name.map(str::to_owned),
            fields,
        }
    }

    /// Finds given fields at fault. Each is tried alone in the place of the
    /// same field of an example that can be read.
    fn given(&self, table: &DeTable<'a>, example: &Example) -> Vec<UnreadField> {
        let mut fields = Vec::new();
        for (key, value) in table {
            let problem = if example.table.contains_key(key) {
                let Err(e) = self.with(&example.table, key, Some(value)) else {
                    continue;
                };
                Problem::Malformed {
                    value: self.shown(value),
                    cause: e.message().trim().to_owned(),
                    example: example.line(key.get_ref()),
                }
            } else {
                let known = example.fields();
                Problem::UnknownField { known }
            };
            fields.push(UnreadField {
                name: Some(key.get_ref().to_string()),
                offset: Some(key.span().start),
                problem,
            });
        }
        fields
    }

    /// Finds fields that have to be there and are not.
    fn missing(&self, table: &DeTable<'a>, example: &Example) -> Vec<UnreadField> {
        let mut fields = Vec::new();
        for key in example.table.keys() {
            if table.contains_key(key) || self.with(&example.table, key, None).is_ok() {
                continue;
            }
            let example = example.line(key.get_ref());
            fields.push(UnreadField {
                name: Some(key.get_ref().to_string()),
                offset: None,
                problem: Problem::MissingField { example },
            });
        }
        fields
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
        let holds = |line: &&str| {
            let name = line.split_once(" = ").map(|(name, _)| name);
            name == Some(field)
        };
        let line = self.text.lines().find(holds);
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
