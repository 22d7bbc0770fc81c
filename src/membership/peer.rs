//! The state that one host keeps about another one.

use tokio::time::{
    Duration,
    Instant, //
};

use crate::{
    membership::{
        GONE_TIMEOUT,
        RECENTLY_HEARD,
        SUSPECT_TIMEOUT,
        message::{
            Claim,
            Contact,
            Facts,
            Gossip,
            StampEntry, //
        }, //
    },
    util::id::{
        HostName,
        Incarnation,
        Stamp, //
    },
};

/// Hosts with an older stamp are left out of look-up answers; half of the id window.
pub const LOOKUP_STAMP_AGE_MAX: Duration = Duration::from_secs(60);
/// How often each host passes a stamp on; more than once so that it spreads.
const STAMP_PASSES: u8 = 2;

/// The state of another host as judged by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Neither suspected nor leaving.
    Live,
    /// It answered neither direct nor indirect probes; still routable.
    Suspect,
    /// It has been suspect for [`SUSPECT_TIMEOUT`] and is not routed to. Its process may still run.
    Unreachable,
    /// It announced, or the platform's list states, that it is leaving.
    Leaving,
    /// The platform's list no longer names it and it answered no probe for [`GONE_TIMEOUT`].
    Gone,
}

/// The state of a host in the platform's list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// No list that covers its zone has arrived since the host became known.
    #[default]
    Unknown,
    /// The list names it as running.
    Live,
    /// The list names it as about to be stopped.
    Leaving,
    /// The latest list does not name it.
    Absent,
}

/// The knowledge about one other host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The host's name, unique over all zones.
    pub name: HostName,
    /// Its zone and addresses.
    pub contact: Contact,
    /// Its latest known incarnation; zero before the first message from or about it.
    pub incarnation: Incarnation,
    /// The latest known stamp of that incarnation.
    pub stamp: Stamp,
    /// When that stamp was received from the host, here or by the host that passed it on.
    pub heard: Option<Instant>,
    /// The report in its latest own heartbeat.
    pub facts: Option<Facts>,
    /// Its state in the platform's latest list.
    pub listed: Listed,
    /// The hash of its name and incarnation.
    pub(super) process_hash: u64,
    pub(super) leaving: bool,
    pub(super) suspected: Option<Instant>,
    /// Whether a direct probe failed and indirect ones are due.
    pub(super) unanswered: bool,
    /// Indirect probes without a result yet.
    pub(super) pending_indirect: usize,
    /// The last stamp that was passed on [`STAMP_PASSES`] times, and how often
    /// stamps were passed on since.
    pub(super) passed_stamp: Stamp,
    pub(super) stamp_passes: u8,
    /// When its last change to pass on was found.
    pub(super) changed: Instant,
    /// How many more times to pass that change on.
    pub(super) repeats: u32,
}

impl Peer {
    pub(super) fn new(name: HostName, contact: Contact, now: Instant) -> Self {
        Self {
            process_hash: StampEntry::process_hash(&name, Incarnation::default()),
            name,
            contact,
            incarnation: Incarnation::default(),
            stamp: Stamp::default(),
            heard: None,
            facts: None,
            listed: Listed::default(),
            leaving: false,
            suspected: None,
            unanswered: false,
            pending_indirect: 0,
            passed_stamp: Stamp::default(),
            stamp_passes: 0,
            changed: now,
            repeats: 0,
        }
    }

    /// Returns the host's state as judged by a process that started or resumed at `resumed_at`.
    pub(super) fn state(&self, now: Instant, resumed_at: Instant) -> PeerState {
        let silent = |t: Instant| now >= t.max(resumed_at) + GONE_TIMEOUT;
        if self.listed == Listed::Absent && self.suspected.is_some_and(silent) {
            return PeerState::Gone;
        }
        let suspected = self.suspected.map(|t| now.saturating_duration_since(t));
        if suspected.is_some_and(|d| d >= SUSPECT_TIMEOUT) {
            return PeerState::Unreachable;
        }
        if self.leaving || self.listed == Listed::Leaving {
            return PeerState::Leaving;
        }
        if suspected.is_some() {
            return PeerState::Suspect;
        }
        PeerState::Live
    }

    /// Returns whether other hosts may not know it from the platform's list.
    pub(super) fn is_unlisted(&self) -> bool {
        matches!(self.listed, Listed::Unknown | Listed::Absent)
    }

    /// Returns whether its stamp is recent enough for a look-up answer.
    ///
    /// The age of the stamp shortens the time in which a request id made with it is valid.
    pub fn is_lookup_eligible(&self, now: Instant) -> bool {
        self.heard.is_some_and(|t| now < t + LOOKUP_STAMP_AGE_MAX)
    }

