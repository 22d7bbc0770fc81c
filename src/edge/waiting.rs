//! The order in which waiting requests get the next free slot.
//!
//! Under sustained overload, the most urgent requests alone could take every slot. They are served
//! first, but every few turns are reserved for one priority after another in rotation, so that no
//! organisation and no kind of request starves.

use smallvec::SmallVec;
use tokio::time::Instant;

use super::model::Priority;

/// One turn in this many is reserved for a single priority.
const TURNS_OF_RANKS: u32 = 3;

/// Sorts waiting requests for one turn, the next one to serve first. `key` returns a request's
/// priority and arrival time; `turn` counts the turns so far.
pub fn order<T>(turn: u32, waiting: &mut [T], key: impl Fn(&T) -> (Priority, Instant)) {
    if !turn.is_multiple_of(TURNS_OF_RANKS) {
        waiting.sort_by_key(key);
        return;
    }
    let mut ranks: SmallVec<[Priority; 8]> = waiting.iter().map(|w| key(w).0).collect();
    ranks.sort_unstable();
    ranks.dedup();
    if ranks.is_empty() {
        return;
    }
    let preferred = ranks[(turn / TURNS_OF_RANKS) as usize % ranks.len()];
    waiting.sort_by_key(|w| (key(w).0 != preferred, key(w)));
}
