//! Decides whether a request may run: API key, organisation, at-most-once record,
//! quarantine and budget.

use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    at_most_once::{
        self,
        BeginDecision,
        Permit,
        RequestFingerprint, //
    },
    budget::{
        Attempt,
        Debit, //
    },
    config::object::{
        Access,
        Route, //
    },
    credential::KeyStatus,
    explain::Decision,
    gateway::call,
    host::{
        Host,
        RunningRequest, //
        message::{
            Finish,
            Sender,
            Start,
            Started,
            Target,
            Ticket, //
        },
    },
    membership::PeerState,
    quarantine::Suspect, //
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
    util::id::{
        OrganisationName,
        RequestId, //
    },
};

impl Handler<Start> for Host {
    type Return = Started;

    async fn handle(&mut self, msg: Start, _cx: &mut Context<Self>) -> Started {
        let now = Instant::now();
        let started = self.start(now, &msg);
        let refusal = match &started {
            Err(refusal) => Some(*refusal),
            Ok(Started::Refused(refusal)) => Some(*refusal),
            Ok(_) => None,
        };
        if let Some(refusal) = refusal {
            self.record_refusal(now, &msg, refusal);
        }
        started.unwrap_or_else(Started::Refused)
    }
}

impl Handler<Finish> for Host {
    type Return = ();

    async fn handle(&mut self, msg: Finish, _cx: &mut Context<Self>) {
        self.finish(&msg);
    }
}

impl Host {
    /// Runs all admission checks, in order, and registers the request if it may run.
    fn start(&mut self, now: Instant, msg: &Start) -> Result<Started, Refusal> {
        let Some(index) = self.index.clone() else {
            return Err(Refusal::not_run(Reason::NotReady));
        };
        let route = index.route_named(&msg.route);
        let route = route.ok_or(Refusal::not_run(Reason::NoRoute))?;
        let organisation = self.organisation(now, route, &msg.sender)?;
        if self.must_run_elsewhere(msg, route) {
            return self.route_to_home(now, organisation, &msg.id);
        }
        self.check_quarantine(now, msg.suspect)?;
        if let Sender::Run(_) = msg.sender {
            let ticket = self.register_running(msg, route, None);
            return Ok(Started::Run {
                organisation,
                permit: self.permit(ticket),
            });
        }
        let permit = match route.idempotent {
            true => None,
            false => Some(self.begin(now, &organisation, msg)?),
        };
        match self.debit(now, organisation.as_ref(), msg) {
            Ok(None) => {
                let ticket = self.register_running(msg, route, permit);
                Ok(Started::Run {
                    organisation,
                    permit: self.permit(ticket),
                })
            }
            Ok(Some(until)) => {
                self.release_once(permit);
                Ok(Started::Wait(until))
            }
            Err(refusal) => {
                self.release_once(permit);
                Err(refusal)
            }
        }
    }

    /// Returns the organisation that a request runs for; none on open routes.
    fn organisation(
        &self,
        now: Instant,
        route: &Route,
        sender: &Sender,
    ) -> Result<Option<OrganisationName>, Refusal> {
        if route.access == Access::Open {
            return Ok(None);
        }
        let organisation = match sender {
            Sender::Caller(None) => return Err(Refusal::not_run(Reason::KeyMissing)),
            Sender::Caller(Some(digest)) => match self.credentials.check_digest(now, digest) {
                KeyStatus::Organisation(organisation) => organisation,
                KeyStatus::Unknown | KeyStatus::Withdrawn => {
                    return Err(Refusal::not_run(Reason::KeyUnknown));
                }
                KeyStatus::Stale => return Err(Refusal::not_run(Reason::KeyStale)),
            },
            Sender::Home(organisation) | Sender::Run(organisation) => organisation
                .clone()
                .ok_or(Refusal::not_run(Reason::KeyMissing))?,
        };
        let allowed = route.organisations.is_empty() || route.organisations.contains(&organisation);
        match allowed {
            true => Ok(Some(organisation)),
            false => Err(Refusal::not_run(Reason::OrganisationDenied)),
        }
    }

    /// Returns whether a request that may run only once was issued its id by another
    /// process.
    fn must_run_elsewhere(&self, msg: &Start, route: &Route) -> bool {
        let issued_here =
            msg.id.host == self.cfg.name && msg.id.incarnation == self.cfg.incarnation;
        !route.idempotent && !issued_here && !matches!(msg.sender, Sender::Run(_))
    }

    /// Routes a request to the process that issued its id, the only one that may run it.
    fn route_to_home(
        &self,
        now: Instant,
        organisation: Option<OrganisationName>,
        id: &RequestId,
    ) -> Result<Started, Refusal> {
        // The id names this host but not this process, so an earlier process issued it.
        if id.host == self.cfg.name {
            return Err(Refusal::unknown(Reason::IncarnationGone));
        }
        let Some(peer) = self.membership.peer(&id.host) else {
            return Err(Refusal::unknown(Reason::Unreachable));
        };
        let gone = self.membership.is_gone(now, &id.host, id.incarnation);
        if gone || peer.incarnation > id.incarnation {
            return Err(Refusal::unknown(Reason::IncarnationGone));
        }
        if self.membership.state(now, &id.host) == Some(PeerState::Unreachable) {
            return Err(Refusal::unknown(Reason::Unreachable));
        }
        let contact = peer.contact.clone();
        Ok(Started::Home {
            organisation,
            home: Target::Gateway {
                host: id.host.clone(),
                peers: contact.peers,
                link_region: self.billed_region(&contact.zone),
                zone: contact.zone,
            },
        })
    }

