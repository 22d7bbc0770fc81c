//! Messages exchanged with other hosts, and look-ups.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

use super::{
    Dispatcher,
    Requester,
    host_registration, //
};
use crate::{
    edge::{
        datagram::{
            Datagram,
            Digest,
            Loan,
            OfferedRate,
            Report,
            Sender, //
        },
        directory::{
            self,
            Candidate, //
        },
        model::HostRegistration,
        peers::{
            CROSS_REGION_DIGEST_BEATS,
            SenderProcess, //
        },
        quota::QuotaHosts,
        topic_watch::UpdateSource,
    },
    util::id::{
        HostName,
        OrganisationName,
        ZoneName, //
    },
};

/// Maximum number of suspect requests listed in one message.
const SUSPECTS_PER_MESSAGE: usize = 16;
/// Beats between two [`Holding`](crate::edge::datagram::Holding) messages, which list all runs of
/// this host.
const HOLDING_INTERVAL_BEATS: u32 = 2;
/// Missed `Holding` messages after which a host's runs are dropped.
const HOLDINGS_MISSED_MAX: u32 = 4;
/// Longest age of the registered hosts while the store is read, at any host.
const HOSTS_READ_TIME_MAX: Duration = Duration::from_secs(20);
/// Time between the end of a removed host's use of its part of the rates and the use by others.
const SHARE_RELEASE_MARGIN: Duration = Duration::from_secs(5);

/// Identifies a state of the known hosts, so that what depends on it is computed only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HostsInUse {
    /// Number of changes of the registered hosts so far.
    changes: u64,
    /// Whether this host has parts.
    includes_own: bool,
    /// Number of removed hosts whose parts are still kept for them.
    removed: usize,
}

impl Dispatcher {
    pub(super) fn handle_datagram(&mut self, now: Instant, msg: Datagram) {
        match self.peers.identify(now, msg.from()) {
            // The list of hosts may not have it yet.
            SenderProcess::UnknownHost | SenderProcess::Current => {}
            SenderProcess::New => self.replace_process(now, &msg.from().clone()),
            SenderProcess::Ended => {
                let from = msg.from();
                log::debug!(event = "message-of-ended-process", host:% = from.host; "");
                return;
            }
        }
        match msg {
            Datagram::Report(msg) => {
                self.peers.handle_report(now, &msg);
                self.quarantine.merge(now, &msg.suspects);
            }
            Datagram::Digest(msg) => {
                self.peers.handle_digest(now, &msg);
                self.adopt_shares(now, &msg);
                self.quarantine.merge(now, &msg.suspects);
                self.introduce_leader(now, &msg);
            }
            Datagram::Loan(msg) => self.handle_loan(now, msg),
            Datagram::Claim(msg) => self.handle_claim(now, msg),
            Datagram::ClaimReply(msg) => self.handle_claim_reply(now, &msg),
            Datagram::Started(msg) => self.handle_started(now, &msg),
            Datagram::Finished(msg) => self.handle_finished(now, &msg),
            Datagram::Holding(msg) => self.handle_holding(now, &msg),
            Datagram::Leaving(msg) => self.handle_leaving(now, &msg),
        }
    }

    /// Drops what earlier processes of a host have requested and promised: their claims and runs
    /// here, and their announcements that claims of this host are queued.
    fn replace_process(&mut self, now: Instant, process: &Sender) {
        self.queue.retain(|w| match &w.requester {
            Requester::Remote(sender, _) => {
                sender.host != process.host || sender.incarnation == process.incarnation
            }
            Requester::Local(_) => true,
        });
        let changes = self
            .runs
            .forget_earlier(now, &process.host, process.incarnation);
        self.upstreams.change_remote_running(&changes);
        if !changes.is_empty() {
            self.drain_queue(now, None);
        }
        self.repeat_queued_claims(now, &process.host);
    }

    /// Tells the leader of another zone which host leads this one, if it does not know.
    fn introduce_leader(&mut self, now: Instant, msg: &Digest) {
        let Some((address, zone)) = self.peers.introduction(now, msg) else {
            return;
        };
        let introduction = Digest {
            from: self.sender(),
            state: self.state(now),
            zones: vec![zone],
            shares: Vec::new(),
            suspects: self.quarantine.entries(now, SUSPECTS_PER_MESSAGE),
        };
        self.send_datagram(vec![address], Datagram::Digest(introduction));
    }

    fn handle_loan(&mut self, now: Instant, msg: Loan) {
        // Ignores duplicates: a loan applied twice would add tokens.
        if !self.peers.record_message(now, &msg.from) {
            return;
        }
        if msg
            .answers
            .is_some_and(|process| process != self.incarnation)
        {
            return;
        }
        for (organisation, granted) in &msg.grants {
            self.quotas.add_borrowed(now, organisation, *granted);
        }
        for organisation in &msg.denied {
            self.quotas.record_denial(organisation);
        }
        self.lend(now, &msg);
        if !msg.grants.is_empty() {
            self.drain_queue(now, None);
        }
        if !msg.denied.is_empty() {
            self.request_tokens(now);
        }
    }

