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
            load_set,
            load_set_of_write, //
        },
    },
    store::{
        ListedState,
        ObjectStore,
        http::HttpStore, //
    },
    util::id::Generation,
};

/// Output of `check`.
#[derive(Serialize)]
struct CheckResult {
    /// Number of objects in the set.
    objects: usize,
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} objects, no faults", self.objects)
    }
}

/// Output of `apply` and of the commands that change drains.
#[derive(Serialize)]
pub(super) struct PublishResult {
    generation: Generation,
    write_id: String,
    chunks: usize,
    bytes: usize,
    read_back: bool,
}

impl PublishResult {
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

impl fmt::Display for PublishResult {
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

/// Reads a configuration set from a file or folder and validates it.
fn read_set(path: &Path) -> Result<ConfigSet, CommandError> {
    Ok(parse(&read(path)?)?)
}

/// Validates a set; with `--hosts` also checks it against the platform's host list.
pub(super) async fn check(cx: &mut Context<'_>, args: &CheckArguments) -> Result<(), CommandError> {
    let set = read_set(&args.path)?;
    if args.hosts {
        let (store, _) = cx.store()?;
        check_hosts(&store, &set).await?;
    }
    let objects = set.len();
    cx.printer.print(&CheckResult { objects })
}

/// Checks that the platform lists a live entry host in every zone of the set.
async fn check_hosts(store: &HttpStore, set: &ConfigSet) -> Result<(), CommandError> {
    let hosts = store.hosts().await.map_err(PublishError::Store)?;
    let live_hosts = hosts.iter().filter(|host| host.state == ListedState::Live);
    let served_zones: HashSet<_> = live_hosts.map(|host| &host.zone).collect();
    let mut missing = Vec::new();
    for zone in &set.zones {
        if !served_zones.contains(&zone.name) {
            missing.push(zone.name.clone());
        }
    }
    if missing.is_empty() {
        return Ok(());
    }
    Err(CommandError::ZonesWithoutHosts(missing))
}

/// Prints the differences from the set in force, or from another set of files.
pub(super) async fn diff(cx: &mut Context<'_>, args: &DiffArguments) -> Result<(), CommandError> {
    let new = read_set(&args.path)?;
    let old = match &args.from {
        Some(path) => read_set(path)?,
        None => {
            let (store, _) = cx.store()?;
            load_set(&store)
                .await?
                .map_or_else(ConfigSet::default, |(_, set)| set)
        }
    };
    cx.printer.list(&differences(&old, &new))
}

/// Validates a set and publishes it as the next generation.
pub(super) async fn apply(cx: &mut Context<'_>, args: &ApplyArguments) -> Result<(), CommandError> {
    let set = read_set(&args.path)?;
    let (store, _) = cx.store()?;
    let id = args.write_id.unwrap_or_else(WriteId::random);
    let mut publication = Publication::new(id);
    publication.expected = args.expect;
    let applied = apply::apply(&store, set, publication).await?;
    cx.printer.print(&PublishResult::new(applied, id))
}

/// Prints the set in force, or that of an earlier generation.
pub(super) async fn get(cx: &mut Context<'_>, args: &GetArguments) -> Result<(), CommandError> {
    let (store, address) = cx.store()?;
    let set = match args.generation {
        None => load_set(&store).await?.map(|(_, set)| set),
        Some(generation) => {
            let head = read_head(&store).await?;
            let id = head.and_then(|at| at.head.write_of(generation));
            let id = id.ok_or(CommandError::GenerationNotListed(generation))?;
            load_set_of_write(&store, id).await?
        }
    };
    let set = set.ok_or(CommandError::NothingPublished(address))?;
    let text = match cx.output {
        Output::Text => toml::to_string(&set)?,
        Output::Json => serde_json::to_string(&set)? + "\n",
    };
    cx.printer.raw(text.as_bytes())
}
