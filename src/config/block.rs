//! The table from client addresses to their nearest zones.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        Ipv4Addr,
        Ipv6Addr, //
    },
};

use ipnet::{
    IpNet,
    Ipv4Net,
    Ipv6Net, //
};

use crate::{
    config::{
        diff::Edits,
        object::Block, //
    },
    util::id::ZoneName,
};

/// The client blocks, grouped into classes of equal nearest zones.
///
/// Blocks do not overlap, so the block that starts last at or before an
/// address is the only one that can hold it.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    v4: Vec<Entry<Ipv4Addr>>,
    v6: Vec<Entry<Ipv6Addr>>,
    classes: Vec<Box<[ZoneName]>>,
}

/// A block of one address family.
#[derive(Clone, Copy, Debug)]
struct Entry<A> {
    first: A,
    prefix: u8,
    class: u32,
}

impl BlockTable {
    /// Compiles client blocks.
    pub fn new(blocks: &[Block]) -> Self {
        let mut table = Self::default();
        table.insert(blocks);
        table
    }

    /// Returns the table after changes.
    pub fn with_edits(&self, edits: &Edits<Block>) -> Self {
        let mut table = self.clone();
        let gone = |net: IpNet| {
            let put = edits.put.binary_search_by_key(&net, |block| block.net);
            put.is_ok() || edits.removed.binary_search(&net).is_ok()
        };
        table.v4.retain(|entry| !gone(entry.net()));
        table.v6.retain(|entry| !gone(entry.net()));
        table.insert(&edits.put);
        table.drop_unused_classes();
        table
    }

    /// Returns the zones nearest to an address, best first; none where no block holds it.
    pub fn near(&self, client: IpAddr) -> &[ZoneName] {
        let class = match client.to_canonical() {
            IpAddr::V4(a) => find(&self.v4, a),
            IpAddr::V6(a) => find(&self.v6, a),
        };
        class.map_or(&[], |class| &self.classes[class as usize])
    }

    /// Returns whether a block is in the table.
    pub fn contains(&self, net: &IpNet) -> bool {
        let class = match net {
            IpNet::V4(net) => find_exact(&self.v4, net.addr(), net.prefix_len()),
            IpNet::V6(net) => find_exact(&self.v6, net.addr(), net.prefix_len()),
        };
        class.is_some()
    }

    /// Returns all blocks, sorted.
    pub fn blocks(&self) -> impl Iterator<Item = Block> {
        let v4 = self.v4.iter().map(|entry| (entry.net(), entry.class));
        let v6 = self.v6.iter().map(|entry| (entry.net(), entry.class));
        v4.chain(v6).map(|(net, class)| Block {
            net,
            near: self.classes[class as usize].iter().cloned().collect(),
        })
    }

    /// Returns the different lists of nearest zones.
    pub fn classes(&self) -> impl Iterator<Item = &[ZoneName]> {
        self.classes.iter().map(|class| &class[..])
    }

    /// Returns how many blocks there are.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, blocks: &[Block]) {
        if blocks.is_empty() {
            return;
        }
        let mut classes = HashMap::<Box<[ZoneName]>, u32>::new();
        for (i, class) in self.classes.iter().enumerate() {
            classes.insert(class.clone(), i as u32);
        }
        for block in blocks {
            let class = match classes.get(block.near.as_slice()) {
                Some(&class) => class,
                None => {
                    let class = self.classes.len() as u32;
                    let near: Box<[ZoneName]> = block.near.as_slice().into();
                    classes.insert(near.clone(), class);
                    self.classes.push(near);
                    class
                }
            };
            let prefix = block.net.prefix_len();
            match block.net {
                IpNet::V4(net) => self.v4.push(Entry {
                    first: net.addr(),
                    prefix,
                    class,
                }),
                IpNet::V6(net) => self.v6.push(Entry {
                    first: net.addr(),
                    prefix,
                    class,
                }),
            }
        }
        self.v4.sort_by_key(|entry| (entry.first, entry.prefix));
        self.v6.sort_by_key(|entry| (entry.first, entry.prefix));
    }

    fn drop_unused_classes(&mut self) {
        let v4 = self.v4.iter_mut().map(|entry| &mut entry.class);
        let v6 = self.v6.iter_mut().map(|entry| &mut entry.class);
        let mut kept = Vec::new();
        let mut new = vec![None; self.classes.len()];
        for class in v4.chain(v6) {
            let old = *class as usize;
            *class = *new[old].get_or_insert_with(|| {
                kept.push(self.classes[old].clone());
                kept.len() as u32 - 1
            });
        }
        self.classes = kept;
    }
}

impl Entry<Ipv4Addr> {
    fn net(&self) -> IpNet {
        IpNet::V4(Ipv4Net::new_assert(self.first, self.prefix))
    }
}

impl Entry<Ipv6Addr> {
    fn net(&self) -> IpNet {
        IpNet::V6(Ipv6Net::new_assert(self.first, self.prefix))
    }
}

/// Finds the class of the block that holds an address.
fn find<A: Copy + Ord>(entries: &[Entry<A>], address: A) -> Option<u32>
where
    Entry<A>: Holds<A>,
{
    let after = entries.partition_point(|entry| entry.first <= address);
    let entry = entries.get(after.checked_sub(1)?)?;
    entry.holds(address).then_some(entry.class)
}

fn find_exact<A: Copy + Ord>(entries: &[Entry<A>], first: A, prefix: u8) -> Option<u32> {
    let found = entries.binary_search_by_key(&(first, prefix), |e| (e.first, e.prefix));
    found.ok().map(|i| entries[i].class)
}

/// Whether an address lies in a block.
trait Holds<A> {
    fn holds(&self, address: A) -> bool;
}

impl Holds<Ipv4Addr> for Entry<Ipv4Addr> {
    fn holds(&self, address: Ipv4Addr) -> bool {
        let differing = self.first.to_bits() ^ address.to_bits();
        differing.leading_zeros() >= u32::from(self.prefix)
    }
}

impl Holds<Ipv6Addr> for Entry<Ipv6Addr> {
    fn holds(&self, address: Ipv6Addr) -> bool {
        let differing = self.first.to_bits() ^ address.to_bits();
        differing.leading_zeros() >= u32::from(self.prefix)
    }
}
