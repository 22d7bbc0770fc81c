//! Queues requests for upstream slots of the own zone, with fairness between
//! organisations.

use tokio::{
    sync::oneshot,
    time::Instant, //
};

use crate::{
    explain::{
        self,
        Basis, //
    },
    host::{
        Host,
        message::{
            Choice,
            Choose,
            Target, //
        },
    },
    pool::Pick,
    quarantine::Admission,
    refusal::{
        Reason,
        Refusal, //
    },
    util::id::{
        OrganisationName,
        ServiceName, //
    },
};

/// Organisation name under which requests of open routes are queued. It cannot collide
/// with a configured organisation, since names of objects hold no digit before a dot.
const OPEN_ROUTES_NAME: &str = "0.open";

/// A queued request and the channel for its choice.
#[derive(Debug)]
pub struct Waiter {
    msg: Choose,
    tx: oneshot::Sender<Choice>,
}

impl Host {
    /// Returns the organisation under which a request is queued, and its weight.
    pub(super) fn queue_organisation(
        &self,
        organisation: Option<&OrganisationName>,
    ) -> (OrganisationName, u32) {
        let Some(name) = organisation else {
            let open = OPEN_ROUTES_NAME.parse();
            return (
                open.unwrap_or_else(|_| unreachable!("the name is valid")),
                1,
            );
        };
        let index = self.index.as_ref();
        let weight = index
            .and_then(|i| i.organisation(name))
            .map_or(1, |o| o.weight);
        (name.clone(), weight)
    }

    /// Sends a request to an upstream of the own zone, or queues it.
    pub(super) fn choose_upstream(
        &mut self,
        now: Instant,
        msg: &Choose,
        journal_choice: explain::Choice,
        basis: Basis,
    ) -> Choice {
        let (name, weight) = self.queue_organisation(msg.organisation.as_ref());
        let queue = self.queues.entry(msg.service.clone()).or_default();
        if !queue.start(&name, weight) {
            return self.wait_for_slot(now, msg, &name, weight);
        }
        match self.take_slot(now, msg, journal_choice, basis) {
            Some(choice) => choice,
            None => {
                self.release_queue_slot(&msg.service, &name);
                self.wait_for_slot(now, msg, &name, weight)
            }
        }
    }

    /// Takes a free slot of this host, or passes the request to a gateway of the own zone
    /// that has one. Returns none if there is neither.
    fn take_slot(
        &mut self,
        now: Instant,
        msg: &Choose,
        journal_choice: explain::Choice,
        basis: Basis,
    ) -> Option<Choice> {
        let pool = self.pools.get_mut(&msg.service)?;
        let decision = pool.pick(now, msg.local_only, &mut self.rng);
        match decision.pick {
            Pick::Upstream { address, .. } => {
                match self.quarantine.admit(now, msg.suspect, address) {
                    Admission::Run => {}
                    Admission::Alone => {
                        self.isolated_suspects.insert(address, msg.suspect);
                    }
                    Admission::Busy | Admission::Refused => return None,
                }
                pool.started(now, address);
                let target = explain::Target::Upstream(address);
                self.record_route(now, msg, target, journal_choice, basis);
                Some(self.open_try(msg, Target::Upstream(address)))
            }
            Pick::Forward { host } => {
                let target = self.gateway(host, self.cfg.zone.clone())?;
                if msg.tried.contains(&target) {
                    return None;
                }
                let (name, _) = self.queue_organisation(msg.organisation.as_ref());
                self.release_queue_slot(&msg.service, &name);
                self.record_gateway(now, msg, &target, journal_choice, basis);
                Some(self.open_try(msg, target))
            }
            Pick::Busy { .. } => None,
        }
    }

    /// Queues a request for a slot, for a bounded time. Refuses it if the queue is full
    /// or this host has no pool of the service.
    pub(super) fn wait_for_slot(
        &mut self,
        now: Instant,
        msg: &Choose,
        name: &OrganisationName,
        weight: u32,
    ) -> Choice {
        if !self.pools.contains_key(&msg.service) {
            return self.refuse_overloaded(now, &msg.service);
        }
        let (tx, rx) = oneshot::channel();
        let waiter = Waiter {
            msg: msg.clone(),
            tx,
        };
        let queue = self.queues.entry(msg.service.clone()).or_default();
        match queue.push(now, name, weight, msg.deadline, waiter) {
            Ok(()) => Choice::Queued(rx),
            Err(_) => self.refuse_overloaded(now, &msg.service),
        }
    }

    /// Returns a refusal for a service without free slots, with a retry delay.
    pub(super) fn refuse_overloaded(&self, now: Instant, service: &ServiceName) -> Choice {
        let after = self.retry_after(now, service);
        Choice::Refused(Refusal::not_run(Reason::Overload).with_retry_after(after))
    }

    /// Releases the slot that the queue counts for an organisation.
    pub(super) fn release_queue_slot(&mut self, service: &ServiceName, name: &OrganisationName) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.finish(name);
        }
    }

    /// Assigns free slots to queued requests of all services, and refuses those that
    /// waited too long.
    pub(super) fn serve_queues(&mut self, now: Instant) {
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve_queue(now, &service);
        }
    }

    /// Assigns free slots to queued requests of one service, and refuses those that
    /// waited too long.
    pub(super) fn serve_queue(&mut self, now: Instant, service: &ServiceName) {
        let Some(queue) = self.queues.get_mut(service) else {
            return;
        };
        for expired in queue.expire(now) {
            let refusal = self.refuse_overloaded(now, service);
            // The send fails only if the caller is gone, which needs no answer.
            let _ = expired.tx.send(refusal);
        }
        loop {
            let has_room = self.pools.get(service).is_some_and(|p| p.has_room(now));
            let Some(queue) = self.queues.get_mut(service).filter(|_| has_room) else {
                return;
            };
            let Some(waiter) = queue.pop() else {
                return;
            };
            self.serve_waiter(now, service, waiter);
        }
    }

    /// Assigns a slot to a request that left the queue, or refuses it if none can be
    /// taken.
    fn serve_waiter(&mut self, now: Instant, service: &ServiceName, waiter: Waiter) {
        let Waiter { msg, tx } = waiter;
        let (name, _) = self.queue_organisation(msg.organisation.as_ref());
        if tx.is_closed() {
            self.release_queue_slot(service, &name);
            return;
        }
        let choice = self.take_slot(now, &msg, explain::Choice::OwnZone, Basis::new());
        let choice = choice.unwrap_or_else(|| {
            self.release_queue_slot(service, &name);
            self.refuse_overloaded(now, service)
        });
        // If the caller is gone, the choice is dropped along with its try, which frees
        // the slot.
        let _ = tx.send(choice);
    }
}
