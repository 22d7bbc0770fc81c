//! Longest-prefix match from client addresses to client classes.
//!
//! Blocks with the same nearest zones form one class, so that everything that
//! steers is kept per class and not per block. Blocks lie in shards by the hash
//! of their prefix; a changed configuration copies the shards it touches and
//! shares all others with the table before it.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        Ipv6Addr, //
    },
    sync::Arc, //
};

use ipnet::{
    IpNet,
    Ipv4Net,
    Ipv6Net, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::object::Block,
    util::id::ZoneName, //
};

/// The number of shards; a changed block copies one of them.
const SHARDS: usize = 1024;
/// The bits of an address in the common form.
const ADDRESS_BITS: u8 = 128;
/// What the length of an IPv4 prefix grows by in the common form.
const IPV4_PREFIX_BITS: u8 = 96;

/// The number of a client class in one [`Blocks`] and all that follow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

/// The nearest zones of a class, best first.
pub type Near = SmallVec<[ZoneName; 2]>;

/// A prefix in the common form: IPv4 addresses are mapped into IPv6.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Prefix {
    bits: u8,
    address: u128,
}

impl Prefix {
    fn of(net: IpNet) -> Self {
        let bits = match net {
            IpNet::V4(n) => n.prefix_len() + IPV4_PREFIX_BITS,
            IpNet::V6(n) => n.prefix_len(),
        };
        Self::new(common(net.network()), bits)
    }

    fn new(address: u128, bits: u8) -> Self {
        let mask = match bits {
            0 => 0,
            n => u128::MAX << (ADDRESS_BITS - n),
        };
        Self {
            bits,
            address: address & mask,
        }
    }

    /// Returns the addresses as they were configured.
    fn net(self) -> IpNet {
        let address = Ipv6Addr::from_bits(self.address);
        match address.to_ipv4_mapped() {
            Some(address) if self.bits >= IPV4_PREFIX_BITS => {
                Ipv4Net::new_assert(address, self.bits - IPV4_PREFIX_BITS).into()
            }
            _ => Ipv6Net::new_assert(address, self.bits).into(),
        }
    }

    fn shard(self) -> usize {
        let mut key = [0; 17];
        key[0] = self.bits;
        key[1..].copy_from_slice(&self.address.to_be_bytes());
        xxh3_64(&key) as usize % SHARDS
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    prefix: Prefix,
    class: ClassId,
}

/// The compiled client blocks.
#[derive(Clone, Debug)]
pub struct Blocks {
    shards: Vec<Arc<[Entry]>>,
    /// Blocks of each prefix length, so that absent lengths are not tried.
    lengths: [u32; ADDRESS_BITS as usize + 1],
    classes: Arc<Classes>,
}

#[derive(Clone, Debug, Default)]
struct Classes {
    near: Vec<Near>,
    ids: HashMap<Near, ClassId>,
}

impl Classes {
    fn intern(&mut self, near: &Near) -> ClassId {
        if let Some(&id) = self.ids.get(near) {
            return id;
        }
        let id = ClassId(u32::try_from(self.near.len()).unwrap_or(u32::MAX));
        self.near.push(near.clone());
        self.ids.insert(near.clone(), id);
        id
    }
}

/// One change between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A block is new or has other zones.
    Put(Block),
    /// A block is gone.
    Remove(IpNet),
}

impl Blocks {
    /// Compiles all blocks. Of two blocks of the same addresses the later one holds.
    pub fn new(blocks: &[Block]) -> Self {
        let empty = Self {
            shards: vec![Arc::from([]); SHARDS],
            lengths: [0; ADDRESS_BITS as usize + 1],
            classes: Arc::default(),
        };
        let mut classes = Classes::default();
        let mut edits = HashMap::<usize, Vec<(Prefix, Option<ClassId>)>>::new();
        for block in blocks {
            let prefix = Prefix::of(block.net);
            let class = classes.intern(&block.near);
            edits
                .entry(prefix.shard())
                .or_default()
                .push((prefix, Some(class)));
        }
        empty.edited(edits, Arc::new(classes))
    }

