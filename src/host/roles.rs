//! Decides which hosts compete for the relay and planner roles, and proposes ledgers for
//! the relay.

use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    host::Host,
    ledger::{
        self,
        HostReport,
        Ledger,
        Member,
        ProposalInputs,
        Revision, //
    },
    membership::PeerState,
    role::Role,
    util::id::ZoneName,
};

/// Number of hosts that compete for the lease of one role.
const CANDIDATES_PER_ROLE: usize = 2;

/// Asks whether this host may compete for the lease of a role.
#[derive(Debug)]
pub struct IsRoleCandidate(pub Role);

/// Asks for the zone's next ledger.
#[derive(Debug)]
pub struct ProposeLedger {
    /// Ledger in the store; none if there is none yet.
    pub held: Option<Ledger>,
    /// When this host became the relay.
    pub since: Instant,
}

/// The answer to [`ProposeLedger`].
#[derive(Debug)]
pub struct Proposal {
    /// Ledger to write; none if nothing changes.
    pub next: Option<Ledger>,
    /// Whether the stored ledger has to be rewritten unchanged to confirm it as current,
    /// because this host's ledger is unconfirmed.
    pub needs_proof: bool,
}

impl Handler<IsRoleCandidate> for Host {
    type Return = bool;

    async fn handle(&mut self, msg: IsRoleCandidate, _cx: &mut Context<Self>) -> bool {
        self.is_role_candidate(Instant::now(), &msg.0)
    }
}

impl Handler<ProposeLedger> for Host {
    type Return = Proposal;

    async fn handle(&mut self, msg: ProposeLedger, _cx: &mut Context<Self>) -> Proposal {
        self.propose(Instant::now(), msg)
    }
}

impl Host {
    /// Returns whether this host ranks among the first [`CANDIDATES_PER_ROLE`] live hosts
    /// of the role's zone or region.
    fn is_role_candidate(&self, now: Instant, role: &Role) -> bool {
        if self.leaving {
            return false;
        }
        let zones: Vec<ZoneName> = match role {
            Role::Relay(zone) => vec![zone.clone()],
            Role::Planner(region) => match &self.index {
                Some(index) => index.zones_in(region).to_vec(),
                None => return false,
            },
        };
        let own = role.rank(&self.cfg.name);
        let mut ranked_before = 0;
        for zone in &zones {
            for peer in self.membership.zone_hosts(zone) {
                let usable = self.membership.state(now, &peer.name) == Some(PeerState::Live);
                ranked_before += usize::from(usable && role.rank(&peer.name) < own);
            }
        }
        ranked_before < CANDIDATES_PER_ROLE
    }

    /// Returns the zone's next ledger from the stored one and this host's observations.
    fn propose(&mut self, now: Instant, msg: ProposeLedger) -> Proposal {
        let needs_proof = self.ledger_unconfirmed || self.budgets.needs_validation();
        let Some(index) = self.index.clone() else {
            return Proposal {
                next: None,
                needs_proof: false,
            };
        };
        let held = msg
            .held
            .unwrap_or_else(|| Ledger::new(self.cfg.zone.clone()));
        let host_reports = self.host_reports(now, &held, msg.since);
        let others: Vec<Ledger> = self.others.values().cloned().collect();
        let observed = ProposalInputs {
            generation: index.generation(),
            zones: &index.set().zones,
            listed: &self.listed,
            host_reports: &host_reports,
            others: &others,
        };
        Proposal {
            next: ledger::propose(&held, &observed),
            needs_proof,
        }
    }

    /// Returns the latest observation of each host in the zone's ledger.
    fn host_reports(&mut self, now: Instant, ledger: &Ledger, since: Instant) -> Vec<HostReport> {
        let mut members: Vec<Member> = Vec::new();
        for member in ledger.members.iter().flat_map(|m| &m.hosts) {
            if !members.contains(member) {
                members.push(member.clone());
            }
        }
        let own = self.acknowledged(now);
        let mut host_reports = Vec::new();
        for member in members {
            if member.name == self.cfg.name && member.peers == self.cfg.peers {
                host_reports.push(HostReport {
                    member,
                    revision: own,
                    silent_for: std::time::Duration::ZERO,
                    released: false,
                });
                continue;
            }
            host_reports.push(self.host_report(now, member, since));
        }
        host_reports
    }

    /// Returns the latest observation of another host; its silence counts from `since` at
    /// the earliest.
    fn host_report(&self, now: Instant, member: Member, since: Instant) -> HostReport {
        let peer = self.membership.peer(&member.name);
        let peer = peer.filter(|p| p.contact.peers == member.peers);
        let facts = peer.and_then(|p| p.facts.as_ref());
        let last = peer.and_then(|p| p.heard).map_or(since, |t| t.max(since));
        let report = self.loads.report_of_host(&member.name);
        HostReport {
            revision: facts.map_or(Revision(0), |f| Revision(f.ledger)),
            silent_for: now.saturating_duration_since(last),
            released: peer.is_some() && report.is_some_and(|r| r.released),
            member,
        }
    }

    /// Returns the ledger revision that this host uses, or zero while its budgets or
    /// pools still exceed the shares of that revision.
    pub(super) fn acknowledged(&mut self, now: Instant) -> Revision {
        let shrunk = self.pools_are_shrunk();
        let revision = self.budgets.acknowledged(now).filter(|_| shrunk);
        revision.unwrap_or_default()
    }
}
