//! The compiled form of a configuration set, with the lookup tables that hosts use.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::IpAddr,
    sync::Arc, //
};

use thiserror::Error;

use crate::{
    blocks::{
        Blocks,
        Change, //
    },
    config::{
        diff::{
            Delta,
            DeltaError,
            Edits, //
        },
        kind::ObjectKind,
        object::{
            Block,
            ConfigSet,
            Key,
            Link,
            Organisation,
            Pool,
            Route,
            Zone, //
        },
        path::normalise_path,
    },
    util::id::{
        Generation,
        KeyDigest,
        ObjectName,
        OrganisationName,
        RegionName,
        ServiceName,
        ZoneName, //
    },
};

/// A failure to compile a set or to apply a delta to a compiled one.
///
/// [`check`](crate::config::check) rejects sets that do not compile.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum IndexError {
    /// An object refers to another that the set does not contain.
    #[error("{object:?} refers to {target:?}, which is not in the set; check the set first")]
    Dangling {
        /// The name or address range of the referring object.
        object: String,
        /// The name of the missing object.
        target: String,
    },
    /// The delta does not apply to the snapshot.
    #[error(transparent)]
    Delta(#[from] DeltaError),
}

/// An immutable snapshot of one configuration generation, shared behind an `Arc`.
///
/// Values of type `usize` in the maps are indices into the lists of `set`.
#[derive(Clone, Debug)]
pub struct Index {
    generation: Generation,
    set: ConfigSet,
    routes: HashMap<String, Vec<usize>>,
    route_names: HashMap<ObjectName, usize>,
    services: HashSet<ServiceName>,
    organisations: HashMap<OrganisationName, usize>,
    keys: HashMap<KeyDigest, usize>,
    pools: HashMap<ServiceName, Vec<usize>>,
    zones: HashMap<ZoneName, usize>,
    regions: HashMap<RegionName, Vec<ZoneName>>,
    links: HashMap<RegionName, HashMap<RegionName, usize>>,
    blocks: Arc<Blocks>,
}

impl Index {
    /// Compiles a sorted set; fails if a reference does not resolve.
    pub fn new(generation: Generation, mut set: ConfigSet) -> Result<Self, IndexError> {
        let blocks = std::mem::take(&mut set.blocks);
        let index = Self::with_blocks(generation, set, Arc::new(Blocks::new(&blocks)))?;
        index.check_near_zones(&blocks)?;
        Ok(index)
    }

    /// Returns the snapshot that applying a delta produces. Both snapshots share
    /// the client blocks that the delta does not change.
    pub fn with_delta(&self, delta: &Delta) -> Result<Self, IndexError> {
        let mut set = self.set.clone();
        delta.without_blocks().apply(self.generation, &mut set)?;
        let edits = &delta.changes.blocks;
        let blocks = self.with_block_edits(edits)?;
        let index = Self::with_blocks(delta.to, set, blocks)?;
        index.check_near_zones(&edits.put)?;
        if !delta.changes.zones.removed.is_empty() {
            index.check_all_near_zones()?;
        }
        Ok(index)
    }

    /// Returns the generation of the set that was compiled.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the compiled set without its client blocks, which only
    /// [`Index::blocks`] holds.
    pub fn set(&self) -> &ConfigSet {
        &self.set
    }

    /// Returns the compiled client blocks.
    pub fn blocks(&self) -> &Arc<Blocks> {
        &self.blocks
    }

    /// Returns a sorted copy of the whole set, including its client blocks.
    pub fn to_whole_set(&self) -> ConfigSet {
        let mut set = self.set.clone();
        set.blocks.reserve_exact(self.blocks.len());
        for (net, class) in self.blocks.iter() {
            let near = self.blocks.near(class).into();
            set.blocks.push(Block { net, near });
        }
        set.blocks.sort_unstable_by_key(|block| block.net);
        set
    }

