//! Status and decision records for operators.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    budget::AccountSnapshot,
    explain::{
        Basis,
        Decision,
        Measurement,
        Record,
        Subject, //
    },
    host::{
        Host,
        message::{
            Explain,
            GetStatus, //
        },
    },
    membership::PeerState,
    plan::Plan,
    refusal::Reason,
    share::Resource,
    util::id::{
        Generation,
        HostName,
        Incarnation,
        ObjectName,
        OrganisationName,
        RequestId,
        ServiceName,
        ZoneName, //
    },
};

/// Status of a host, as JSON for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: HostName,
    /// Zone of the host.
    pub zone: ZoneName,
    /// Identifies the host's process among all that ran under its name.
    pub incarnation: Incarnation,
    /// Time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether the host is leaving the fleet.
    pub leaving: bool,
    /// Configuration generation in force on the host; none before its first one.
    pub generation: Option<Generation>,
    /// Ledger revision that the host acknowledges; none while it has lent out more than its
    /// shares allow, or has none yet.
    pub ledger: Option<u64>,
    /// Number of requests that the host has started and not finished.
    pub in_flight: usize,
    /// Age of the information on withdrawn keys, in milliseconds; none if there is none.
    pub keys_age_ms: Option<u64>,
    /// Number of keys known to be withdrawn.
    pub withdrawn: u32,
    /// Other known hosts in the configured zones, by name.
    pub peers: Vec<PeerStatus>,
    /// Upstreams of the host's zone, by service and address.
    pub upstreams: Vec<UpstreamStatus>,
    /// Budgets of organisations and links.
    pub budgets: Vec<BudgetStatus>,
    /// Steering plan of the host's region; none if none is known.
    pub plan: Option<Plan>,
}

/// Status of another host, as the reporting host sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the host.
    pub host: HostName,
    /// Zone of the host.
    pub zone: ZoneName,
    /// Identifies the host's process among all that ran under its name.
    pub incarnation: Incarnation,
    /// Membership state: live, suspect, unreachable, leaving, gone or unknown.
    pub state: String,
    /// Configuration generation in force on the host; none before its first one.
    pub generation: Option<Generation>,
}

/// Status of an upstream, as the reporting host sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Address of the upstream.
    pub address: std::net::SocketAddr,
    /// State of the upstream, in lower case.
    pub state: String,
    /// Number of this host's requests that run on the upstream.
    pub running: u32,
    /// Number of the upstream's slots that this host may use.
    pub share: u32,
}

/// Budget of a host for one organisation or link. Amounts are in thousandths of a request
/// for an organisation and in bytes for a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Name of the quantity: `organisation/NAME` or `link/NAME`.
    pub name: String,
    /// Own share per second, in thousandths of a request or in bytes; zero while withheld.
    pub principal_rate: u64,
    /// Rate lent to other hosts, per second.
    pub lent_rate: u64,
    /// Rate borrowed from other hosts, per second.
    pub borrowed_rate: u64,
    /// Amount that may be spent at once.
    pub tokens: u64,
    /// Recent demand per second.
    pub demand: u64,
    /// Number of debits granted since the process started.
    pub granted: u64,
    /// Number of debits refused since the process started.
    pub refused: u64,
}

impl Explain {
    /// Parses the query string of an operator's request; none if it names no known query.
    pub fn from_query(query: &str) -> Option<Self> {
        for pair in query.split('&') {
            match pair.split_once('=').unwrap_or((pair, "")) {
                ("request", id) => return id.parse().ok().map(Self::Request),
                ("refusals", _) => return Some(Self::Refusals),
                ("plan", _) => return Some(Self::Plan),
                _ => continue,
            }
        }
        None
    }
}

impl Handler<GetStatus> for Host {
    type Return = Status;

    async fn handle(&mut self, _msg: GetStatus, _cx: &mut Context<Self>) -> Status {
        self.status(Instant::now())
    }
}

impl Handler<Explain> for Host {
    type Return = Vec<Record>;

    async fn handle(&mut self, msg: Explain, _cx: &mut Context<Self>) -> Vec<Record> {
        match msg {
            Explain::Request(id) => self.journal.request(&id).cloned().collect(),
            Explain::Refusals => self.journal.refusals().cloned().collect(),
            Explain::Plan => self.journal.plan().cloned().collect(),
        }
    }
}