    /// Replies to a request for tokens, granting as many as this host can spare.
    fn lend(&mut self, now: Instant, msg: &Loan) {
        if msg.wants.is_empty() {
            return;
        }
        let (mut grants, mut denied) = (Vec::new(), Vec::new());
        for (organisation, wanted) in &msg.wants {
            let granted = match self.leaving {
                true => 0,
                false => self.quotas.lend(now, organisation, *wanted, &msg.from.host),
            };
            match granted {
                0 => denied.push(organisation.clone()),
                _ => grants.push((organisation.clone(), granted)),
            }
        }
        if let Some(address) = self.peers.address(&msg.from.host) {
            let reply = Loan {
                from: self.sender(),
                wants: Vec::new(),
                grants,
                denied,
                answers: Some(msg.from.incarnation),
            };
            self.send_datagram(vec![address], Datagram::Loan(reply));
        }
    }

    /// Applies changes of the known hosts: divides the organisations' rates among those that may have
    /// parts of them, and sets the turns in which hosts try requests after a refusal.
    pub(super) fn apply_host_changes(&mut self, now: Instant) {
        let Some(read_at) = self.hosts_read_at else {
            return;
        };
        let age_max = self
            .settings
            .bounds
            .revocation
            .saturating_add(HOSTS_READ_TIME_MAX);
        // Others use this host's part if its registration was removed and it could not notice. It
        // serves no requests with keys by then, unless it reads the other topics only.
        let includes_own = read_at.age() < age_max;
        let kept = age_max.saturating_add(SHARE_RELEASE_MARGIN);
        let state = HostsInUse {
            changes: self.peers.changes(),
            includes_own,
            removed: self.peers.share_holders_removed(now, kept).count(),
        };
        if self.hosts_in_use == Some(state) {
            return;
        }
        self.hosts_in_use = Some(state);
        let (own, others) = self.peers.tie_breakers();
        self.quarantine.set_hosts(own, others);
        let mut zones = self.peers.share_holders(now, kept);
        let own = zones.entry(self.settings.zone.clone()).or_default();
        if includes_own {
            own.push(self.settings.host.clone());
        }
        self.quotas.set_quota_hosts(now, self.quota_hosts(zones));
    }

    /// Returns the hosts among which the organisations' rates are divided.
    fn quota_hosts(&self, zones: BTreeMap<ZoneName, Vec<HostName>>) -> QuotaHosts {
        let (host, zone) = (self.settings.host.clone(), self.settings.zone.clone());
        let region = self.settings.region.clone();
        let in_region = self.settings.regions.iter().filter(|(_, r)| **r == region);
        let in_region = in_region.map(|(zone, _)| zone.clone()).collect();
        QuotaHosts::new(host, zone, in_region, zones)
    }

    /// Requests tokens that are about to run out from the organisation's home hosts, in this zone
    /// or in others.
    pub(super) fn request_tokens(&mut self, now: Instant) {
        let mut loan_requests: BTreeMap<SocketAddr, Vec<(OrganisationName, u64)>> = BTreeMap::new();
        let mut waiting: HashMap<OrganisationName, u64> = HashMap::new();
        let without_token = self.queue.iter().filter(|w| !w.has_token);
        for organisation in without_token.filter_map(|w| w.job.organisation.as_ref()) {
            *waiting.entry(organisation.clone()).or_default() += 1;
        }
        for want in self.quotas.loan_requests(now, &waiting) {
            for lenders in &want.lenders {
                let lender = lenders.iter().find(|h| self.peers.is_live(now, h));
                if let Some(address) = lender.and_then(|h| self.peers.address(h)) {
                    let entry = loan_requests.entry(address).or_default();
                    entry.push((want.organisation.clone(), want.amount));
                }
            }
        }
        for (address, wants) in loan_requests {
            let msg = Loan {
                from: self.sender(),
                wants,
                grants: Vec::new(),
                denied: Vec::new(),
                answers: None,
            };
            self.send_datagram(vec![address], Datagram::Loan(msg));
        }
    }

