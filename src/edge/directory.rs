//! Which hosts a look-up names.
//!
//! The pattern is a fleet of large and small hosts whose callers pick one of the
//! named hosts by chance. A host named as often as any other would get the same
//! work with a fifth of the processor. So a look-up names each host by chance, in
//! proportion to its size, and over many callers the work follows the sizes.

use std::net::SocketAddr;

use rand::{
    Rng,
    RngExt, //
};

/// Hosts that a look-up names at least, where there are as many: callers need others to try.
const NAMED_MIN: usize = 3;

/// A host that takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Where it takes them.
    pub address: SocketAddr,
    /// Its processor time, in thousandths of a core.
    pub millicores: u32,
}

/// Returns the hosts that one look-up names.
pub fn draw(hosts: &[Candidate], rng: &mut impl Rng) -> Vec<SocketAddr> {
    let largest = hosts.iter().map(|h| h.millicores).max().unwrap_or(0);
    let mut drawn: Vec<(f64, SocketAddr)> = hosts
        .iter()
        .map(|h| {
            let part = f64::from(h.millicores.max(1)) / f64::from(largest.max(1));
            // Below 0 where chance names the host; the least of the others come next.
            (rng.random::<f64>() - part, h.address)
        })
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    let named = drawn.iter().filter(|(over, _)| *over < 0.0).count();
    drawn.truncate(named.max(NAMED_MIN));
    drawn.into_iter().map(|(_, address)| address).collect()
}
