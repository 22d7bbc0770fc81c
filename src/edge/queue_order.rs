//! The order in which waiting requests get the next free slot.
//!
//! Under sustained overload, the most urgent requests alone could take every slot. They are served
//! first, but every few turns are reserved for one rank after another in rotation, so that no
//! organisation and no kind of request starves. The rank of a request is that of its organisation,
//! then that of its route.

use smallvec::SmallVec;
use tokio::time::Instant;

/// One turn in this many is reserved for a single rank.
const ROTATION_INTERVAL_TURNS: u32 = 3;

/// Sorts waiting requests for one turn, the next one to serve first. `key` returns a request's
/// rank, the lowest being the most urgent, and its arrival time; `turn` counts the turns so far.
pub fn sort_waiting<T, R: Copy + Ord>(
    turn: u32,
    waiting: &mut [T],
    key: impl Fn(&T) -> (R, Instant),
) {
    if !turn.is_multiple_of(ROTATION_INTERVAL_TURNS) {
        waiting.sort_by_key(key);
        return;
    }
    let mut ranks: SmallVec<[R; 8]> = waiting.iter().map(|w| key(w).0).collect();
    ranks.sort_unstable();
    ranks.dedup();
    if ranks.is_empty() {
        return;
    }
    let preferred = ranks[(turn / ROTATION_INTERVAL_TURNS) as usize % ranks.len()];
    waiting.sort_by_key(|w| (key(w).0 != preferred, key(w)));
}
