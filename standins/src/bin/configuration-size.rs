//! Measures what a configuration set costs at several sizes.
//!
//! `make` writes a set of so many client blocks and prints the bytes of its
//! chunks and deltas and the times of an operator's steps. `load` reads it in a
//! fresh process as an entry host does and prints times and memory.

use std::{
    fs,
    net::Ipv4Addr,
    path::{
        Path,
        PathBuf, //
    },
    time::Instant, //
};

use cardamomroad::{
    config::{
        check::check,
        diff::Delta,
        index::Index,
        object::{
            Block,
            ConfigSet, //
        },
        parse::{
            SourceFile,
            parse, //
        },
    },
    publish::{
        chunk::split_into_chunks,
        head::{
            Head,
            WriteId, //
        },
    },
    util::id::Generation,
};
use clap::{
    Parser,
    Subcommand, //
};
use eyre::{
    Result,
    ensure,
    eyre, //
};

/// The first address of the client blocks.
const FIRST_ADDRESS: u32 = 0x1000_0000;
/// The bits of an address within a block.
const HOST_BITS: u32 = 8;
/// The changes that `load` applies one after another.
const CHANGES: u64 = 20;
/// More writes than a head remembers.
const WRITES: u32 = 100;

#[derive(Parser)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Makes a set, measures an operator's steps and writes it to a file.
    Make {
        /// TOML file with the rest of the set.
        #[arg(long)]
        base: PathBuf,
        /// Client blocks.
        #[arg(long)]
        blocks: u32,
        /// Where to write the set.
        #[arg(long)]
        file: PathBuf,
    },
    /// Reads a set as an entry host does.
    Load {
        /// The set that `make` wrote.
        #[arg(long)]
        file: PathBuf,
    },
}

fn main() -> Result<()> {
    match Arguments::parse().command {
        Command::Make { base, blocks, file } => make(&base, blocks, &file),
        Command::Load { file } => load(&file),
    }
}

fn make(base: &Path, blocks: u32, file: &Path) -> Result<()> {
    let mut set = parse(&cardamomroad::config::parse::read(base)?)?;
    set.blocks = client_blocks(&set, blocks)?;
    set.sort();
    let text = toml::to_string(&set)?;
    println!("blocks {blocks}");
    println!("toml_bytes {}", text.len());
    let sources = [SourceFile {
        file: "set.toml".to_owned(),
        text,
    }];
    let read = timed("parse_and_check_ms", || parse(&sources))?;
    ensure!(read == set, "the set changed through its file");
    timed("check_ms", || check(&set))?;
    let (manifest, chunks) = timed("cut_ms", || split_into_chunks(&set, None))?;
    let head = Head::new(None, WriteId::random(), manifest);
    println!("chunks {}", head.manifest.all_chunks().count());
    println!("chunk_bytes_all {}", chunks.bytes());
    let sizes = head.manifest.all_chunks().filter_map(|d| chunks.get(d));
    println!(
        "chunk_bytes_largest {}",
        sizes.map(|c| c.len()).max().unwrap_or(0)
    );
    println!("head_bytes {}", head.encode()?.len());
    let mut old = head.clone();
    for _ in 0..WRITES {
        old = Head::new(Some(&old), WriteId::random(), head.manifest.clone());
    }
    println!("head_bytes_after_{WRITES}_writes {}", old.encode()?.len());
    let changed = changed(&set, 0);
    let (next, next_chunks) = split_into_chunks(&changed, Some(&head.manifest))?;
    let new = next.all_chunks().filter(|d| chunks.get(d).is_none());
    let new: Vec<_> = new.filter_map(|d| next_chunks.get(d)).collect();
    println!("changed_chunks {}", new.len());
    println!(
        "changed_chunk_bytes {}",
        new.iter().map(|c| c.len()).sum::<usize>()
    );
    let between = || Delta::between(Generation(1), &set, Generation(2), &changed);
    let delta = timed("delta_between_ms", between);
    println!("delta_bytes {}", delta.encode()?.len());
    fs::write(file, rmp_serde::to_vec(&set)?)?;
    Ok(())
}

fn load(file: &Path) -> Result<()> {
    let bytes = fs::read(file)?;
    println!("whole_set_bytes {}", bytes.len());
    memory("before")?;
    let set: ConfigSet = timed("decode_ms", || rmp_serde::from_slice(&bytes))?;
    drop(bytes);
    println!("blocks {}", set.blocks.len());
    let samples: Vec<_> = set.blocks.iter().step_by(97).take(1000).cloned().collect();
    let mut rest = set.clone();
    rest.blocks = samples;
    let mut index = timed("compile_ms", || Index::new(Generation(0), set))?;
    memory("compiled")?;
    let start = Instant::now();
    for i in 0..CHANGES {
        let next = changed(&rest, i as usize);
        let delta = Delta::between(Generation(i), &rest, Generation(i + 1), &next);
        index = index.with_delta(&delta)?;
        rest = next;
    }
    let each = start.elapsed() / CHANGES as u32;
    println!("delta_applied_us {}", each.as_micros());
    memory("after_deltas")?;
    timed("near_1000_ms", || {
        for block in &rest.blocks {
            std::hint::black_box(index.near(block.net.addr()));
        }
    });
    Ok(())
}

/// Returns client blocks whose nearest zones differ.
fn client_blocks(set: &ConfigSet, count: u32) -> Result<Vec<Block>> {
    let zones: Vec<_> = set.zones.iter().map(|zone| &zone.name).collect();
    let mut blocks = Vec::with_capacity(count as usize);
    for i in 0..count {
        let first = Ipv4Addr::from_bits(FIRST_ADDRESS + (i << HOST_BITS));
        let own = i as usize % zones.len();
        let other = (own + 1 + i as usize / zones.len() % (zones.len() - 1)) % zones.len();
        blocks.push(Block {
            net: format!("{first}/24").parse()?,
            near: [zones[own].clone(), zones[other].clone()]
                .into_iter()
                .collect(),
        });
    }
    Ok(blocks)
}

/// Returns the set with one client block that has other zones.
fn changed(set: &ConfigSet, i: usize) -> ConfigSet {
    let mut set = set.clone();
    let at = i * 7919 % set.blocks.len();
    set.blocks[at].near.reverse();
    set
}

fn timed<T>(name: &str, step: impl FnOnce() -> T) -> T {
    let start = Instant::now();
    let result = step();
    println!("{name} {:.1}", start.elapsed().as_secs_f64() * 1000.0);
    result
}

/// Prints the memory of this process, now and at its peak.
fn memory(when: &str) -> Result<()> {
    let status = fs::read_to_string("/proc/self/status")?;
    for (name, field) in [("resident", "VmRSS:"), ("peak", "VmHWM:")] {
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let line = line.ok_or_else(|| eyre!("no {field} in the process's status"))?;
        println!("memory_{name}_{when} {}", line.trim());
    }
    Ok(())
}
