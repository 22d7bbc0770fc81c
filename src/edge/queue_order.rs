//! The order in which waiting requests get the next free slot.
//!
//! Under sustained overload, the most urgent requests alone could take every slot. They are served
//! first, but every few turns are reserved for one priority after another in rotation, so that no
//! organisation and no kind of request starves.

use smallvec::SmallVec;
use tokio::time::Instant;

use super::model::Priority;

/// One turn in this many is reserved for a single priority.
const ROTATION_INTERVAL_TURNS: u32 = 3;

/// Sorts waiting requests for one turn, the next one to serve first. `key` returns a request's
/// priority and arrival time; `turn` counts the turns so far.
pub fn sort_waiting<T>(turn: u32, waiting: &mut [T], key: impl Fn(&T) -> (Priority, Instant)) {
    if !turn.is_multiple_of(ROTATION_INTERVAL_TURNS) {
        waiting.sort_by_key(key);
        return;
    }
    let mut priorities: SmallVec<[Priority; 8]> = waiting.iter().map(|w| key(w).0).collect();
    priorities.sort_unstable();
    priorities.dedup();
    if priorities.is_empty() {
        return;
    }
    let preferred = priorities[(turn / ROTATION_INTERVAL_TURNS) as usize % priorities.len()];
    waiting.sort_by_key(|w| (key(w).0 != preferred, key(w)));
}
