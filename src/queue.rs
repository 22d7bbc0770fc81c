//! A fair queue of requests that wait at a gateway for a slot.
//!
//! The next free slot goes to the organisation that is furthest below its
//! weighted max-min share ([`crate::fairness`]). Within an organisation, requests
//! are served in order of arrival. A request waits for only a fraction of the
//! time until its deadline, so that a refused caller has time to retry elsewhere.

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

/// A request waits for at most the time until its deadline divided by this.
const WAIT_DIVISOR: u32 = 2;
/// The maximum number of waiting requests per organisation, gateway and service.
pub const WAITING_PER_ORGANISATION_MAX: usize = 64;

/// A waiting request.
#[derive(Clone, Debug)]
struct QueuedRequest<T> {
    ticket: T,
    expires_at: Instant,
}

/// The waiting requests for one service at one gateway, by organisation.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    slots: Slots,
    waiting: BTreeMap<OrganisationName, VecDeque<QueuedRequest<T>>>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            slots: Slots::new(u64::MAX),
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a request at once, unless a request of its own organisation waits or
    /// another waiting organisation is further below its share. The slot counts as
    /// in use until [`FairQueue::finish`]. Returns whether the request started.
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

    /// Queues a request until a slot is free or half of the time until its deadline
    /// has passed. Returns the ticket if too many requests of its organisation wait.
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

    /// Returns the ticket of the request to start next, without removing it.
    pub fn peek(&self) -> Option<&T> {
        let requests = self.waiting.get(self.slots.next()?)?;
        requests.front().map(|w| &w.ticket)
    }

    /// Removes the request to start next and counts its slot as in use.
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

    /// Removes the requests whose waiting time has expired and returns their tickets.
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

    /// Releases the slot of a request that has ended.
    pub fn finish(&mut self, organisation: &OrganisationName) {
        self.slots.finish(organisation);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
