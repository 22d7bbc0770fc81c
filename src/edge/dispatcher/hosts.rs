//! What the host tells others and learns from them; look-ups.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    time::Duration, //
};

use tokio::time::Instant;

use super::{
    Dispatcher,
    registration, //
};
use crate::{
    edge::{
        datagram::{
            Datagram,
            PeerMessage,
            RunEvent,
            RunningMessage, //
        },
        directory::{
            self,
            Candidate, //
        },
        model::HostRegistration,
        peers::FAR_INTERVALS,
        quota::Sharers,
        upstreams::UpstreamKey, //
    },
    util::id::{
        OrganisationName,
        ServiceName,
        ZoneName, //
    },
};

/// Suspect requests that one message tells of.
const SUSPECTS_TOLD: usize = 8;
/// How long a new host may take to hear the others of its zone: two messages of a
/// large fleet. Until then it follows one that it knows by its registration.
const HEARING_SPAN: Duration = Duration::from_secs(2);

impl Dispatcher {
    pub(super) fn hear(&mut self, now: Instant, msg: Datagram) {
        match msg {
            Datagram::State(msg) => self.hear_state(now, msg),
            Datagram::Running(msg) => {
                let change = self.peers.hear_running(now, &msg);
                self.upstreams.hear(now, change, &msg);
                if change < 0 {
                    self.drain_queue(now, Some(msg.upstream));
                }
            }
        }
    }

    pub(super) fn hear_state(&mut self, now: Instant, msg: PeerMessage) {
        let Some(changes) = self.peers.hear(now, &msg) else {
            return;
        };
        for (organisation, granted) in &msg.grants {
            self.quotas.deposit(now, organisation, *granted);
        }
        self.quarantine.merge(now, &msg.suspects);
        self.lend(now, &msg);
        self.upstreams.change_others(&changes);
        if !msg.grants.is_empty() {
            self.drain_queue(now, None);
        }
    }

    /// Grants what another host asks for, as far as it can be spared.
    pub(super) fn lend(&mut self, now: Instant, msg: &PeerMessage) {
        let mut grants = Vec::new();
        for (organisation, wanted) in &msg.wants {
            let granted = match self.leaving {
                true => 0,
                false => self.quotas.lend(now, organisation, *wanted, &msg.host),
            };
            if granted > 0 {
                grants.push((organisation.clone(), granted));
            }
        }
        if grants.is_empty() {
            return;
        }
        if let Some(address) = self.peers.address(&msg.host) {
            let mut reply = self.message(now);
            reply.grants = grants;
            self.post_message(address, reply);
        }
    }

    /// Returns the hosts that share the organisations' rates.
    pub(super) fn sharers(&self) -> Sharers {
        let mut zones = self.peers.by_zone();
        let own = zones.entry(self.settings.zone.clone()).or_default();
        own.push(self.settings.host.clone());
        Sharers::new(
            self.settings.host.clone(),
            self.settings.zone.clone(),
            zones,
        )
    }

    /// Asks homes of this zone, or of others, for the tokens that are about to be missing.
    pub(super) fn ask_for_tokens(&mut self, now: Instant) {
        let mut asks: BTreeMap<SocketAddr, Vec<(OrganisationName, u64)>> = BTreeMap::new();
        let mut waiting: HashMap<OrganisationName, u64> = HashMap::new();
        let unpaid = self.queue.iter().filter(|w| !w.paid);
        for organisation in unpaid.filter_map(|w| w.job.organisation.as_ref()) {
            *waiting.entry(organisation.clone()).or_default() += 1;
        }
        for want in self.quotas.asks(now, &waiting) {
            for lenders in &want.lenders {
                let lender = lenders.iter().find(|h| self.peers.is_live(h));
                if let Some(address) = lender.and_then(|h| self.peers.address(h)) {
                    let entry = asks.entry(address).or_default();
                    entry.push((want.organisation.clone(), want.amount));
                }
            }
        }
        for (address, wants) in asks {
            let mut msg = self.message(now);
            msg.wants = wants;
            self.post_message(address, msg);
        }
    }