    /// Returns the blocks after some changes; untouched shards are shared.
    pub fn with_changes(&self, changes: &[Change]) -> Self {
        let mut classes = Arc::clone(&self.classes);
        let mut edits = HashMap::<usize, Vec<(Prefix, Option<ClassId>)>>::new();
        for change in changes {
            let (prefix, class) = match change {
                Change::Put(block) => {
                    let class = match classes.ids.get(&block.near) {
                        Some(&id) => id,
                        None => Arc::make_mut(&mut classes).intern(&block.near),
                    };
                    (Prefix::of(block.net), Some(class))
                }
                Change::Remove(net) => (Prefix::of(*net), None),
            };
            edits
                .entry(prefix.shard())
                .or_default()
                .push((prefix, class));
        }
        self.edited(edits, classes)
    }

    /// Returns the class of a client, or `None` where no block holds its address.
    pub fn class_of(&self, client: IpAddr) -> Option<ClassId> {
        let address = common(client);
        for bits in (0..=ADDRESS_BITS).rev() {
            if self.lengths[bits as usize] == 0 {
                continue;
            }
            let prefix = Prefix::new(address, bits);
            let shard = &self.shards[prefix.shard()];
            if let Ok(i) = shard.binary_search_by_key(&prefix, |e| e.prefix) {
                return Some(shard[i].class);
            }
        }
        None
    }

    /// Returns the nearest zones of a class, best first.
    pub fn near(&self, class: ClassId) -> &[ZoneName] {
        &self.classes.near[class.0 as usize]
    }

    /// Returns whether a block is among them.
    pub fn contains(&self, net: IpNet) -> bool {
        let prefix = Prefix::of(net);
        let shard = &self.shards[prefix.shard()];
        shard.binary_search_by_key(&prefix, |e| e.prefix).is_ok()
    }

    /// Returns all blocks and their classes, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (IpNet, ClassId)> {
        let entries = self.shards.iter().flat_map(|shard| shard.iter());
        entries.map(|e| (e.prefix.net(), e.class))
    }

    /// Returns the number of classes.
    pub fn classes(&self) -> usize {
        self.classes.near.len()
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.lengths.iter().map(|&n| n as usize).sum()
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of shards that are shared with `other`.
    pub fn shared_shards(&self, other: &Self) -> usize {
        let pairs = self.shards.iter().zip(&other.shards);
        pairs.filter(|(a, b)| Arc::ptr_eq(a, b)).count()
    }

    fn edited(
        &self,
        edits: HashMap<usize, Vec<(Prefix, Option<ClassId>)>>,
        classes: Arc<Classes>,
    ) -> Self {
        let mut next = Self {
            shards: self.shards.clone(),
            lengths: self.lengths,
            classes,
        };
        for (shard, edits) in edits {
            let mut entries = next.shards[shard].to_vec();
            for e in &entries {
                next.lengths[e.prefix.bits as usize] -= 1;
            }
            for (prefix, class) in edits {
                apply(&mut entries, prefix, class);
            }
            for e in &entries {
                next.lengths[e.prefix.bits as usize] += 1;
            }
            next.shards[shard] = entries.into();
        }
        next
    }
}

fn apply(entries: &mut Vec<Entry>, prefix: Prefix, class: Option<ClassId>) {
    match (entries.binary_search_by_key(&prefix, |e| e.prefix), class) {
        (Ok(i), Some(class)) => entries[i].class = class,
        (Ok(i), None) => {
            entries.remove(i);
        }
        (Err(i), Some(class)) => entries.insert(i, Entry { prefix, class }),
        (Err(_), None) => {}
    }
}

/// Returns an address in the common form.
fn common(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(a) => a.to_ipv6_mapped().to_bits(),
        IpAddr::V6(a) => Ipv6Addr::to_bits(a),
    }
}
