//! Configuration sets for a fleet: the repository's examples, reduced to a few zones.

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

/// Loads a configuration set from the repository's `examples` folder, such as `skyglass`.
pub fn example(name: &str) -> Result<ConfigSet, StandinError> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
    let path = path.join(name);
    let sources = parse::read(&path).map_err(|e| StandinError::Set(e.to_string()))?;
    parse::parse(&sources).map_err(|e| StandinError::Set(e.to_string()))
}

/// Returns the API key of an organisation in the examples, as their README lists it.
pub fn demonstration_key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// Reduces a set to the given zones and each pool to its first `upstreams`
/// upstreams, and removes the regions, links and blocks that are left without a zone.
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

/// Writes a set to `set.toml` in the folder and returns the file's path.
pub(super) fn write(set: &ConfigSet, folder: &Path) -> Result<PathBuf, StandinError> {
    let text = toml::to_string(set).map_err(|e| StandinError::Set(e.to_string()))?;
    let path = folder.join("set.toml");
    std::fs::write(&path, text).map_err(|cause| StandinError::Io {
        what: format!("writing {}", path.display()),
        cause,
    })?;
    Ok(path)
}

/// Returns the process name of a pool's upstream, `POOL-INDEX`.
pub(super) fn upstream_name(pool: &Pool, index: usize) -> String {
    format!("{}-{index}", pool.name)
}

/// Sets an organisation's rate, in requests per second, and its burst, in requests.
pub fn limit(set: &mut ConfigSet, organisation: &OrganisationName, rate: u64, burst: u32) {
    for o in &mut set.organisations {
        if o.name != *organisation {
            continue;
        }
        o.rate = cardamomroad::util::units::RequestRate::per_second(rate);
        o.burst = burst;
    }
}