impl Host {
    fn status(&mut self, now: Instant) -> Status {
        let age = self.credentials.withdrawal_data_age(now);
        Status {
            host: self.cfg.name.clone(),
            zone: self.cfg.zone.clone(),
            incarnation: self.cfg.incarnation,
            uptime_ms: milliseconds(now.saturating_duration_since(self.cfg.started)),
            leaving: self.leaving,
            generation: self.adoption.current(),
            ledger: self.budgets.acknowledged(now).map(|r| r.0),
            in_flight: self.running.len(),
            keys_age_ms: age.map(milliseconds),
            withdrawn: self.credentials.summary().count,
            peers: self.peer_status(now),
            upstreams: self.upstream_status(),
            budgets: self.budget_status(now),
            plan: self.plan_of_region().cloned(),
        }
    }

    fn peer_status(&self, now: Instant) -> Vec<PeerStatus> {
        let Some(index) = &self.index else {
            return Vec::new();
        };
        let mut peers = Vec::new();
        for zone in &index.set().zones {
            for peer in self.membership.zone_hosts(&zone.name) {
                let state = self.membership.state(now, &peer.name);
                peers.push(PeerStatus {
                    host: peer.name.clone(),
                    zone: peer.contact.zone.clone(),
                    incarnation: peer.incarnation,
                    state: state_text(state).to_owned(),
                    generation: peer.facts.as_ref().and_then(|f| f.generation),
                });
            }
        }
        peers.sort_by(|a, b| a.host.cmp(&b.host));
        peers
    }

    fn upstream_status(&self) -> Vec<UpstreamStatus> {
        let mut all = Vec::new();
        for (service, pool) in &self.pools {
            for u in pool.upstreams() {
                all.push(UpstreamStatus {
                    service: service.clone(),
                    address: u.address(),
                    state: format!("{:?}", u.state()).to_lowercase(),
                    running: u.running(),
                    share: u.share(),
                });
            }
        }
        all.sort_by(|a, b| (&a.service, a.address).cmp(&(&b.service, b.address)));
        all
    }

    fn budget_status(&mut self, now: Instant) -> Vec<BudgetStatus> {
        let snapshots = self.budgets.account_snapshots(now);
        snapshots.into_iter().map(budget_status).collect()
    }

    /// Adds a decision and the measurements behind it to the journal.
    pub(super) fn record(
        &mut self,
        now: Instant,
        request: Option<&RequestId>,
        decision: Decision,
        basis: Basis,
    ) {
        self.journal.push(Record {
            host: self.cfg.name.clone(),
            at: now.saturating_duration_since(self.cfg.started),
            request: request.cloned(),
            generation: self.adoption.current().unwrap_or_default(),
            decision,
            basis,
        });
    }

    /// Returns the measurements behind a refusal, for the journal.
    pub(super) fn refusal_basis(
        &mut self,
        now: Instant,
        reason: Reason,
        organisation: Option<&OrganisationName>,
    ) -> Basis {
        let mut basis = Basis::new();
        match (reason, organisation) {
            (Reason::Rate, Some(organisation)) => {
                let resource = Resource::Organisation(organisation.clone());
                let quota = self.budgets.quota(now, &resource);
                basis.push(Measurement {
                    subject: Subject::Share(organisation.clone()),
                    value: i64::try_from(quota.rate).unwrap_or(i64::MAX),
                    age: Duration::ZERO,
                });
            }
            (Reason::KeyStale | Reason::KeyUnknown, _) => {
                let age = self.credentials.withdrawal_data_age(now);
                basis.push(Measurement {
                    subject: Subject::Keys,
                    value: i64::from(self.credentials.summary().count),
                    age: age.unwrap_or(Duration::MAX),
                });
            }
            _ => {}
        }
        basis
    }

    /// Counts bytes that were debited from a link's budget.
    pub(super) fn count_link_bytes(&self, link: &ObjectName, bytes: u64) {
        let labels = crate::metrics::LinkLabels {
            link: link.to_string(),
        };
        let counter = self.cfg.metrics.link_bytes.get_or_create(&labels);
        counter.inc_by(bytes);
    }
}

fn milliseconds(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

const fn state_text(state: Option<PeerState>) -> &'static str {
    match state {
        Some(PeerState::Live) => "live",
        Some(PeerState::Suspect) => "suspect",
        Some(PeerState::Unreachable) => "unreachable",
        Some(PeerState::Leaving) => "leaving",
        Some(PeerState::Gone) => "gone",
        None => "unknown",
    }
}

fn budget_status((resource, snapshot): (Resource, AccountSnapshot)) -> BudgetStatus {
    let name = match &resource {
        Resource::Organisation(name) => format!("organisation/{name}"),
        Resource::Link(name) => format!("link/{name}"),
    };
    BudgetStatus {
        name,
        principal_rate: snapshot.own_share.rate,
        lent_rate: snapshot.lent.rate,
        borrowed_rate: snapshot.borrowed.rate,
        tokens: snapshot.tokens,
        demand: snapshot.demand,
        granted: snapshot.granted,
        refused: snapshot.refused,
    }
}
