//! Measures the slopes of the system and writes docs/CAPACITY.md from them.

use std::{
    fs,
    path::PathBuf,
    time::Duration, //
};

use cardamomroad::{
    config::diff::Delta,
    util::id::Generation, //
};
use cardamomroad_standins::capacity::{
    Point,
    Slope,
    Slopes,
    TARGET,
    page::page,
    sets::{
        self,
        Size, //
    },
    table::lookup_nanos,
    trial::Trial, //
};
use clap::Parser;
use eyre::Result;

/// Client blocks at which slopes over blocks are measured.
const BLOCKS: [usize; 3] = [3_000, 75_000, 300_000];
/// Light peers at which slopes over hosts are measured.
const PEERS: [usize; 4] = [11, 53, 107, 216];
/// Light peers in each other zone, as many as a host keeps of it.
const ELSEWHERE: usize = 4;
/// Changes that are applied for each number of blocks.
const CHANGES: usize = 10;
/// How long a host is watched for each number of peers.
const WATCH: Duration = Duration::from_secs(20);
/// How long a host settles before it is watched.
const SETTLE: Duration = Duration::from_secs(15);
/// Connections of the look-up load, and look-ups on each.
const CONNECTIONS: usize = 4;
const LOOKUPS_EACH: usize = 20_000;
/// Milliseconds in a second.
const MILLIS: f64 = 1e3;

#[derive(Parser)]
#[command(about)]
struct Arguments {
    /// The page to write.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Where the slopes are kept as JSON.
    #[arg(long)]
    slopes: Option<PathBuf>,
}

fn main() -> Result<()> {
    run()
}

fn run() -> Result<()> {
    let args = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let slopes = runtime.block_on(measure())?;
    if let Some(path) = &args.slopes {
        fs::write(path, serde_json::to_string_pretty(&slopes)?)?;
    }
    let command = "cargo build --release --workspace && target/release/cardamomroad-capacity";
    fs::write(&args.page, page(&slopes, command)?)?;
    println!("wrote {}", args.page.display());
    Ok(())
}

const fn target_size(blocks: usize) -> Size {
    Size {
        regions: TARGET.regions as usize,
        zones: TARGET.zones as usize,
        sites: TARGET.sites as usize,
        blocks,
    }
}

/// What the trials over client blocks gave.
#[derive(Default)]
struct OverBlocks {
    memory: Vec<Point>,
    change: Vec<Point>,
    force: Vec<Point>,
    start_seconds: f64,
    lookup_us: f64,
    lookup_rate: f64,
    quiet_ms: f64,
    changing_ms: f64,
}

/// What the trials over hosts gave.
#[derive(Default)]
struct OverHosts {
    cores: Vec<Point>,
    sent: Vec<Point>,
    received: Vec<Point>,
    memory: Vec<Point>,
    calls: Vec<Point>,
    beat_bytes: f64,
}

async fn measure() -> Result<Slopes> {
    let blocks = over_blocks().await?;
    let hosts = over_hosts().await?;
    let lookups = lookup_nanos(target_size(0), &BLOCKS)?;
    Ok(Slopes {
        memory_blocks: Slope::new("resident bytes", "client blocks", blocks.memory),
        lookup_blocks: Slope::new("ns a look-up in the table", "client blocks", lookups),
        change_blocks: Slope::new("processor ms a change", "client blocks", blocks.change),
        force_blocks: Slope::new("s to in force at the relay", "client blocks", blocks.force),
        cores_hosts: Slope::new("cores", "hosts of the zone", hosts.cores),
        sent_hosts: Slope::new("bytes/s sent", "hosts of the zone", hosts.sent),
        received_hosts: Slope::new("bytes/s received", "hosts of the zone", hosts.received),
        memory_hosts: Slope::new("resident bytes", "hosts of the zone", hosts.memory),
        calls_hosts: Slope::new("store calls/s", "hosts of the zone", hosts.calls),
        lookup_http_us: blocks.lookup_us,
        lookup_http_rate: blocks.lookup_rate,
        delta_bytes: delta_bytes()?,
        beat_bytes: hosts.beat_bytes,
        start_seconds: blocks.start_seconds,
        lookup_p999_changing_ms: blocks.changing_ms,
        lookup_p999_quiet_ms: blocks.quiet_ms,
        machine_cores: std::thread::available_parallelism()?.get(),
    })
}

async fn over_blocks() -> Result<OverBlocks> {
    let mut over = OverBlocks::default();
    for blocks in BLOCKS {
        let mut trial = Trial::start(sets::set(target_size(blocks))?, 2, 0).await?;
        tokio::time::sleep(SETTLE).await;
        let idle = trial.usage(WATCH / 4).await;
        let size = blocks as f64;
        over.memory.push(Point {
            size,
            value: idle.memory,
        });
        let before = trial.processor_seconds();
        let mut seconds = 0.0;
        for _ in 0..CHANGES {
            seconds += trial.change().await?;
        }
        let used = trial.processor_seconds() - before - idle.cores * seconds;
        over.change.push(Point {
            size,
            value: used.max(0.0) * MILLIS / CHANGES as f64,
        });
        over.force.push(Point {
            size,
            value: seconds / CHANGES as f64,
        });
        if blocks as u64 == TARGET.blocks {
            look_up_under_changes(&mut trial, &mut over).await?;
        }
        println!("blocks {blocks}: {:.1} MB", idle.memory / 1e6);
    }
    Ok(over)
}

async fn look_up_under_changes(trial: &mut Trial, over: &mut OverBlocks) -> Result<()> {
    over.start_seconds = trial.start_seconds;
    let quiet = trial.lookups(CONNECTIONS, LOOKUPS_EACH).await?;
    over.lookup_us = quiet.processor_us;
    over.lookup_rate = quiet.rate;
    over.quiet_ms = quiet.p999_ms;
    let changing = trial
        .lookups_under_changes(CONNECTIONS, LOOKUPS_EACH)
        .await?;
    over.changing_ms = changing.p999_ms;
    Ok(())
}

async fn over_hosts() -> Result<OverHosts> {
    let mut over = OverHosts::default();
    for peers in PEERS {
        let size = Size {
            sites: 2 * TARGET.zones as usize,
            ..target_size(100)
        };
        let trial = Trial::start(sets::set(size)?, peers, ELSEWHERE).await?;
        tokio::time::sleep(SETTLE).await;
        let usage = trial.usage(WATCH).await;
        let size = (peers + 1) as f64;
        let at = |value| Point { size, value };
        over.cores.push(at(usage.cores));
        over.sent.push(at(usage.sent));
        over.received.push(at(usage.received));
        over.memory.push(at(usage.memory));
        over.calls.push(at(usage.calls));
        over.beat_bytes = (usage.sent + usage.received) / usage.beats.max(1.0);
        println!(
            "hosts {size}: {:.2}% of a core, {:.0} B/s sent, {:.0} B/s received, {:.1} beats/s, {:.1} store calls/s",
            usage.cores * 100.0,
            usage.sent,
            usage.received,
            usage.beats,
            usage.calls
        );
    }
    Ok(over)
}

/// Returns the bytes of a delta that changes one route.
fn delta_bytes() -> Result<f64> {
    let mut old = sets::set(target_size(100))?;
    old.sort();
    let mut new = old.clone();
    new.routes[0].deadline += Duration::from_millis(1);
    let delta = Delta::between(Generation(1), &old, Generation(2), &new);
    Ok(delta.encode()?.len() as f64)
}
