//! Newest version of the configuration that other hosts have, to recognise that this host's keys
//! come from an older copy of the store.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    model::ConfigVersion,
    topic::Era, //
};

/// How long a new process waits to hear of another host's version before it trusts its own. Longer
/// than a few heartbeats; a fleet whose hosts are all new waits this long once.
pub const FIRST_VERSION_WAIT: Duration = Duration::from_millis(2500);
/// How long after a rise of the era, or after its start, a host counts its reads as reads of a copy
/// that may be older, so that a newer version elsewhere ends the trust in keys immediately.
pub const OLDER_COPY_SUSPECTED: Duration = Duration::from_secs(60);
/// How long a newer version counts after the last host that had it was heard. A version that no
/// running host has cannot be obtained, so that it must not block the others for longer.
pub const NEWER_VERSION_KEPT: Duration = Duration::from_secs(60);

/// What this host knows about the versions of other hosts.
#[derive(Clone, Debug, Default)]
pub struct ConfigVersions {
    era: Option<Era>,
    /// When this process first read a store that may have gone back before.
    started_at: Option<Instant>,
    /// When the era last changed, or the process started.
    changed_at: Option<Instant>,
    /// Whether this host may rely on its own version unless it hears of a newer one.
    is_settled: bool,
    heard: Option<(ConfigVersion, Instant)>,
}

impl ConfigVersions {
    /// Records the era of an update. A process that begins in an era above 0 may be reading an older
    /// copy.
    pub fn observe_era(&mut self, now: Instant, era: Era) {
        match self.era.replace(era) {
            None if era == Era::default() => self.is_settled = true,
            None => {
                self.started_at = Some(now);
                self.changed_at = Some(now);
            }
            Some(known) if known != era => self.changed_at = Some(now),
            Some(_) => {}
        }
    }

    /// Records the newest version that other hosts have now; `None` if none has told its version.
    pub fn hear(&mut self, now: Instant, newest: Option<ConfigVersion>) {
        let waited = |since: Instant| now.saturating_duration_since(since) >= FIRST_VERSION_WAIT;
        self.is_settled |= newest.is_some() || self.started_at.is_some_and(waited);
        let Some(newest) = newest else {
            return;
        };
        let is_outdated = |at: Instant| now.saturating_duration_since(at) >= NEWER_VERSION_KEPT;
        match self.heard {
            Some((known, at)) if known > newest && !is_outdated(at) => {}
            _ => self.heard = Some((newest, now)),
        }
    }

    /// Returns whether the store may have gone back at some time.
    pub fn is_active(&self) -> bool {
        self.era.is_some_and(|era| era > Era::default())
    }

    /// Returns whether this host tells its version to others.
    pub fn is_announced(&self) -> bool {
        self.is_active() && self.is_settled
    }

    /// Returns whether a read of the store shows that a version is the newest one.
    pub fn may_confirm(&self, now: Instant, in_force: Option<ConfigVersion>) -> bool {
        !self.is_active() || (self.is_settled && !self.knows_newer(now, in_force))
    }

    /// Returns whether requests with keys must wait for a newer version, although the reads of the
    /// store are recent enough.
    pub fn blocks_keys(&self, now: Instant, in_force: Option<ConfigVersion>) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OLDER_COPY_SUSPECTED;
        let is_suspected = self.changed_at.is_some_and(is_recent);
        self.is_active() && is_suspected && !self.may_confirm(now, in_force)
    }

    fn knows_newer(&self, now: Instant, in_force: Option<ConfigVersion>) -> bool {
        self.heard.is_some_and(|(version, at)| {
            Some(version) > in_force && now.saturating_duration_since(at) < NEWER_VERSION_KEPT
        })
    }
}