    /// Returns the route of a request: among the routes that accept its method,
    /// the one with the longest matching path prefix.
    ///
    /// A prefix matches whole path segments. An ambiguous path, which an upstream
    /// could interpret differently, matches no route; see [`normalise_path`].
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let path = normalise_path(path)?;
        let mut end = path.len();
        loop {
            if let Some(route) = self.route_with_prefix(method, &path[..end]) {
                return Some(route);
            }
            end = match path[..end].strip_suffix('/') {
                Some("") => return None,
                Some(shorter) => shorter.len(),
                None => path[..end].rfind('/')? + 1,
            };
        }
    }

    /// Returns the route with a name, or `None` if it is not configured.
    pub fn route_named(&self, name: &ObjectName) -> Option<&Route> {
        let &i = self.route_names.get(name)?;
        self.set.routes.get(i)
    }

    /// Returns whether a service is configured.
    pub fn has_service(&self, name: &ServiceName) -> bool {
        self.services.contains(name)
    }

    /// Returns the organisation with a name, or `None` if it is not configured.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&Organisation> {
        let &i = self.organisations.get(name)?;
        self.set.organisations.get(i)
    }

    /// Returns the key with a digest, or `None` if it is not configured.
    pub fn key(&self, digest: &KeyDigest) -> Option<&Key> {
        let &i = self.keys.get(digest)?;
        self.set.keys.get(i)
    }

    /// Returns a service's pool in a zone, or `None` if it has none there.
    pub fn pool(&self, service: &ServiceName, zone: &ZoneName) -> Option<&Pool> {
        self.pools(service).find(|pool| pool.zone == *zone)
    }

    /// Returns all pools of a service.
    pub fn pools(&self, service: &ServiceName) -> impl Iterator<Item = &Pool> {
        let indices = self.pools.get(service).map_or(&[][..], Vec::as_slice);
        indices.iter().filter_map(|&i| self.set.pools.get(i))
    }

    /// Returns the zone with a name, or `None` if it is not configured.
    pub fn zone(&self, name: &ZoneName) -> Option<&Zone> {
        let &i = self.zones.get(name)?;
        self.set.zones.get(i)
    }

    /// Returns the region of a zone, or `None` if the zone is not configured.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.zone(zone).map(|zone| &zone.region)
    }

    /// Returns the zones of a region; empty if the region is not configured.
    pub fn zones_in(&self, region: &RegionName) -> &[ZoneName] {
        self.regions.get(region).map_or(&[], Vec::as_slice)
    }

    /// Returns the link from one region to another, or `None` if there is none.
    pub fn link(&self, from: &RegionName, to: &RegionName) -> Option<&Link> {
        let &i = self.links.get(from)?.get(to)?;
        self.set.links.get(i)
    }

    /// Returns the zones nearest to a client, best first; empty if no block
    /// contains its address.
    pub fn near(&self, client: IpAddr) -> &[ZoneName] {
        let class = self.blocks.class_of(client);
        class.map_or(&[], |class| self.blocks.near(class))
    }

    fn with_block_edits(&self, edits: &Edits<Block>) -> Result<Arc<Blocks>, IndexError> {
        if edits.is_empty() {
            return Ok(Arc::clone(&self.blocks));
        }
        let mut changes = Vec::with_capacity(edits.put.len() + edits.removed.len());
        for &net in &edits.removed {
            if !self.blocks.contains(net) {
                let (kind, id) = (ObjectKind::Block, net.to_string());
                let held = self.generation;
                return Err(DeltaError::Missing { kind, id, held }.into());
            }
            changes.push(Change::Remove(net));
        }
        changes.extend(edits.put.iter().cloned().map(Change::Put));
        Ok(Arc::new(self.blocks.with_changes(&changes)))
    }

    /// Returns an error if one of `blocks` refers to a zone that is not in the set.
    fn check_near_zones(&self, blocks: &[Block]) -> Result<(), IndexError> {
        for block in blocks {
            for zone in &block.near {
                if !self.zones.contains_key(zone) {
                    return Err(dangling(&block.net, zone));
                }
            }
        }
        Ok(())
    }

    /// Checks the zones of all blocks, which is needed once zones were removed.
    fn check_all_near_zones(&self) -> Result<(), IndexError> {
        for (net, class) in self.blocks.iter() {
            for zone in self.blocks.near(class) {
                if !self.zones.contains_key(zone) {
                    return Err(dangling(&net, zone));
                }
            }
        }
        Ok(())
    }

    /// Returns the first route with exactly this prefix that accepts a method.
    fn route_with_prefix(&self, method: &str, prefix: &str) -> Option<&Route> {
        for &i in self.routes.get(prefix)? {
            let route = &self.set.routes[i];
            if route.methods.is_empty() || route.methods.iter().any(|m| m == method) {
                return Some(route);
            }
        }
        None
    }

    fn with_blocks(
        generation: Generation,
        set: ConfigSet,
        blocks: Arc<Blocks>,
    ) -> Result<Self, IndexError> {
        let mut index = Self {
            generation,
            blocks,
            set: ConfigSet::default(),
            routes: HashMap::new(),
            route_names: HashMap::new(),
            services: HashSet::new(),
            organisations: HashMap::new(),
            keys: HashMap::new(),
            pools: HashMap::new(),
            zones: HashMap::new(),
            regions: HashMap::new(),
            links: HashMap::new(),
        };
        for (i, zone) in set.zones.iter().enumerate() {
            index.zones.insert(zone.name.clone(), i);
            let zones = index.regions.entry(zone.region.clone()).or_default();
            zones.push(zone.name.clone());
        }
        for (i, link) in set.links.iter().enumerate() {
            let links = index.links.entry(link.from.clone()).or_default();
            links.insert(link.to.clone(), i);
        }
        for (i, organisation) in set.organisations.iter().enumerate() {
            index.organisations.insert(organisation.name.clone(), i);
        }
        for (i, route) in set.routes.iter().enumerate() {
            let routes = index.routes.entry(route.prefix.clone()).or_default();
            routes.push(i);
            index.route_names.insert(route.name.clone(), i);
        }
        for (i, key) in set.keys.iter().enumerate() {
            if !index.organisations.contains_key(&key.organisation) {
                return Err(dangling(&key.name, &key.organisation));
            }
            index.keys.insert(key.digest, i);
        }
        for (i, pool) in set.pools.iter().enumerate() {
            if !index.zones.contains_key(&pool.zone) {
                return Err(dangling(&pool.name, &pool.zone));
            }
            let pools = index.pools.entry(pool.service.clone()).or_default();
            pools.push(i);
        }
        index.services = set.services.iter().map(|s| s.name.clone()).collect();
        index.set = set;
        Ok(index)
    }
}

/// Returns the error for a reference to a missing object.
fn dangling(object: &dyn ToString, target: &dyn ToString) -> IndexError {
    IndexError::Dangling {
        object: object.to_string(),
        target: target.to_string(),
    }
}
