//! The commands `check`, `diff`, `apply` and `get`.

use std::{
    collections::HashSet,
    fmt,
    path::Path, //
};

use serde::Serialize;

use crate::{
    cli::{
        ApplyArguments,
        CheckArguments,
        DiffArguments,
        GetArguments,
        Output, //
    },
    command::{
        CommandError,
        Context, //
    },
    config::{
        difference::differences,
        object::ConfigSet,
        parse::{
            parse,
            read, //
        },
    },
    publish::{
        PublishError,
        apply::{
            self,
            Applied,
            Publication, //
        },
        head::WriteId,
        read_head,
        reader::{
            load,
            load_write, //
        },
    },
    store::{
        ListedState,
        ObjectStore,
        http::HttpStore, //
    },
    util::id::Generation,
};

/// The result of `check`.
#[derive(Serialize)]
struct Checked {
    /// The objects of the set.
    objects: usize,
}

impl fmt::Display for Checked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} objects, no faults", self.objects)
    }
}

/// The result of a publication.
#[derive(Serialize)]
pub(super) struct Published {
    generation: Generation,
    write_id: String,
    chunks: usize,
    bytes: usize,
    read_back: bool,
}

impl Published {
    pub(super) fn new(applied: Applied, id: WriteId) -> Self {
        Self {
            generation: applied.generation,
            write_id: id.to_string(),
            chunks: applied.chunks,
            bytes: applied.chunk_bytes + applied.head_bytes,
            read_back: applied.read_back,
        }
    }
}

impl fmt::Display for Published {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "published generation {}", self.generation)?;
        write!(f, " (write {}, {} new chunks,", self.write_id, self.chunks)?;
        write!(f, " {} bytes)", self.bytes)?;
        if self.read_back {
            write!(f, "; found by reading back, because an answer was lost")?;
        }
        Ok(())
    }
}

/// Reads and checks a set of files.
fn read_set(path: &Path) -> Result<ConfigSet, CommandError> {
    Ok(parse(&read(path)?)?)
}

/// Checks files.
pub(super) async fn check(cx: &mut Context<'_>, args: &CheckArguments) -> Result<(), CommandError> {
    let set = read_set(&args.path)?;
    if args.hosts {
        let (store, _) = cx.store()?;
        check_hosts(&store, &set).await?;
    }
    let objects = set.len();
    cx.printer.print(&Checked { objects })
}

async fn check_hosts(store: &HttpStore, set: &ConfigSet) -> Result<(), CommandError> {
    let hosts = store.hosts().await.map_err(PublishError::Store)?;
    let live = hosts.iter().filter(|host| host.state == ListedState::Live);
    let served: HashSet<_> = live.map(|host| &host.zone).collect();
    let mut without = Vec::new();
    for zone in &set.zones {
        if !served.contains(&zone.name) {
            without.push(zone.name.clone());
        }
    }
    if without.is_empty() {
        return Ok(());
    }
    Err(CommandError::ZonesWithoutHosts(without))
}

/// Shows what changes.
pub(super) async fn diff(cx: &mut Context<'_>, args: &DiffArguments) -> Result<(), CommandError> {
    let new = read_set(&args.path)?;
    let old = match &args.from {
        Some(path) => read_set(path)?,
        None => {
            let (store, _) = cx.store()?;
            load(&store)
                .await?
                .map_or_else(ConfigSet::default, |(_, set)| set)
        }
    };
    cx.printer.list(&differences(&old, &new))
}

/// Publishes files.
pub(super) async fn apply(cx: &mut Context<'_>, args: &ApplyArguments) -> Result<(), CommandError> {
    let set = read_set(&args.path)?;
    let (store, _) = cx.store()?;
    let id = args.write_id.unwrap_or_else(WriteId::random);
    let mut publication = Publication::new(id);
    publication.expected = args.expect;
    let applied = apply::apply(&store, set, publication).await?;
    cx.printer.print(&Published::new(applied, id))
}

/// Prints the set in force or an earlier one.
pub(super) async fn get(cx: &mut Context<'_>, args: &GetArguments) -> Result<(), CommandError> {
    let (store, address) = cx.store()?;
    let set = match args.generation {
        None => load(&store).await?.map(|(_, set)| set),
        Some(generation) => {
            let head = read_head(&store).await?;
            let id = head.and_then(|at| at.head.write_of(generation));
            let id = id.ok_or(CommandError::Forgotten(generation))?;
            load_write(&store, id).await?
        }
    };
    let set = set.ok_or(CommandError::Nothing(address))?;
    let text = match cx.output {
        Output::Text => toml::to_string(&set)?,
        Output::Json => serde_json::to_string(&set)? + "\n",
    };
    cx.printer.raw(text.as_bytes())
}
