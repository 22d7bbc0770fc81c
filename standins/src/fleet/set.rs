//! Configuration sets for a fleet: the examples, narrowed to a few zones.

use std::path::{
    Path,
    PathBuf, //
};

use cardamomroad::{
    config::{
        object::{
            ConfigSet, //
            Pool,
        },
        parse,
    },
    util::id::OrganisationName,
};

use crate::error::StandinError;

/// Loads one of the repository's examples, such as `skyglass`.
pub fn example(name: &str) -> Result<ConfigSet, StandinError> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let path = path.join(name);
    let sources = parse::read(&path).map_err(|e| StandinError::Set(e.to_string()))?;
    parse::parse(&sources).map_err(|e| StandinError::Set(e.to_string()))
}

/// Returns the key that the examples' README names for an organisation.
pub fn demonstration_key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// Keeps only some zones, and of each pool only some upstreams.
pub fn narrow(set: &mut ConfigSet, zones: &[&str], upstreams: usize) {
    set.zones.retain(|z| zones.contains(&z.name.as_str()));
    let regions: Vec<_> = set.zones.iter().map(|z| z.region.clone()).collect();
    set.regions.retain(|r| regions.contains(&r.name));
    set.links
        .retain(|l| regions.contains(&l.from) && regions.contains(&l.to));
    set.pools.retain(|p| zones.contains(&p.zone.as_str()));
    for pool in &mut set.pools {
        pool.upstreams.truncate(upstreams);
    }
    for block in &mut set.blocks {
        block.near.retain(|z| zones.contains(&z.as_str()));
    }
    set.blocks.retain(|b| !b.near.is_empty());
}

/// Writes a set as one file and returns its path.
pub(super) fn write(set: &ConfigSet, folder: &Path) -> Result<PathBuf, StandinError> {
    let text = toml::to_string(set).map_err(|e| StandinError::Set(e.to_string()))?;
    let path = folder.join("set.toml");
    std::fs::write(&path, text).map_err(|cause| StandinError::Io {
        what: format!("writing {}", path.display()),
        cause,
    })?;
    Ok(path)
}

/// Returns the name of an upstream's process.
pub(super) fn upstream_name(pool: &Pool, index: usize) -> String {
    format!("{}-{index}", pool.name)
}

/// Changes an organisation's rate and burst.
pub fn limit(set: &mut ConfigSet, organisation: &OrganisationName, rate: u64, burst: u32) {
    for o in &mut set.organisations {
        if o.name != *organisation {
            continue;
        }
        o.rate = cardamomroad::util::units::RequestRate::per_second(rate);
        o.burst = burst;
    }
}