    /// Returns the header of the next message.
    pub(super) fn sender(&mut self) -> Sender {
        self.sequence += 1;
        Sender {
            host: self.settings.host.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    pub(super) fn send_datagram(&self, to: Vec<SocketAddr>, msg: Datagram) {
        if let Err(e) = self.outgoing.try_send((to, msg)) {
            log::debug!(event = "message-dropped", cause:% = e; "");
        }
    }

    /// Sends a heartbeat if one is due: a digest if this host leads its zone or is leaving,
    /// otherwise a report to the zone's leader.
    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        if self
            .last_heartbeat_at
            .is_some_and(|at| now < at + self.peers.heartbeat_interval())
        {
            return;
        }
        self.last_heartbeat_at = Some(now);
        self.heartbeats += 1;
        match self.peers.leads() || self.leaving {
            true => self.send_digest(now),
            false => self.send_report(now),
        }
        if self.leaving || self.heartbeats.is_multiple_of(HOLDING_INTERVAL_BEATS) {
            self.send_holdings(now);
            let earliest = now.checked_sub(
                self.peers.heartbeat_interval() * HOLDING_INTERVAL_BEATS * HOLDINGS_MISSED_MAX,
            );
            self.runs.expire(earliest);
            self.upstreams.set_remote_running(&self.runs.by_upstream());
        }
    }

    fn send_report(&mut self, now: Instant) {
        let leader = self.peers.leader(now, &self.settings.zone);
        let Some(address) = leader.and_then(|host| self.peers.address(host)) else {
            return;
        };
        let msg = Report {
            from: self.sender(),
            state: self.state(now),
            offered: self.offered(now),
            suspects: self.quarantine.entries(now, SUSPECTS_PER_MESSAGE),
            configuration: self.announced_version(),
        };
        self.send_datagram(vec![address], Datagram::Report(msg));
    }

    /// Sends the state of all zones to the hosts of this host's zone, and the state of this
    /// host's zone to the leaders of other zones.
    fn send_digest(&mut self, now: Instant) {
        let offered = self.offered(now);
        let own = self.peers.own_zone(now, &offered, self.announced_version());
        let turn = self.heartbeats as usize;
        let mut leaders = self.peers.leader_addresses(now, true, turn);
        if self.leaving || self.heartbeats.is_multiple_of(CROSS_REGION_DIGEST_BEATS) {
            let turn = turn / CROSS_REGION_DIGEST_BEATS as usize;
            leaders.extend(self.peers.leader_addresses(now, false, turn));
        }
        let mut zones = vec![own];
        let state = self.state(now);
        let suspects = self.quarantine.entries(now, SUSPECTS_PER_MESSAGE);
        let msg = Digest {
            from: self.sender(),
            state,
            zones: zones.clone(),
            shares: self.all_shares(),
            suspects: suspects.clone(),
        };
        self.send_datagram(leaders, Datagram::Digest(msg));
        zones.extend(self.peers.other_zones(now));
        let msg = Digest {
            from: self.sender(),
            state,
            zones,
            shares: self.all_shares(),
            suspects,
        };
        let to = self.peers.zone_addresses();
        self.send_datagram(to, Datagram::Digest(msg));
    }

    /// Returns the request rates of this host's callers.
    fn offered(&self, now: Instant) -> Vec<OfferedRate> {
        let all = self.demand.iter().flat_map(|(s, d)| d.offered(now, s));
        all.filter(|o| o.rate > 0.0).collect()
    }

    /// Chooses between the store and a relay as the source of updates, once the hosts are known.
    pub(super) fn choose_path(&mut self, now: Instant) {
        if self.hosts_known_at.is_none() {
            return;
        }
        let path = UpdateSource {
            relay: self.peers.relay(now),
            has_followers: self.peers.has_followers(now),
        };
        let is_first = !std::mem::replace(&mut self.path_chosen, true);
        self.path.send_if_modified(|known| {
            // The first choice is always published, because readers wait for it.
            if *known == path && !is_first {
                return false;
            }
            if known.relay != path.relay || is_first {
                let relay = path.relay;
                let address = relay.map_or_else(|| "self".to_owned(), |r| r.address.to_string());
                log::info!(event = "relay-chosen", address:%; "");
            }
            *known = path;
            true
        });
    }

    /// Returns the hosts that a caller in `zone` should use: those of the zone if it has any that
    /// take requests, otherwise those of its region, otherwise all. A random selection, weighted
    /// by size, is drawn from them.
    pub(super) fn lookup(&mut self, now: Instant, zone: Option<&ZoneName>) -> Vec<SocketAddr> {
        let own = host_registration(&self.settings);
        let mut hosts: Vec<&HostRegistration> = self.peers.ready(now).collect();
        if self.is_ready(now) || (hosts.is_empty() && !self.leaving) {
            hosts.push(&own);
        }
        let zone = zone.unwrap_or(&self.settings.zone);
        let region = self.settings.region_of(zone);
        let in_zone = |h: &HostRegistration| h.zone == *zone;
        let in_region = |h: &HostRegistration| self.settings.region_of(&h.zone) == region;
        if hosts.iter().any(|h| in_zone(h)) {
            hosts.retain(|h| in_zone(h));
        } else if hosts.iter().any(|h| in_region(h)) {
            hosts.retain(|h| in_region(h));
        }
        let candidate = |h: &HostRegistration| Candidate {
            address: h.callers,
            millicores: h.millicores,
        };
        let candidates: Vec<Candidate> = hosts.into_iter().map(candidate).collect();
        directory::choose_hosts(&candidates, &mut self.rng)
    }
}