    /// Refuses a request whose fingerprint is quarantined for crashing upstreams.
    fn check_quarantine(&self, now: Instant, suspect: Suspect) -> Result<(), Refusal> {
        match self.quarantine.is_refused(now, suspect) {
            true => Err(Refusal::not_run(Reason::Quarantined)),
            false => Ok(()),
        }
    }

    /// Records the id of a request that may run only once.
    fn begin(
        &mut self,
        now: Instant,
        organisation: &Option<OrganisationName>,
        msg: &Start,
    ) -> Result<Permit, Refusal> {
        let fingerprint =
            RequestFingerprint::of(organisation.as_ref(), "", &msg.suspect.to_string());
        match self.once.begin(now, &msg.id, fingerprint) {
            BeginDecision::Run(permit) => Ok(permit),
            BeginDecision::InProgress => Err(Refusal::unknown(Reason::InProgress)),
            BeginDecision::Ended(at_most_once::Outcome::Ran { .. }) => Err(Refusal {
                reason: Reason::AlreadyRan,
                outcome: Outcome::Ran,
                retry_after: None,
            }),
            BeginDecision::Ended(at_most_once::Outcome::Unknown) => {
                Err(Refusal::unknown(Reason::AlreadyRan))
            }
            BeginDecision::Ended(at_most_once::Outcome::NotRun) | BeginDecision::TableFull => {
                Err(Refusal::not_run(Reason::Overload))
            }
            BeginDecision::DifferentRequest | BeginDecision::StampInFuture => {
                Err(Refusal::not_run(Reason::BadRequestId))
            }
            BeginDecision::Expired => Err(Refusal::unknown(Reason::IdExpired)),
            BeginDecision::WrongIncarnation { .. } => {
                Err(Refusal::unknown(Reason::IncarnationGone))
            }
        }
    }

    /// Marks the id of a request as not run, so that it may be tried again.
    fn release_once(&mut self, permit: Option<Permit>) {
        if let Some(permit) = permit {
            self.once.finish(permit, at_most_once::Outcome::NotRun);
        }
    }

    /// Debits one request from the organisation's budget, or returns when to try again.
    fn debit(
        &mut self,
        now: Instant,
        organisation: Option<&OrganisationName>,
        msg: &Start,
    ) -> Result<Option<Instant>, Refusal> {
        let Some(organisation) = organisation else {
            return Ok(None);
        };
        let attempt = match msg.first_asked_at {
            None => Attempt::First,
            Some(since) => Attempt::Retry { since },
        };
        match self.budgets.debit(now, organisation, attempt) {
            Debit::Granted => Ok(None),
            Debit::Wait { until } => {
                self.ask_for_loans(now);
                Ok(Some(until))
            }
            Debit::Refused { retry_after, .. } => {
                self.ask_for_loans(now);
                Err(Refusal::not_run(Reason::Rate).with_retry_after(retry_after))
            }
        }
    }

    /// Registers a request as running and counts it in the host's load.
    fn register_running(&mut self, msg: &Start, route: &Route, once: Option<Permit>) -> Ticket {
        let entered = !matches!(msg.sender, Sender::Run(_));
        match entered {
            true => self.loads.entered(&route.service),
            false if msg.foreign => self.loads.foreign_started(&route.service),
            false => {}
        }
        let running = RunningRequest {
            once,
            service: route.service.clone(),
            entered,
            foreign: msg.foreign && !entered,
        };
        self.last_ticket.0 += 1;
        self.running.insert(self.last_ticket, running);
        self.last_ticket
    }

    /// Returns the permit that reports the end of a request when dropped.
    fn permit(&self, ticket: Ticket) -> call::Permit {
        call::Permit::new(
            self.own_address.clone(),
            Some(ticket),
            self.cfg.metrics.clone(),
        )
    }

    /// Removes a request that ended and records its outcome for its id.
    fn finish(&mut self, msg: &Finish) {
        let Some(running) = self.running.remove(&msg.ticket) else {
            return;
        };
        if running.entered {
            self.loads.ended(&running.service);
        }
        if running.foreign {
            self.loads.foreign_ended(&running.service);
        }
        let Some(permit) = running.once else {
            return;
        };
        let outcome = match msg.outcome {
            Outcome::Ran => at_most_once::Outcome::Ran {
                status: msg.status,
                answer: None,
            },
            Outcome::NotRun => at_most_once::Outcome::NotRun,
            Outcome::Unknown => at_most_once::Outcome::Unknown,
        };
        self.once.finish(permit, outcome);
    }

    /// Records a refusal in the journal.
    fn record_refusal(&mut self, now: Instant, msg: &Start, refusal: Refusal) {
        let organisation = match &msg.sender {
            Sender::Caller(Some(digest)) => {
                let key = self.index.as_ref().and_then(|index| index.key(digest));
                key.map(|key| key.organisation.clone())
            }
            Sender::Caller(None) => None,
            Sender::Home(organisation) | Sender::Run(organisation) => organisation.clone(),
        };
        let service = self.index.as_ref().and_then(|index| {
            let route = index.route_named(&msg.route)?;
            Some(route.service.clone())
        });
        let basis = self.refusal_basis(now, refusal.reason, organisation.as_ref());
        let decision = Decision::Refused {
            reason: refusal.reason,
            outcome: refusal.outcome,
            organisation,
            service,
        };
        self.record(now, Some(&msg.id), decision, basis);
    }
}