    /// Merges a claim; returns whether it changed the state and has to be passed on.
    ///
    /// A larger incarnation wins; within one, a larger stamp wins. A running host
    /// refutes a suspicion because its stamp keeps growing.
    pub(super) fn merge(&mut self, now: Instant, g: &Gossip) -> bool {
        if g.incarnation < self.incarnation {
            return false;
        }
        let restarted = g.incarnation > self.incarnation;
        if restarted {
            *self = Self {
                listed: self.listed,
                ..Self::new(self.name.clone(), self.contact.clone(), now)
            };
            self.incarnation = g.incarnation;
            self.process_hash = StampEntry::process_hash(&self.name, g.incarnation);
        }
        if let Some(contact) = &g.contact {
            self.contact = contact.clone();
        }
        let changed = match g.claim {
            Claim::Suspect => {
                let heard = self.heard.is_some_and(|t| now < t + RECENTLY_HEARD);
                g.stamp >= self.stamp && !heard && self.suspect(now)
            }
            Claim::Live => g.stamp > self.stamp && self.clear_suspicion(),
            Claim::Leaving => {
                let refuted = g.stamp > self.stamp && self.clear_suspicion();
                !std::mem::replace(&mut self.leaving, true) || refuted
            }
        };
        if g.stamp > self.stamp || restarted {
            self.stamp = g.stamp;
            self.heard = self.heard.max(g.heard_at(now));
        }
        changed || restarted
    }

    /// Merges a stamp of the current incarnation; returns whether it cleared a suspicion.
    pub(super) fn refresh(&mut self, now: Instant, entry: &StampEntry) -> bool {
        let stamp = Stamp(entry.stamp.into());
        if stamp <= self.stamp {
            return false;
        }
        self.stamp = stamp;
        let age = Duration::from_secs(entry.age_seconds.into());
        self.heard = self.heard.max(now.checked_sub(age));
        self.clear_suspicion()
    }

    /// Returns by how many ticks the latest stamp exceeds the last one passed on.
    pub(super) fn unpassed_ticks(&self) -> u64 {
        self.stamp.0.saturating_sub(self.passed_stamp.0)
    }

    /// Returns the stamp to pass on, or `None` if its age or value does not fit the entry.
    /// It counts as passed on after [`STAMP_PASSES`] calls.
    pub(super) fn pass_stamp(&mut self, now: Instant) -> Option<StampEntry> {
        self.stamp_passes += 1;
        if self.stamp_passes >= STAMP_PASSES {
            self.passed_stamp = self.stamp;
            self.stamp_passes = 0;
        }
        let age_seconds = u8::try_from(age_seconds(now, self.heard)).ok()?;
        Some(StampEntry {
            process_hash: self.process_hash,
            stamp: u32::try_from(self.stamp.0).ok()?,
            age_seconds,
        })
    }

    /// Schedules a change to be passed on `repeats` times.
    pub(super) fn schedule_gossip(&mut self, now: Instant, repeats: u32) {
        self.changed = now;
        self.repeats = repeats;
    }

    /// Marks the host as suspect; returns whether it was not before.
    pub(super) fn suspect(&mut self, now: Instant) -> bool {
        let changed = self.suspected.is_none();
        self.suspected.get_or_insert(now);
        changed
    }

    fn clear_suspicion(&mut self) -> bool {
        self.unanswered = false;
        self.pending_indirect = 0;
        self.suspected.take().is_some()
    }

    pub(super) fn gossip(&self, now: Instant, with_contact: bool) -> Gossip {
        let claim = match (self.leaving, self.suspected) {
            (true, _) => Claim::Leaving,
            (false, Some(_)) => Claim::Suspect,
            (false, None) => Claim::Live,
        };
        Gossip {
            host: self.name.clone(),
            incarnation: self.incarnation,
            stamp: self.stamp,
            age_seconds: age_seconds(now, self.heard),
            claim,
            contact: with_contact.then(|| self.contact.clone()),
        }
    }
}

impl Gossip {
    fn heard_at(&self, now: Instant) -> Option<Instant> {
        now.checked_sub(Duration::from_secs(self.age_seconds.into()))
    }
}

/// Returns the age in whole seconds, rounded up; `u16::MAX` if never heard.
fn age_seconds(now: Instant, heard: Option<Instant>) -> u16 {
    let Some(heard) = heard else {
        return u16::MAX;
    };
    let age = now
        .saturating_duration_since(heard)
        .as_millis()
        .div_ceil(1_000);
    u16::try_from(age).unwrap_or(u16::MAX)
}
