//! How long a connection may have rested before it is used again.
//!
//! An upstream may forget connections that rest, sooner than it says and without
//! closing them. The next request on such a connection is reset, and nobody can
//! tell whether it ran. Single requests are reset for other reasons too; where it
//! happens to a good part of the connections that had rested, only those that rested
//! much less are used for a while, and new ones are opened in place of the others.

use std::time::Duration;

use tokio::time::Instant;

/// How much later than a round trip a reset may come that tells of a forgotten connection;
/// work takes longer.
const RESET_SLACK: Duration = Duration::from_millis(5);
/// How long a connection may rest where others were forgotten.
const RESTED_MAX: Duration = Duration::from_millis(100);
/// How long that is remembered.
const MEMORY: Duration = Duration::from_secs(10);
/// The weight of one request in the part of those that were reset.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The part from which on connections count as forgotten: three requests almost in a row.
const FORGOTTEN_PART: f64 = 0.35;

/// What the requests on connections that had rested tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forgetting {
    /// The part of them that was reset at once.
    reset: f64,
    /// When that part was last too large.
    since: Option<Instant>,
}

impl Forgetting {
    /// Returns whether a connection that rested for so long may be used.
    pub fn allows(&self, now: Instant, rested: Duration) -> bool {
        let remembered = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        rested <= RESTED_MAX || !self.since.is_some_and(remembered)
    }

    /// Notes that a request was answered on a connection that had rested.
    pub fn answered(&mut self, rested: Duration) {
        if rested > RESTED_MAX {
            self.reset -= self.reset * SAMPLE_WEIGHT;
        }
    }

    /// Notes that a request got no answer for `waited` on a connection that had rested,
    /// to an address that answers after `round_trip` where nothing is to be done.
    ///
    /// A reset that comes later than a round trip may have met work, and says nothing of rest.
    pub fn lost(&mut self, now: Instant, rested: Duration, waited: Duration, round_trip: Duration) {
        if waited > round_trip + RESET_SLACK || rested <= RESTED_MAX {
            return;
        }
        self.reset += (1.0 - self.reset) * SAMPLE_WEIGHT;
        if self.reset < FORGOTTEN_PART {
            return;
        }
        log::info!(
            event = "connections-forgotten",
            rested_ms = rested.as_millis() as u64,
            part = format!("{:.2}", self.reset).as_str(),
            use_until_ms = RESTED_MAX.as_millis() as u64;
            ""
        );
        self.since = Some(now);
        self.reset = 0.0;
    }
}
