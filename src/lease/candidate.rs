//! Selects the few hosts that try to acquire a lease, so that not all hosts read its record.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::util::id::HostName;

/// The number of hosts that try to acquire one lease.
pub const CANDIDATES_MAX: usize = 3;

/// Selects the candidates for a lease by rendezvous hashing over its name.
///
/// Hosts with different membership lists may select different candidates; the store's
/// conditional write still lets only one of them win.
pub fn candidates<'a>(
    lease: &str,
    hosts: impl Iterator<Item = &'a HostName>,
) -> SmallVec<[&'a HostName; CANDIDATES_MAX]> {
    let seed = xxh3_64_with_seed(lease.as_bytes(), 0);
    let score = |h: &HostName| xxh3_64_with_seed(h.as_str().as_bytes(), seed);
    let mut ranked: Vec<_> = hosts.map(|h| (score(h), h)).collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .rev()
        .take(CANDIDATES_MAX)
        .map(|(_, h)| h)
        .collect()
}
