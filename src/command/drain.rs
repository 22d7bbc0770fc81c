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
        configuration::Published, //
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
        reader::load, //
    },
    util::id::{
        Generation,
        ObjectName, //
    },
};

/// A drain as it is listed.
#[derive(Serialize)]
struct Listed<'a>(&'a Drain);

impl fmt::Display for Listed<'_> {
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

/// Runs a command about drains.
pub(super) async fn run(cx: &mut Context<'_>, command: DrainCommand) -> Result<(), CommandError> {
    let (generation, mut set) = in_force(cx).await?;
    match command {
        DrainCommand::List => {
            let drains: Vec<_> = set.drains.iter().map(Listed).collect();
            return cx.printer.list(&drains);
        }
        DrainCommand::Add(args) => add(&mut set, args)?,
        DrainCommand::Remove { name } => remove(&mut set, name)?,
    }
    let (store, _) = cx.store()?;
    let id = WriteId::random();
    let publication = Publication::new(id).with_expected(generation);
    let applied = apply(&store, set, publication).await?;
    cx.printer.print(&Published::new(applied, id))
}

async fn in_force(cx: &Context<'_>) -> Result<(Generation, ConfigSet), CommandError> {
    let (store, address) = cx.store()?;
    let found = load(&store).await?;
    found.ok_or(CommandError::Nothing(address))
}

fn add(set: &mut ConfigSet, args: DrainAddArguments) -> Result<(), CommandError> {
    if set.drains.iter().any(|drain| drain.name == args.name) {
        return Err(CommandError::DrainExists(args.name));
    }
    // The command line demands exactly one target.
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
    let before = set.drains.len();
    set.drains.retain(|drain| drain.name != name);
    if set.drains.len() == before {
        let kind = "drain";
        return Err(CommandError::NoSuchObject { kind, name });
    }
    Ok(())
}

fn targets(args: DrainTargetArguments) -> impl Iterator<Item = DrainTarget> {
    let zone = args.zone.map(DrainTarget::Zone);
    let pool = args.pool.map(DrainTarget::Pool);
    let upstream = args.upstream.map(DrainTarget::Upstream);
    let host = args.host.map(DrainTarget::Host);
    [zone, pool, upstream, host].into_iter().flatten()
}
