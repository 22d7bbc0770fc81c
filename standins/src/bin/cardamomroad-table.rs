//! Measures the look-up table at the target size: time, memory, and the cost of a change.

use std::{
    fs,
    hint::black_box,
    net::{
        IpAddr,
        Ipv4Addr, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use cardamomroad::{
    blocks::{
        Blocks,
        Change, //
    },
    config::object::{
        Block,
        ConfigSet,
        Link,
        Region,
        Zone, //
    },
    lookup::{
        Host,
        HostStatus,
        Table, //
    },
    util::id::{
        Generation,
        Incarnation,
        Stamp, //
    },
};
use cardamomroad_standins::policy::deployment::name_of;
use clap::Parser;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// Look-ups that are timed.
const LOOKUPS: u32 = 200_000;
/// The bytes of one page of memory.
const PAGE_BYTES: usize = 4096;

/// Measures the look-up table.
#[derive(Debug, Parser)]
struct Cli {
    /// Client blocks.
    #[arg(long, default_value_t = 300_000)]
    blocks: u32,
    /// Regions.
    #[arg(long, default_value_t = 10)]
    regions: usize,
    /// Zones over all regions.
    #[arg(long, default_value_t = 36)]
    zones: usize,
    /// Entry hosts over all zones.
    #[arg(long, default_value_t = 7800)]
    hosts: usize,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn zone(cli: &Cli, i: usize) -> String {
    format!("region-{}-zone-{i}", i % cli.regions)
}

/// Returns disjoint and nested blocks of prefix lengths 20 to 28, each near two zones.
fn blocks(cli: &Cli, rng: &mut StdRng) -> Vec<Block> {
    let block = |_| {
        let bits = rng.random_range(20..=28_u8);
        let address = Ipv4Addr::from(rng.random::<u32>());
        let first = rng.random_range(0..cli.zones);
        let second = (first + cli.regions) % cli.zones;
        Block {
            net: format!("{address}/{bits}").parse().expect("a network"),
            near: [first, second]
                .map(|z| name_of(&zone(cli, z)))
                .into_iter()
                .collect(),
        }
    };
    (0..cli.blocks).map(block).collect()
}

fn set(cli: &Cli) -> ConfigSet {
    let mut set = ConfigSet::default();
    for i in 0..cli.regions {
        set.regions.push(Region {
            name: name_of(&format!("region-{i}")),
        });
        for j in 0..cli.regions {
            set.links.push(Link {
                name: name_of(&format!("link-{i}-{j}")),
                from: name_of(&format!("region-{i}")),
                to: name_of(&format!("region-{j}")),
                cap: "1Gbit/s".parse().expect("a rate"),
                delay: Duration::from_millis((i.abs_diff(j) * 10) as u64),
            });
        }
    }
    for i in 0..cli.zones {
        set.zones.push(Zone {
            name: name_of(&zone(cli, i)),
            region: name_of(&format!("region-{}", i % cli.regions)),
        });
    }
    set
}

fn hosts(cli: &Cli) -> Vec<Host> {
    let host = |i: usize| Host {
        name: name_of(&format!("host-{i}")),
        zone: name_of(&zone(cli, i % cli.zones)),
        caller_address: ([10, 0, (i >> 8) as u8, i as u8], 8000).into(),
        incarnation: Incarnation(1),
        stamp: Stamp(1),
        status: HostStatus::Live,
        spare_milli: 1000,
    };
    (0..cli.hosts).map(host).collect()
}

/// Returns the resident memory of this process in megabytes.
fn resident_mb() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse().ok());
    (pages.unwrap_or(0_usize) * PAGE_BYTES) as f64 / 1e6
}

fn main() {
    let cli = Cli::parse();
    let mut rng = StdRng::seed_from_u64(cli.seed);
    let (set, hosts) = (set(&cli), hosts(&cli));
    let blocks = blocks(&cli, &mut rng);
    let before = resident_mb();
    let start = Instant::now();
    let compiled = Arc::new(Blocks::new(&blocks));
    let built = start.elapsed();
    let own = set.zones[0].name.clone();
    let start = Instant::now();
    let table = Table::with_blocks(Generation(1), &set, &own, &hosts, Arc::clone(&compiled));
    println!(
        "blocks={} classes={} blocks_ms={:.1} table_ms={:.1} resident_mb={:.1}",
        compiled.len(),
        compiled.classes(),
        built.as_secs_f64() * 1e3,
        start.elapsed().as_secs_f64() * 1e3,
        resident_mb() - before,
    );
    let clients: Vec<IpAddr> = (0..LOOKUPS)
        .map(|_| IpAddr::V4(Ipv4Addr::from(rng.random::<u32>())))
        .collect();
    let start = Instant::now();
    for client in &clients {
        black_box(table.class_of(*client));
    }
    let class = start.elapsed();
    let start = Instant::now();
    for client in &clients {
        black_box(table.answer(*client, None));
    }
    let per = |d: Duration| d.as_secs_f64() * 1e6 / f64::from(LOOKUPS);
    println!(
        "class_us={:.2} answer_us={:.2}",
        per(class),
        per(start.elapsed())
    );
    let change = Change::Put(blocks[0].clone());
    let start = Instant::now();
    let next = compiled.with_changes(&[change]);
    let took = start.elapsed();
    println!(
        "change_us={:.1} shared_shards={}",
        took.as_secs_f64() * 1e6,
        compiled.shared_shards(&next)
    );
}
