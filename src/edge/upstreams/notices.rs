//! What upstreams have said about themselves in their answers: that they leave, or that they want
//! no requests from this host for a while.
//!
//! It belongs to one start of an upstream and is kept when the platform's list says otherwise or
//! drops the upstream, since the list may be older than the answer.

use std::collections::HashMap;

use tokio::time::Instant;

/// Maximum number of starts of upstreams for which notices are kept.
const NOTICES_MAX: usize = 4096;

/// What one start of an upstream has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Whether it leaves.
    pub leaving: bool,
    /// Until when it wants no requests from this host.
    pub paused_until: Option<Instant>,
    /// When it last said something.
    heard_at: Instant,
}

impl Notice {
    fn is_over(&self, now: Instant) -> bool {
        !self.leaving && self.paused_until.is_none_or(|until| until <= now)
    }
}

/// The notices of upstreams, by the hash of their start.
#[derive(Clone, Debug, Default)]
pub struct Notices(HashMap<u64, Notice>);

impl Notices {
    /// Returns what a start of an upstream has said; `None` if nothing.
    pub fn get(&self, start: u64) -> Option<Notice> {
        self.0.get(&start).copied()
    }

    /// Records that an upstream leaves; returns whether this is new.
    pub fn record_leaving(&mut self, now: Instant, start: u64) -> bool {
        let notice = self.entry(now, start);
        !std::mem::replace(&mut notice.leaving, true)
    }

    /// Records that an upstream wants no requests until `until`, unless it has asked for longer.
    /// Returns until when it is paused.
    pub fn record_pause(&mut self, now: Instant, start: u64, until: Instant) -> Instant {
        let notice = self.entry(now, start);
        let until = notice.paused_until.map_or(until, |known| known.max(until));
        notice.paused_until = Some(until);
        until
    }

    fn entry(&mut self, now: Instant, start: u64) -> &mut Notice {
        if self.0.len() >= NOTICES_MAX && !self.0.contains_key(&start) {
            self.make_room(now);
        }
        let notice = self.0.entry(start).or_insert(Notice {
            leaving: false,
            paused_until: None,
            heard_at: now,
        });
        notice.heard_at = now;
        notice
    }

    /// Removes the notices that are over, or else the one that was heard first.
    fn make_room(&mut self, now: Instant) {
        self.0.retain(|_, notice| !notice.is_over(now));
        if self.0.len() < NOTICES_MAX {
            return;
        }
        let oldest = self.0.iter().min_by_key(|(_, notice)| notice.heard_at);
        if let Some(start) = oldest.map(|(start, _)| *start) {
            self.0.remove(&start);
        }
    }
}