    pub(super) fn message(&mut self, now: Instant) -> PeerMessage {
        self.sequence += 1;
        let offered = self.demand.iter().flat_map(|(s, d)| d.offered(now, s));
        PeerMessage {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state(now),
            running: self.upstreams.running(),
            offered: offered.collect(),
            wants: Vec::new(),
            grants: Vec::new(),
            suspects: self.quarantine.entries(now, SUSPECTS_TOLD),
        }
    }

    pub(super) fn post_message(&self, address: SocketAddr, msg: PeerMessage) {
        self.post_datagram(vec![address], Datagram::State(msg));
    }

    pub(super) fn post_datagram(&self, to: Vec<SocketAddr>, msg: Datagram) {
        if let Err(e) = self.outgoing.try_send((to, msg)) {
            log::debug!(event = "message-dropped", cause:% = e; "");
        }
    }

    /// Tells all other hosts what runs here.
    pub(super) fn speak(&mut self, now: Instant) {
        if self
            .spoke
            .is_some_and(|at| now < at + self.peers.interval())
        {
            return;
        }
        self.spoke = Some(now);
        // Changes are added up as they come; an upstream that joined meanwhile missed some.
        self.upstreams.set_others(&self.peers.running());
        let msg = self.message(now);
        let (regions, home) = (&self.settings.regions, &self.settings.region);
        let mut to = self.peers.addresses(regions, home, true);
        self.rounds += 1;
        if self.leaving || self.rounds.is_multiple_of(FAR_INTERVALS) {
            to.extend(self.peers.addresses(regions, home, false));
        }
        self.post_datagram(to, Datagram::State(msg));
    }

    /// Tells the hosts that use an upstream how many requests of this one run there.
    pub(super) fn announce(&mut self, service: &ServiceName, key: UpstreamKey, event: RunEvent) {
        let Some(u) = self.upstreams.get_mut(service, key) else {
            return;
        };
        self.sequence += 1;
        let msg = RunningMessage {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            upstream: key,
            running: u.running,
            event,
        };
        let zone = u.entry.zone.clone();
        let (regions, own) = (&self.settings.regions, &self.settings.zone);
        let to = self.peers.prompt(regions, &zone, own);
        self.post_datagram(to, Datagram::Running(msg));
    }

    /// Chooses the host that reads the store for this zone, once the hosts are known.
    pub(super) fn choose_relay(&mut self, now: Instant) {
        let Some(known_at) = self.hosts_known_at else {
            return;
        };
        let own = registration(&self.settings);
        let is_new = now.saturating_duration_since(known_at) < HEARING_SPAN;
        let relay = match is_new && !self.peers.hears(&own.zone) {
            true => self.peers.first_relay(&own),
            false => {
                let is_ready = self.is_ready(now);
                self.peers.relay(&own, is_ready, &self.settings.regions)
            }
        };
        let is_first = !std::mem::replace(&mut self.relay_chosen, true);
        self.relay.send_if_modified(|known| {
            // The first choice is told in any case; reading waits for it.
            if *known == relay && !is_first {
                return false;
            }
            let address = relay.map_or_else(|| "self".to_owned(), |a| a.to_string());
            log::info!(event = "relay-chosen", address:%; "");
            *known = relay;
            true
        });
    }

    /// Returns the hosts that a caller should use: of those of its zone, else of
    /// those of its region, else of all, as many of each size as fit its part.
    pub(super) fn lookup(&mut self, now: Instant, zone: Option<&ZoneName>) -> Vec<SocketAddr> {
        let own = registration(&self.settings);
        let mut hosts: Vec<&HostRegistration> = self.peers.ready().collect();
        if self.is_ready(now) || (hosts.is_empty() && !self.leaving) {
            hosts.push(&own);
        }
        let zone = zone.unwrap_or(&self.settings.zone);
        let region = self.settings.region_of(zone);
        let is_near = |h: &HostRegistration| h.zone == *zone;
        let in_region = |h: &HostRegistration| self.settings.region_of(&h.zone) == region;
        if hosts.iter().any(|h| is_near(h)) {
            hosts.retain(|h| is_near(h));
        } else if hosts.iter().any(|h| in_region(h)) {
            hosts.retain(|h| in_region(h));
        }
        let candidate = |h: &HostRegistration| Candidate {
            address: h.callers,
            millicores: h.millicores,
        };
        let candidates: Vec<Candidate> = hosts.into_iter().map(candidate).collect();
        directory::draw(&candidates, &mut self.rng)
    }
}
