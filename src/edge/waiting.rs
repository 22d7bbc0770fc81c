//! The order in which waiting requests get the next free slot.
//!
//! The pattern is a standing overload, under which the most urgent requests alone
//! could take every slot. They go first, but every few turns belong to one of the
//! ranks after the other, so that no organisation and no kind of request is starved.

use smallvec::SmallVec;
use tokio::time::Instant;

use super::model::Priority;

/// One turn in this many belongs to a single rank.
const TURNS_OF_RANKS: u32 = 3;

/// Sorts waiting requests for one turn, the first to be served first.
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
