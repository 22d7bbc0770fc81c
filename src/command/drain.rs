//! The commands `drain add`, `drain remove` and `drain list`.

use std::fmt;

use humantime::format_duration;
use serde::Serialize;

use crate::{
    cli::{
        DrainAddArguments,
        DrainCommand,
        DrainTargetArguments, //
    },
    command::{
        CommandError,
        Context,
        configuration::PublishResult, //
    },
    config::object::{
        ConfigSet, //
        Drain,
        DrainTarget,
    },
    publish::{
        apply::{
            Publication,
            apply, //
        },
        head::WriteId,
        reader::load_set, //
    },
    util::id::{
        Generation,
        ObjectName, //
    },
};

/// Output line of `drain list`.
#[derive(Serialize)]
struct DrainLine<'a>(&'a Drain);

impl fmt::Display for DrainLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Drain {
            name,
            target,
            within,
        } = self.0;
        match target {
            DrainTarget::Zone(zone) => write!(f, "{name}: zone {zone}")?,
            DrainTarget::Pool(pool) => write!(f, "{name}: pool {pool}")?,
            DrainTarget::Upstream(upstream) => write!(f, "{name}: upstream {upstream}")?,
            DrainTarget::Host(host) => write!(f, "{name}: host {host}")?,
        }
        write!(f, " within {}", format_duration(*within))
    }
}

/// Runs a `drain` subcommand.
///
/// Additions and removals publish a new generation on top of the one that was read, so that a
/// concurrent change is reported as a conflict.
pub(super) async fn run(cx: &mut Context<'_>, command: DrainCommand) -> Result<(), CommandError> {
    let (generation, mut set) = load_current_set(cx).await?;
    match command {
        DrainCommand::List => {
            let drains: Vec<_> = set.drains.iter().map(DrainLine).collect();
            return cx.printer.list(&drains);
        }
        DrainCommand::Add(args) => add(&mut set, args)?,
        DrainCommand::Remove { name } => remove(&mut set, name)?,
    }
    let (store, _) = cx.store()?;
    let id = WriteId::random();
    let publication = Publication::new(id).with_expected(generation);
    let applied = apply(&store, set, publication).await?;
    cx.printer.print(&PublishResult::new(applied, id))
}

/// Loads the set in force and its generation.
async fn load_current_set(cx: &Context<'_>) -> Result<(Generation, ConfigSet), CommandError> {
    let (store, address) = cx.store()?;
    let found = load_set(&store).await?;
    found.ok_or(CommandError::NothingPublished(address))
}

fn add(set: &mut ConfigSet, args: DrainAddArguments) -> Result<(), CommandError> {
    if set.drains.iter().any(|drain| drain.name == args.name) {
        return Err(CommandError::DrainExists(args.name));
    }
    // clap's argument group requires exactly one target.
    for target in targets(args.target) {
        set.drains.push(Drain {
            name: args.name.clone(),
            target,
            within: args.within,
        });
    }
    Ok(())
}

fn remove(set: &mut ConfigSet, name: ObjectName) -> Result<(), CommandError> {
    let count_before = set.drains.len();
    set.drains.retain(|drain| drain.name != name);
    if set.drains.len() == count_before {
        let kind = "drain";
        return Err(CommandError::NoSuchObject { kind, name });
    }
    Ok(())
}

/// Returns the targets given on the command line.
fn targets(args: DrainTargetArguments) -> impl Iterator<Item = DrainTarget> {
    let zone = args.zone.map(DrainTarget::Zone);
    let pool = args.pool.map(DrainTarget::Pool);
    let upstream = args.upstream.map(DrainTarget::Upstream);
    let host = args.host.map(DrainTarget::Host);
    [zone, pool, upstream, host].into_iter().flatten()
}
