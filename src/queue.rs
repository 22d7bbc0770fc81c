//! Requests that wait at a gateway for a slot, and which of them goes next.
//!
//! When slots are short, the next one goes to the organisation that is
//! furthest below its weighted max-min part ([`crate::fairness`]); within an
//! organisation the oldest request goes first. A request waits for a part of
//! the time that its caller does, so that a refusal leaves time to go elsewhere.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::{
    fairness::Slots,
    util::id::OrganisationName, //
};

/// A request waits for this part of the time that is left before its deadline.
const WAIT_DIVISOR: u32 = 2;
/// The most requests of one organisation that wait at one gateway for one service.
pub const WAITING_PER_ORGANISATION_MAX: usize = 64;

/// A request that waits.
#[derive(Clone, Debug)]
struct QueuedRequest<T> {
    ticket: T,
    expires_at: Instant,
}

/// The requests of one service that wait at one gateway.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    slots: Slots,
    waiting: BTreeMap<OrganisationName, VecDeque<QueuedRequest<T>>>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            slots: Slots::new(u64::MAX),
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request at once where no other organisation that waits is
    /// further below its part; its slot is counted until [`Queue::finish`].
    /// Returns whether it started.
    pub fn start(&mut self, organisation: &OrganisationName, weight: u32) -> bool {
        if self.waiting.contains_key(organisation) {
            return false;
        }
        self.slots.wait(organisation, weight);
        if self.slots.start(organisation) {
            return true;
        }
        self.slots.cancel_wait(organisation);
        false
    }

    /// Lets a request wait until a slot is free or half of the time before its
    /// deadline has passed. Gives the ticket back where too many wait already.
    pub fn push(
        &mut self,
        now: Instant,
        organisation: &OrganisationName,
        weight: u32,
        deadline: Instant,
        ticket: T,
    ) -> Result<(), T> {
        let requests = self.waiting.entry(organisation.clone()).or_default();
        if requests.len() >= WAITING_PER_ORGANISATION_MAX {
            return Err(ticket);
        }
        let expires_at = now + deadline.saturating_duration_since(now) / WAIT_DIVISOR;
        requests.push_back(QueuedRequest { ticket, expires_at });
        self.slots.wait(organisation, weight);
        Ok(())
    }

    /// Returns the request that goes next.
    pub fn peek(&self) -> Option<&T> {
        let requests = self.waiting.get(self.slots.next()?)?;
        requests.front().map(|w| &w.ticket)
    }

    /// Takes the request that goes next and counts its slot.
    pub fn pop(&mut self) -> Option<T> {
        let next = self.slots.next()?.clone();
        let requests = self.waiting.get_mut(&next)?;
        let first = requests.pop_front()?;
        if requests.is_empty() {
            self.waiting.remove(&next);
        }
        self.slots.start(&next);
        Some(first.ticket)
    }

    /// Takes out the requests that have waited for too long.
    pub fn expire(&mut self, now: Instant) -> SmallVec<[T; 4]> {
        let mut expired = SmallVec::new();
        for (organisation, requests) in &mut self.waiting {
            while let Some(i) = requests.iter().position(|w| w.expires_at <= now) {
                expired.extend(requests.remove(i).map(|w| w.ticket));
                self.slots.cancel_wait(organisation);
            }
        }
        self.waiting.retain(|_, requests| !requests.is_empty());
        expired
    }

    /// Gives back the slot of a request that ended.
    pub fn finish(&mut self, organisation: &OrganisationName) {
        self.slots.finish(organisation);
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
