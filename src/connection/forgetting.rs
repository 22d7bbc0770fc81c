//! How long a connection may have rested before it is used again.
//!
//! An upstream may forget connections that rest, sooner than it says and without
//! closing them. The next request on such a connection is reset, and nobody can
//! tell whether it ran. So after a loss of that kind only connections that rested
//! much less are used for a while, and new ones are opened in place of the others.

use std::time::Duration;

use tokio::time::Instant;

/// How soon after the request a reset tells of a forgotten connection: a round trip
/// between regions, and less than most work takes.
const QUICK_LOSS: Duration = Duration::from_millis(200);
/// How long a connection may rest after such a loss.
const RESTED_MAX: Duration = Duration::from_millis(100);
/// How long such a loss is remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// What the losses on connections that had rested tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forgetting {
    /// The last loss, and how long connections may rest since.
    last: Option<(Instant, Duration)>,
}

impl Forgetting {
    /// Returns whether a connection that rested for so long may be used.
    pub fn allows(&self, now: Instant, rested: Duration) -> bool {
        match self.last {
            Some((at, most)) if now.saturating_duration_since(at) < MEMORY => rested <= most,
            _ => true,
        }
    }

    /// Notes that a request got no answer for `waited` on a connection that had rested.
    pub fn lost(&mut self, now: Instant, rested: Duration, waited: Duration) {
        if waited > QUICK_LOSS {
            return;
        }
        let most = RESTED_MAX.min(rested / 2);
        log::info!(
            event = "connections-forgotten",
            rested_ms = rested.as_millis() as u64,
            use_until_ms = most.as_millis() as u64;
            ""
        );
        self.last = Some((now, most));
    }
}
