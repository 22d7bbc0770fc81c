//! What one host knows of another, and what it takes it for.

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

/// The oldest stamp that look-ups give out, half of the window of the ids.
pub const LOOKUP_STAMP_AGE_MAX: Duration = Duration::from_secs(60);
/// How often each host passes a stamp on; more than once, so that it spreads.
const STAMP_PASSES: u8 = 2;

/// What a host takes another for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It is heard.
    Live,
    /// It did not answer, directly or through others; still routable.
    Suspect,
    /// It has been suspect for too long to route to. Its process may well run.
    Unreachable,
    /// It said, or the platform's list says, that it is leaving.
    Leaving,
    /// The platform's list dropped it and no probe of it was answered for [`GONE_TIMEOUT`].
    Gone,
}

/// What the platform's list says of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    /// No list that covers its zone was seen since the host is known.
    #[default]
    Unknown,
    /// The platform runs it.
    Live,
    /// The platform is going to stop it.
    Leaving,
    /// The last list does not name it.
    Absent,
}

/// What is known of one other host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: HostName,
    /// Where it stands and listens.
    pub contact: Contact,
    /// Its latest known incarnation; zero before it was heard.
    pub incarnation: Incarnation,
    /// Its latest known stamp.
    pub stamp: Stamp,
    /// When that stamp was heard, by this host or by the one that passed it on.
    pub heard: Option<Instant>,
    /// What it last told itself.
    pub facts: Option<Facts>,
    /// What the platform's last list says of it.
    pub listed: Listed,
    /// The hash of its name and incarnation.
    pub(super) process_hash: u64,
    pub(super) leaving: bool,
    pub(super) suspected: Option<Instant>,
    /// Whether a direct probe failed and indirect ones are due.
    pub(super) unanswered: bool,
    /// Indirect probes under way.
    pub(super) pending_indirect: usize,
    /// The stamp that was passed on last, and how often the present one was.
    pub(super) passed_stamp: Stamp,
    pub(super) stamp_passes: u8,
    /// When others should first hear of its last change.
    pub(super) changed: Instant,
    /// How often its last change is still to be passed on.
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

    /// Returns what the host is taken for by one that has listened since `resumed_at`.
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

    /// Tells whether other hosts may not know it from the platform's list.
    pub(super) fn is_unlisted(&self) -> bool {
        matches!(self.listed, Listed::Unknown | Listed::Absent)
    }

    /// Tells whether its stamp is young enough to be given out in a look-up.
    ///
    /// The stamp's age shortens the time in which ids made with it may begin.
    pub fn is_lookup_eligible(&self, now: Instant) -> bool {
        self.heard.is_some_and(|t| now < t + LOOKUP_STAMP_AGE_MAX)
    }

    /// Merges a claim; returns whether others should hear of the change.
    ///
    /// A larger incarnation wins; within one, a larger stamp does. So a host
    /// refutes a suspicion by living on.
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

    /// Merges a stamp of its present life; returns whether others should hear of a change.
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

    /// Returns the ticks since the stamp that was passed on last.
    pub(super) fn unpassed_ticks(&self) -> u64 {
        self.stamp.0.saturating_sub(self.passed_stamp.0)
    }

    /// Returns the stamp to pass on, unless it is too old to be of use. It counts
    /// as passed on after [`STAMP_PASSES`] times.
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

    /// Has others told of a change.
    pub(super) fn schedule_gossip(&mut self, now: Instant, repeats: u32) {
        self.changed = now;
        self.repeats = repeats;
    }

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

/// Returns the age in whole seconds, rounded up.
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
