//! Answers control requests and applies the replies of other hosts.

use tokio::time::Instant;

use crate::{
    adoption::Source,
    control::{
        ControlReply,
        ControlRequest,
        HeartbeatMessage,
        LedgerRevision,
        Ledgers, //
    },
    credential::{
        WithdrawnPage, //
        WithdrawnRequest,
    },
    host::{
        Host,
        heartbeats::{
            ControlResult,
            SUSPECTS_PER_MESSAGE, //
        },
        io_task::IoTask,
        loads::HostReport,
    },
    ledger::Ledger,
    loan::LoanMessage,
    util::id::{
        HostName,
        ZoneName, //
    },
};

impl Host {
    /// Returns the reply to another host's control request.
    pub(super) fn answer(&mut self, now: Instant, msg: ControlRequest) -> ControlReply {
        match msg {
            ControlRequest::Beat(beat) => {
                let reply = self
                    .membership
                    .on_heartbeat(now, &beat.heartbeat, &mut self.rng);
                self.apply_heartbeat(now, &beat);
                let from = beat.heartbeat.from.clone();
                let mut own = self.beat(now, &from);
                own.heartbeat = reply;
                ControlReply::Beat(Box::new(own))
            }
            ControlRequest::Probe(_) => ControlReply::Probed(None),
            ControlRequest::Loan(LoanMessage::Request(req)) => {
                ControlReply::Loan(self.budgets.on_loan_request(now, &req))
            }
            ControlRequest::Loan(LoanMessage::Return(returned)) => {
                self.budgets.on_loan_return(now, &returned);
                ControlReply::Done
            }
            ControlRequest::Configuration(have) => {
                ControlReply::Configuration(self.configuration_since(have))
            }
            ControlRequest::Withdrawn(request) => {
                ControlReply::Withdrawn(self.credentials.page_for(&request))
            }
            ControlRequest::Suspects(entries) => {
                self.quarantine.merge(now, &entries);
                ControlReply::Suspects(self.quarantine.entries(now, SUSPECTS_PER_MESSAGE))
            }
            ControlRequest::Ledgers(have) => ControlReply::Ledgers(self.newer_ledgers(&have)),
            ControlRequest::Plans => ControlReply::Plans(self.plans.values().cloned().collect()),
        }
    }

    /// Applies the reply to a control request of this host, or its failure.
    pub(super) fn answered(&mut self, now: Instant, answered: ControlResult) {
        let ControlResult {
            to,
            sent_at,
            msg,
            reply,
        } = answered;
        match (msg, reply) {
            (ControlRequest::Beat(_), None) => self.membership.on_probe_timeout(now, &to),
            (ControlRequest::Beat(_), Some(ControlReply::Beat(beat))) => {
                self.membership.on_reply(now, &beat.heartbeat);
                let h = &beat.heartbeat;
                self.credentials
                    .merge_peer_ages(sent_at, h.facts.withdrawn, &h.facts.news);
                self.apply_heartbeat(now, &beat);
            }
            (ControlRequest::Probe(target), Some(ControlReply::Probed(gossip))) => {
                self.membership
                    .on_indirect_result(now, &target, gossip.as_ref());
            }
            (ControlRequest::Probe(target), _) => {
                self.membership.on_indirect_result(now, &target, None)
            }
            (ControlRequest::Loan(_), Some(ControlReply::Loan(Some(reply)))) => {
                self.budgets.on_loan_reply(now, &reply);
            }
            (ControlRequest::Withdrawn(_), Some(ControlReply::Withdrawn(page))) => {
                self.apply_withdrawn(now, to, &page);
            }
            (ControlRequest::Suspects(_), Some(ControlReply::Suspects(entries))) => {
                self.quarantine.merge(now, &entries);
            }
            (ControlRequest::Ledgers(_), Some(ControlReply::Ledgers(ledgers))) => {
                self.apply_ledgers(now, sent_at, ledgers);
            }
            (ControlRequest::Plans, Some(ControlReply::Plans(plans))) => {
                for plan in plans {
                    self.apply_plan(now, plan);
                }
            }
            _ => {}
        }
    }

