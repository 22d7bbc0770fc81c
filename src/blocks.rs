//! Longest-prefix match from client addresses to client classes.
//!
//! Blocks with the same nearest zones form one class, so that steering data is
//! stored per class rather than per block. Blocks are sharded by the hash of
//! their prefix. A configuration change copies only the shards it modifies; all
//! others are shared with the previous version.

use std::{
    collections::HashMap,
    hash::{
        BuildHasherDefault,
        Hash,
        Hasher, //
    },
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
/// The length of an address in bits, with IPv4 addresses mapped into IPv6.
const ADDRESS_BITS: u8 = 128;
/// The bits that mapping into IPv6 adds to the length of an IPv4 prefix.
const IPV4_MAPPED_PREFIX_BITS: u8 = 96;

/// The index of a client class, valid in one [`Blocks`] and all versions derived from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

/// The nearest zones of a class, best first.
pub type NearestZones = SmallVec<[ZoneName; 2]>;

/// An address prefix, with IPv4 addresses mapped into IPv6.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Prefix {
    bits: u8,
    address: u128,
}

impl Prefix {
    fn of(net: IpNet) -> Self {
        let bits = match net {
            IpNet::V4(n) => n.prefix_len() + IPV4_MAPPED_PREFIX_BITS,
            IpNet::V6(n) => n.prefix_len(),
        };
        Self::new(address_bits(net.network()), bits)
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

    /// Returns the prefix as a network; mapped IPv4 prefixes become IPv4 networks again.
    fn net(self) -> IpNet {
        let address = Ipv6Addr::from_bits(self.address);
        match address.to_ipv4_mapped() {
            Some(address) if self.bits >= IPV4_MAPPED_PREFIX_BITS => {
                Ipv4Net::new_assert(address, self.bits - IPV4_MAPPED_PREFIX_BITS).into()
            }
            _ => Ipv6Net::new_assert(address, self.bits).into(),
        }
    }

    fn digest(self) -> u64 {
        let mut key = [0; 17];
        key[0] = self.bits;
        key[1..].copy_from_slice(&self.address.to_be_bytes());
        xxh3_64(&key)
    }

    fn shard(self) -> usize {
        self.digest() as usize % SHARDS
    }
}

impl Hash for Prefix {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The lowest bits select the shard, so they are equal for all prefixes of a shard.
        state.write_u64(self.digest().rotate_right(SHARDS.ilog2()));
    }
}

/// A hasher that uses the digest computed by [`Prefix`] unchanged.
#[derive(Clone, Copy, Debug, Default)]
struct PrefixHasher(u64);

impl Hasher for PrefixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64(bytes);
    }

    fn write_u64(&mut self, digest: u64) {
        self.0 = digest;
    }
}

/// The blocks of one shard and their classes.
type Shard = HashMap<Prefix, ClassId, BuildHasherDefault<PrefixHasher>>;

/// The compiled client blocks.
#[derive(Clone, Debug)]
pub struct Blocks {
    shards: Vec<Arc<Shard>>,
    /// The number of blocks of each prefix length; a search skips lengths without blocks.
    lengths: [u32; ADDRESS_BITS as usize + 1],
    classes: Arc<Classes>,
}

#[derive(Clone, Debug, Default)]
struct Classes {
    near: Vec<NearestZones>,
    ids: HashMap<NearestZones, ClassId>,
}

impl Classes {
    fn intern(&mut self, near: &NearestZones) -> ClassId {
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
    /// A block was added, or its nearest zones changed.
    Put(Block),
    /// A block was removed.
    Remove(IpNet),
}

impl Blocks {
    /// Compiles all blocks. If two blocks have the same prefix, the later one wins.
    pub fn new(blocks: &[Block]) -> Self {
        let empty = Self {
            shards: vec![Arc::default(); SHARDS],
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
        empty.with_edits(edits, Arc::new(classes))
    }

    /// Returns the blocks after some changes, sharing the shards that are not modified.
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
        self.with_edits(edits, classes)
    }

    /// Returns the class of the longest matching block; `None` if no block contains the address.
    pub fn class_of(&self, client: IpAddr) -> Option<ClassId> {
        let address = address_bits(client);
        for bits in (0..=ADDRESS_BITS).rev() {
            if self.lengths[bits as usize] == 0 {
                continue;
            }
            let prefix = Prefix::new(address, bits);
            if let Some(&class) = self.shards[prefix.shard()].get(&prefix) {
                return Some(class);
            }
        }
        None
    }

    /// Returns the nearest zones of a class, best first.
    pub fn near(&self, class: ClassId) -> &[ZoneName] {
        &self.classes.near[class.0 as usize]
    }

    /// Returns whether there is a block with exactly this prefix.
    pub fn contains(&self, net: IpNet) -> bool {
        let prefix = Prefix::of(net);
        let shard = &self.shards[prefix.shard()];
        shard.contains_key(&prefix)
    }

    /// Returns all blocks and their classes, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (IpNet, ClassId)> {
        let entries = self.shards.iter().flat_map(|shard| shard.iter());
        entries.map(|(prefix, class)| (prefix.net(), *class))
    }

    /// Returns the number of classes.
    pub fn classes(&self) -> usize {
        self.classes.near.len()
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.lengths.iter().map(|&n| n as usize).sum()
    }

    /// Returns whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of shards that share memory with `other`.
    pub fn shared_shards(&self, other: &Self) -> usize {
        let pairs = self.shards.iter().zip(&other.shards);
        pairs.filter(|(a, b)| Arc::ptr_eq(a, b)).count()
    }

    fn with_edits(
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
            let entries = Arc::make_mut(&mut next.shards[shard]);
            for (prefix, class) in edits {
                let old = match class {
                    Some(class) => entries.insert(prefix, class),
                    None => entries.remove(&prefix),
                };
                let count = &mut next.lengths[usize::from(prefix.bits)];
                *count += u32::from(class.is_some());
                *count -= u32::from(old.is_some());
            }
        }
        next
    }
}

/// Returns an address as 128 bits, with IPv4 addresses mapped into IPv6.
fn address_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(a) => a.to_ipv6_mapped().to_bits(),
        IpAddr::V6(a) => Ipv6Addr::to_bits(a),
    }
}
