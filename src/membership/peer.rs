//! What one host knows of another, and what it takes it for.

use tokio::time::Instant;

use crate::{
    membership::{
        GONE_SILENCE,
        HEARD_BOUND,
        SUSPECT_BOUND,
        message::{
            Claim,
            Contact,
            Facts,
            Gossip, //
        }, //
    },
    util::id::{
        HostName,
        Incarnation,
        Stamp, //
    },
};

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
    /// The platform's list dropped it and it was silent for [`GONE_SILENCE`].
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
    pub(super) known_since: Instant,
    pub(super) leaving: bool,
    pub(super) suspected: Option<Instant>,
    /// Whether a direct probe failed and indirect ones are due.
    pub(super) unanswered: bool,
    /// Indirect probes under way.
    pub(super) indirect: usize,
    /// How often its last change is still to be passed on.
    pub(super) repeats: u32,
}

impl Peer {
    pub(super) fn new(name: HostName, contact: Contact, now: Instant) -> Self {
        Self {
            name,
            contact,
            incarnation: Incarnation::default(),
            stamp: Stamp::default(),
            heard: None,
            facts: None,
            listed: Listed::default(),
            known_since: now,
            leaving: false,
            suspected: None,
            unanswered: false,
            indirect: 0,
            repeats: 0,
        }
    }

    /// Returns what the host is taken for by one that has listened since `listening`.
    pub(super) fn state(&self, now: Instant, listening: Instant) -> PeerState {
        let silent_since = self.heard.unwrap_or(self.known_since).max(listening);
        if self.listed == Listed::Absent && now >= silent_since + GONE_SILENCE {
            return PeerState::Gone;
        }
        let suspected = self.suspected.map(|t| now.saturating_duration_since(t));
        if suspected.is_some_and(|d| d >= SUSPECT_BOUND) {
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

    /// Merges a claim; returns whether others should hear of the change.
    ///
    /// A larger incarnation wins; within one, a larger stamp does. So a host
    /// refutes a suspicion by living on.
    pub(super) fn merge(&mut self, now: Instant, g: &Gossip) -> bool {
        if g.incarnation < self.incarnation {
            return false;
        }
        let reborn = g.incarnation > self.incarnation;
        if reborn {
            *self = Self {
                listed: self.listed,
                ..Self::new(self.name.clone(), self.contact.clone(), now)
            };
            self.incarnation = g.incarnation;
        }
        if let Some(contact) = &g.contact {
            self.contact = contact.clone();
        }
        let changed = match g.claim {
            Claim::Suspect => {
                let heard = self.heard.is_some_and(|t| now < t + HEARD_BOUND);
                g.stamp >= self.stamp && !heard && self.suspect(now)
            }
            Claim::Live => g.stamp > self.stamp && self.clear_suspicion(),
            Claim::Leaving => {
                let revived = g.stamp > self.stamp && self.clear_suspicion();
                !std::mem::replace(&mut self.leaving, true) || revived
            }
        };
        if g.stamp > self.stamp || reborn {
            self.stamp = g.stamp;
            self.heard = self.heard.max(g.heard_at(now));
        }
        changed || reborn
    }

    pub(super) fn suspect(&mut self, now: Instant) -> bool {
        let changed = self.suspected.is_none();
        self.suspected.get_or_insert(now);
        changed
    }

    fn clear_suspicion(&mut self) -> bool {
        self.unanswered = false;
        self.indirect = 0;
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
        now.checked_sub(std::time::Duration::from_secs(self.age_seconds.into()))
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