    /// Applies a heartbeat's load report, and requests the data for which the sender's
    /// summaries differ from this host's.
    pub(super) fn apply_heartbeat(&mut self, now: Instant, beat: &HeartbeatMessage) {
        let h = &beat.heartbeat;
        let report = HostReport {
            zone: h.contact.zone.clone(),
            received_at: now,
            loads: beat.loads.clone(),
            released: beat.released,
        };
        for load in &beat.loads {
            if h.contact.zone != self.cfg.zone {
                continue;
            }
            if let Some(pool) = self.pools.get_mut(&load.service) {
                pool.set_peer_free_slots(now, &h.from, load.free);
            }
        }
        self.loads.report(&h.from, report);
        let source = Source::Peer(h.from.clone());
        self.adoption.offer(source, h.facts.generation);
        let (to, address) = (h.from.clone(), h.contact.peers);
        let ask = |msg| IoTask::Control {
            to: to.clone(),
            address,
            msg,
        };
        if h.facts.withdrawn != self.credentials.summary() {
            self.send(ask(ControlRequest::Withdrawn(WithdrawnRequest::Latest)));
        }
        if h.facts.suspects != self.quarantine.summary() {
            let entries = self.quarantine.entries(now, SUSPECTS_PER_MESSAGE);
            self.send(ask(ControlRequest::Suspects(entries)));
        }
        if beat.ledgers != self.ledger_checksum() {
            self.send(ask(ControlRequest::Ledgers(self.ledger_revisions())));
        }
        if beat.plans != self.plan_checksum() {
            self.send(ask(ControlRequest::Plans));
        }
    }

    /// Applies a page of withdrawn keys, and requests the next one if some are still
    /// missing.
    pub(super) fn apply_withdrawn(&mut self, now: Instant, from: HostName, page: &WithdrawnPage) {
        let before = self.credentials.revision();
        let next = self.credentials.merge_page(page);
        if self.credentials.revision() != before {
            self.publish_keys();
            self.send_heartbeats(now);
        }
        let (Some(next), Some(peer)) = (next, self.membership.peer(&from)) else {
            return;
        };
        let address = peer.contact.peers;
        let msg = ControlRequest::Withdrawn(next);
        self.send(IoTask::Control {
            to: from,
            address,
            msg,
        });
    }

    /// Returns the zone and revision of each known ledger.
    pub(super) fn ledger_revisions(&self) -> Vec<LedgerRevision> {
        let all = self.ledger.iter().chain(self.others.values());
        all.map(|l| LedgerRevision {
            zone: l.zone.clone(),
            revision: l.revision,
        })
        .collect()
    }

    /// Returns the sum of all known ledgers' revisions, to compare with other hosts.
    pub(super) fn ledger_checksum(&self) -> u64 {
        let all = self.ledger.iter().chain(self.others.values());
        all.map(|l| l.revision.0)
            .fold(0, |sum, r| sum.wrapping_add(r))
    }

    /// Returns a sum over all known plans' terms and numbers, to compare with other
    /// hosts.
    pub(super) fn plan_checksum(&self) -> u64 {
        let plans = self.plans.values();
        plans
            .map(|p| (p.term << 32).wrapping_add(p.number))
            .fold(0, |sum, n| sum.wrapping_add(n))
    }

    /// Returns the ledgers that are newer than those in `have`.
    pub(super) fn newer_ledgers(&mut self, have: &[LedgerRevision]) -> Ledgers {
        let newer = |l: &&Ledger| {
            let held = have.iter().find(|h| h.zone == l.zone);
            held.is_none_or(|h| h.revision < l.revision)
        };
        let all = self.ledger.iter().chain(self.others.values());
        let ledgers = all.filter(newer).cloned().collect();
        let revision = self.budgets.revision();
        Ledgers {
            zone: self.cfg.zone.clone(),
            counts: !self.budgets.needs_validation() && !self.ledger_unconfirmed,
            revision,
            ledgers,
        }
    }

    /// Applies the ledgers in a reply; `requested_at` is when they were requested.
    pub(super) fn apply_ledgers(&mut self, now: Instant, requested_at: Instant, received: Ledgers) {
        let is_of_zone = |zone: &ZoneName| *zone == self.cfg.zone;
        let from_own_zone = is_of_zone(&received.zone);
        for ledger in received.ledgers {
            self.apply_ledger(ledger);
        }
        let held = self.ledger.as_ref().map(|l| l.revision);
        // A host of the zone that uses the same revision confirms that it is current.
        if from_own_zone && received.counts && held == Some(received.revision) {
            self.confirm_ledger(now, requested_at);
        }
    }
}
