//! Parses a configuration set from TOML files.

mod object;

use std::{
    fs,
    io, //
    path::{
        Path,
        PathBuf, //
    },
};

use thiserror::Error;
use toml::{
    Spanned,
    de::{
        DeTable,
        DeValue, //
    },
};

use crate::config::{
    check::faults,
    fault::{
        Fault,
        Faults,
        Locations,
        Problem,
        sort, //
    },
    kind::{
        ConfigObject,
        ObjectKind,
        for_each_kind, //
    },
    object::*,
    parse::object::ObjectReader,
};

/// The extension of configuration files in a folder.
const FILE_EXTENSION: &str = "toml";

/// The text of one configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// The file's path, used in messages.
    pub file: String,
    /// The file's content.
    pub text: String,
}

/// A failure to read configuration files.
#[derive(Debug, Error)]
pub enum ReadError {
    /// A file or folder cannot be read.
    #[error("{path:?} could not be read ({cause}); name a TOML file or a folder of them")]
    Unreadable {
        /// The path of the file or folder.
        path: PathBuf,
        /// The operating system's error.
        cause: io::Error,
    },
    /// A folder contains no TOML file.
    #[error("folder {0:?} contains no .toml file; name another folder")]
    Empty(PathBuf),
}

/// Reads a TOML file, or all TOML files of a folder in order of their paths.
pub fn read(path: &Path) -> Result<Vec<SourceFile>, ReadError> {
    let unreadable = |path: &Path| {
        let path = path.to_owned();
        |cause| ReadError::Unreadable { path, cause }
    };
    if !path.is_dir() {
        let text = fs::read_to_string(path).map_err(unreadable(path))?;
        let file = path.display().to_string();
        return Ok(vec![SourceFile { file, text }]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(unreadable(path))? {
        let file = entry.map_err(unreadable(path))?.path();
        if file.extension().is_some_and(|ext| ext == FILE_EXTENSION) {
            files.push(file);
        }
    }
    files.sort();
    let mut sources = Vec::with_capacity(files.len());
    for file in files {
        let text = fs::read_to_string(&file).map_err(unreadable(&file))?;
        let file = file.display().to_string();
        sources.push(SourceFile { file, text });
    }
    if sources.is_empty() {
        return Err(ReadError::Empty(path.to_owned()));
    }
    Ok(sources)
}

/// Parses and validates a set; all faults are reported at once.
pub fn parse(sources: &[SourceFile]) -> Result<ConfigSet, Faults> {
    let mut parser = Parser {
        set: ConfigSet {
            schema: SCHEMA,
            ..ConfigSet::default()
        },
        locations: Locations::default(),
        faults: Vec::new(),
    };
    for source in sources {
        parser.file(source);
    }
    let any_unread = !parser.faults.is_empty();
    for fault in faults(&parser.set, &parser.locations) {
        // The missing object may be one that could not be parsed.
        if any_unread && fault.problem.needs_whole_set() {
            continue;
        }
        parser.faults.push(fault);
    }
    if !parser.faults.is_empty() {
        let mut faults = parser.faults;
        sort(&mut faults);
        return Err(Faults(faults));
    }
    parser.set.sort();
    Ok(parser.set)
}

/// The objects and faults that were read so far.
struct Parser {
    set: ConfigSet,
    locations: Locations,
    faults: Vec<Fault>,
}

impl Parser {
    /// Parses one file.
    fn file(&mut self, source: &SourceFile) {
        let file = self.locations.add_file(&source.file);
        let lines = Lines::new(&source.text);
        let table = match DeTable::parse(&source.text) {
            Ok(table) => table.into_inner(),
            Err(e) => {
                let line = e.span().map_or(1, |span| lines.line_at(span.start));
                let cause = e.message().to_owned();
                self.add_fault(file, line, Problem::Syntax { cause });
                return;
            }
        };
        let text = &source.text;
        if !table.contains_key("schema") {
            let value = "(none)".to_owned();
            self.add_fault(
                file,
                1,
                Problem::Schema {
                    value,
                    known: SCHEMA,
                },
            );
        }
        for (key, value) in table {
            let line = lines.line_at(key.span().start);
            self.entry(file, line, key.get_ref(), value, text, &lines);
        }
    }

    /// Parses one top-level key of a file: the schema version or a list of objects.
    fn entry(
        &mut self,
        file: u32,
        line: u32,
        key: &str,
        value: Spanned<DeValue<'_>>,
        text: &str,
        lines: &Lines,
    ) {
        if key == "schema" {
            let raw = text.get(value.span()).unwrap_or_default();
            if raw != SCHEMA.to_string() {
                let value = raw.to_owned();
                self.add_fault(
                    file,
                    line,
                    Problem::Schema {
                        value,
                        known: SCHEMA,
                    },
                );
            }
            return;
        }
        macro_rules! read {
            ($($field:ident: $type:ident),*) => {$(
                if key == $type::KIND.as_str() {
                    return self.kind::<$type>(file, line, value, text, lines);
                }
            )*};
        }
        for_each_kind!(read);
        let known: Vec<_> = ObjectKind::ALL.iter().map(|kind| kind.as_str()).collect();
        let problem = Problem::UnknownKind {
            value: key.to_owned(),
            known: known.join(", "),
        };
        self.add_fault(file, line, problem);
    }

    /// Parses the objects of one kind.
    fn kind<T: ConfigObject>(
        &mut self,
        file: u32,
        line: u32,
        value: Spanned<DeValue<'_>>,
        text: &str,
        lines: &Lines,
    ) {
        let reader = ObjectReader::<T>::new(text);
        let DeValue::Array(objects) = value.into_inner() else {
            let problem = Problem::Malformed {
                value: T::KIND.to_string(),
                cause: "not a list of tables".to_owned(),
                example: format!("[[{}]]", T::KIND),
            };
            self.add_fault(file, line, problem);
            return;
        };
        for (i, object) in objects.into_iter().enumerate() {
            let line = lines.line_at(object.span().start);
            match reader.read(i, object) {
                Ok(object) => {
                    self.locations.add(T::KIND, file, line);
                    T::all_mut(&mut self.set).push(object);
                }
                Err(e) => {
                    let name = e.name.unwrap_or_else(|| format!("#{}", i + 1));
                    for field in e.fields {
                        let line = field.offset.map_or(line, |offset| lines.line_at(offset));
                        self.faults.push(Fault {
                            location: self.locations.location(file, line),
                            kind: Some(T::KIND),
                            object: Some(name.clone()),
                            field: field.name,
                            problem: field.problem,
                        });
                    }
                }
            }
        }
    }

    /// Adds a fault that belongs to no single object.
    fn add_fault(&mut self, file: u32, line: u32, problem: Problem) {
        self.faults.push(Fault {
            location: self.locations.location(file, line),
            kind: None,
            object: None,
            field: None,
            problem,
        });
    }
}

/// The byte offsets at which lines start, without the first line.
struct Lines(Vec<usize>);

impl Lines {
    fn new(text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Self(newlines.map(|(i, _)| i + 1).collect())
    }

    /// Returns the line number of a byte offset, starting at 1.
    fn line_at(&self, offset: usize) -> u32 {
        self.0.partition_point(|&start| start <= offset) as u32 + 1
    }
}
