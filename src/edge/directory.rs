//! Selects the hosts that a look-up returns.
//!
//! Callers pick one of the returned hosts at random. In a fleet of large and small hosts, returning
//! all of them equally often would send the same load to a host with a fifth of the processor time.
//! Each look-up therefore includes a host at random with a probability in proportion to its size,
//! so that over many callers the load is in proportion to the sizes.

use std::net::SocketAddr;

use rand::{
    Rng,
    RngExt, //
};

/// Minimum number of hosts in an answer, if that many exist, so that callers can retry on another
/// host.
const ANSWER_HOSTS_MIN: usize = 3;

/// A host that accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Address on which the host accepts requests.
    pub address: SocketAddr,
    /// Processor time of the host, in thousandths of a core.
    pub millicores: u32,
}

/// Returns the addresses of the hosts to include in one look-up's answer.
pub fn choose_hosts(hosts: &[Candidate], rng: &mut impl Rng) -> Vec<SocketAddr> {
    let largest = hosts.iter().map(|h| h.millicores).max().unwrap_or(0);
    let mut scored: Vec<(f64, SocketAddr)> = hosts
        .iter()
        .map(|h| {
            let probability = f64::from(h.millicores.max(1)) / f64::from(largest.max(1));
            // Negative if the host is included. The others with the lowest values fill up to the
            // minimum.
            (rng.random::<f64>() - probability, h.address)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    let included = scored.iter().filter(|(score, _)| *score < 0.0).count();
    scored.truncate(included.max(ANSWER_HOSTS_MIN));
    scored.into_iter().map(|(_, address)| address).collect()
}
