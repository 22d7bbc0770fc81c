//! Example configuration sets for tests.

use std::path::Path;

use cardamomroad::config::{
    object::{
        Block,
        ConfigSet, //
    },
    parse::{
        parse,
        read, //
    },
};
use ipnet::IpNet;

/// Returns the set of an example deployment below `examples/`.
pub fn example(name: &str) -> ConfigSet {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let sources = read(&folder.join("examples").join(name)).unwrap();
    parse(&sources).unwrap()
}

/// Returns the `skyglass` example with its client blocks replaced by `count`
/// disjoint /24 blocks.
pub fn example_with_blocks(count: u32) -> ConfigSet {
    let mut set = example("skyglass");
    set.blocks.clear();
    for i in 0..count {
        let addr = std::net::Ipv4Addr::from_bits(0x1000_0000 + (i << 8));
        let a = set.zones[i as usize % 6].name.clone();
        let b = set.zones[(i as usize / 6 + 1) % 6].name.clone();
        let net: IpNet = format!("{addr}/24").parse().unwrap();
        let mut near = vec![a];
        if !near.contains(&b) {
            near.push(b);
        }
        set.blocks.push(Block {
            net,
            near: near.into(),
        });
    }
    set.sort();
    set
}
