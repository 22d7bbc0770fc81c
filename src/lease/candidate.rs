//! Which hosts try for a lease, so that not all of them read its record.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::util::id::HostName;

/// Hosts that try for one lease.
pub const CANDIDATES_MAX: usize = 3;

/// Returns the hosts that try for a lease, by rendezvous hashing over its name.
///
/// Hosts that know different members may differ on the candidates; the store's
/// conditional update decides among them.
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
