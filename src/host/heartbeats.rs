//! Periodic work and control messages between hosts: heartbeats, probes, loans and
//! anti-entropy requests.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::RngExt;
use smallvec::SmallVec;
use tokio::time::Instant;
use xtra::{
    Context,
    Handler, //
};

use crate::{
    budget::Messages,
    control::{
        ControlReply,
        ControlRequest,
        HeartbeatMessage,
        ServiceLoad, //
    },
    host::{
        Host,
        io_task::IoTask,
        message::{
            Leave,
            ReturnLoans, //
        },
    },
    membership::{
        Facts,
        Gossip,
        HEARTBEAT_PERIOD,
        LoadSummary,
        PeerState,
        Probe, //
    },
    store::ListedHost,
    util::id::{
        HostName,
        ZoneName, //
    },
};

/// Interval between two [`Tick`]s.
pub const TICK: Duration = Duration::from_millis(100);
/// Number of ticks in one heartbeat period.
const TICKS_PER_PERIOD: u64 = HEARTBEAT_PERIOD.as_millis() as u64 / TICK.as_millis() as u64;
/// Heartbeat periods between two reads of the platform's host list.
const LIST_INTERVAL_PERIODS: u64 = 300;
/// Heartbeat periods between two health checks of the upstreams.
const HEALTH_INTERVAL_PERIODS: u64 = 2;
/// Most other zones with which a host exchanges loads in one heartbeat period.
const OTHER_ZONES_PER_PERIOD: usize = 3;
/// Most suspect requests in one control message.
pub(super) const SUSPECTS_PER_MESSAGE: usize = 64;
/// Gap between two ticks after which the zone's ledger has to be confirmed again.
const LEDGER_RECHECK_GAP: Duration = Duration::from_secs(2);
/// Heartbeat periods between two requests for an unconfirmed ledger.
const LEDGER_REQUEST_INTERVAL_PERIODS: u64 = 1;

/// Runs timers and periodic work; sent every [`TICK`].
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A control request that another host sent.
#[derive(Debug)]
pub struct HandleControl(pub ControlRequest);

/// The result of [`IoTask::Control`].
#[derive(Debug)]
pub struct ControlResult {
    /// Host that received the request.
    pub to: HostName,
    /// When the request was sent.
    pub sent_at: Instant,
    /// The request.
    pub msg: ControlRequest,
    /// The reply; none if the call failed.
    pub reply: Option<ControlReply>,
}

/// The platform's host list, as read from the store.
#[derive(Debug)]
pub struct HostsRead(pub Vec<ListedHost>);

/// Asks for a heartbeat to probe a host with, on behalf of a third host.
#[derive(Debug)]
pub struct GetProbe(pub HostName);

/// The heartbeat with which a host answered a probe on behalf of a third host.
#[derive(Debug)]
pub struct ProbeAnswered(pub Box<HeartbeatMessage>);

/// Asks for a heartbeat to send to an address whose host is not known yet.
#[derive(Debug)]
pub struct GetSeedHeartbeat;

/// Asks for a host's address for other entry hosts.
#[derive(Debug)]
pub struct GetPeerAddress(pub HostName);

impl Handler<GetSeedHeartbeat> for Host {
    type Return = Box<HeartbeatMessage>;

    async fn handle(
        &mut self,
        _msg: GetSeedHeartbeat,
        _cx: &mut Context<Self>,
    ) -> Box<HeartbeatMessage> {
        let name = self.cfg.name.clone();
        Box::new(self.beat(Instant::now(), &name))
    }
}

impl Handler<GetPeerAddress> for Host {
    type Return = Option<SocketAddr>;

    async fn handle(&mut self, msg: GetPeerAddress, _cx: &mut Context<Self>) -> Option<SocketAddr> {
        self.membership.peer(&msg.0).map(|p| p.contact.peers)
    }
}

impl Handler<ReturnLoans> for Host {
    type Return = ();

    async fn handle(&mut self, _msg: ReturnLoans, _cx: &mut Context<Self>) {
        self.return_loans(Instant::now());
        self.send_heartbeats(Instant::now());
    }
}

impl Handler<Tick> for Host {
    type Return = ();

    async fn handle(&mut self, _msg: Tick, _cx: &mut Context<Self>) {
        self.tick(Instant::now());
    }
}

impl Handler<HandleControl> for Host {
    type Return = ControlReply;

    async fn handle(&mut self, msg: HandleControl, _cx: &mut Context<Self>) -> ControlReply {
        self.answer(Instant::now(), msg.0)
    }
}

impl Handler<ControlResult> for Host {
    type Return = ();

    async fn handle(&mut self, msg: ControlResult, _cx: &mut Context<Self>) {
        self.answered(Instant::now(), msg);
    }
}

impl Handler<HostsRead> for Host {
    type Return = ();

    async fn handle(&mut self, msg: HostsRead, _cx: &mut Context<Self>) {
        self.membership.on_list(Instant::now(), &msg.0);
        self.listed = msg.0;
    }
}

impl Handler<GetProbe> for Host {
    type Return = Option<(SocketAddr, Box<HeartbeatMessage>)>;

    async fn handle(
        &mut self,
        msg: GetProbe,
        _cx: &mut Context<Self>,
    ) -> Option<(SocketAddr, Box<HeartbeatMessage>)> {
        let address = self.membership.peer(&msg.0)?.contact.peers;
        let beat = self.beat(Instant::now(), &msg.0);
        Some((address, Box::new(beat)))
    }
}

impl Handler<ProbeAnswered> for Host {
    type Return = Option<Gossip>;

    async fn handle(&mut self, msg: ProbeAnswered, _cx: &mut Context<Self>) -> Option<Gossip> {
        let now = Instant::now();
        self.membership.on_reply(now, &msg.0.heartbeat);
        self.apply_heartbeat(now, &msg.0);
        self.membership.gossip_about(now, &msg.0.heartbeat.from)
    }
}

impl Handler<Leave> for Host {
    type Return = ();

    async fn handle(&mut self, _msg: Leave, _cx: &mut Context<Self>) {
        self.leaving = true;
        self.membership.leave();
        self.rebuild_table(Instant::now());
        self.send_heartbeats(Instant::now());
    }
}

impl Host {
    /// Runs the work of every tick, and of every heartbeat period when one has passed.
    fn tick(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap > LEDGER_RECHECK_GAP {
            self.ledger_unconfirmed = true;
        }
        self.tick_count += 1;
        self.budgets.on_tick(now);
        self.ask_for_loans(now);
        for pool in self.pools.values_mut() {
            pool.tick(now);
        }
        self.serve_queues(now);
        self.send_adoption_step(now);
        self.publish_keys();
        if self.tick_count.is_multiple_of(TICKS_PER_PERIOD) {
            self.period(now, self.tick_count / TICKS_PER_PERIOD);
        }
    }

    /// Runs the work of one heartbeat period; `period` counts them.
    fn period(&mut self, now: Instant, period: u64) {
        self.membership.tick(now);
        self.once.tick(now);
        self.quarantine.tick(now);
        let membership = &self.membership;
        self.loads.retain(|host| membership.peer(host).is_some());
        self.refresh_headroom(now);
        self.rebuild_table(now);
        self.set_facts(now);
        for probe in self.membership.probes(now, &mut self.rng) {
            self.probe(now, probe);
        }
        self.ask_other_zones(now, period);
        if (self.ledger_unconfirmed || self.budgets.needs_validation())
            && period.is_multiple_of(LEDGER_REQUEST_INTERVAL_PERIODS)
        {
            self.ask_for_ledger(now);
        }
        // The offset spreads the hosts' reads of the list over time.
        let offset = self.cfg.seed % LIST_INTERVAL_PERIODS;
        if (period + offset).is_multiple_of(LIST_INTERVAL_PERIODS) {
            self.send(IoTask::ReadHosts);
        }
        if period.is_multiple_of(HEALTH_INTERVAL_PERIODS) {
            self.ask_for_health();
        }
    }

    /// Exchanges heartbeats with one random host in each of a few other zones, which
    /// rotate so that the known free slots of every zone stay recent.
    fn ask_other_zones(&mut self, now: Instant, period: u64) {
        let Some(index) = self.index.clone() else {
            return;
        };
        let zones = index.set().zones.iter().map(|z| &z.name);
        let others: Vec<&ZoneName> = zones.filter(|z| **z != self.cfg.zone).collect();
        if others.is_empty() {
            return;
        }
        let zones_per_period = others.len().div_ceil(2).min(OTHER_ZONES_PER_PERIOD);
        for i in 0..zones_per_period {
            let turn = period as usize * zones_per_period + i;
            let zone = others[turn % others.len()];
            let peers: Vec<(HostName, SocketAddr)> = self
                .membership
                .zone_hosts(zone)
                .filter(|p| self.membership.state(now, &p.name) == Some(PeerState::Live))
                .map(|p| (p.name.clone(), p.contact.peers))
                .collect();
            if peers.is_empty() {
                continue;
            }
            let (to, address) = peers[self.rng.random_range(0..peers.len())].clone();
            self.probe(now, Probe::Direct { to, address });
        }
    }

    /// Sends a heartbeat to a host, or asks another host to do so.
    fn probe(&mut self, now: Instant, probe: Probe) {
        match probe {
            Probe::Direct { to, address } => {
                let beat = Box::new(self.beat(now, &to));
                let msg = ControlRequest::Beat(beat);
                self.send(IoTask::Control { to, address, msg });
            }
            Probe::Indirect {
                via,
                address,
                target,
            } => {
                let msg = ControlRequest::Probe(target);
                self.send(IoTask::Control {
                    to: via,
                    address,
                    msg,
                });
            }
        }
    }

    /// Sends a heartbeat to every known host of the own zone without waiting for the next
    /// period.
    pub(super) fn send_heartbeats(&mut self, now: Instant) {
        self.set_facts(now);
        let zone = self.cfg.zone.clone();
        let peers: Vec<(HostName, SocketAddr)> = self
            .membership
            .zone_hosts(&zone)
            .map(|p| (p.name.clone(), p.contact.peers))
            .collect();
        for (to, address) in peers {
            self.probe(now, Probe::Direct { to, address });
        }
    }

    /// Sends suspect requests to all live hosts at once, because a caller may retry
    /// faster than heartbeats spread.
    pub(super) fn send_suspects(&mut self, now: Instant) {
        let entries = self.quarantine.entries(now, SUSPECTS_PER_MESSAGE);
        let peers: Vec<(HostName, SocketAddr)> = self
            .membership
            .peers()
            .filter(|p| self.membership.state(now, &p.name) == Some(PeerState::Live))
            .map(|p| (p.name.clone(), p.contact.peers))
            .collect();
        for (to, address) in peers {
            let msg = ControlRequest::Suspects(entries.clone());
            self.send(IoTask::Control { to, address, msg });
        }
    }

    /// Updates the facts that the next heartbeats carry.
    fn set_facts(&mut self, now: Instant) {
        let facts = Facts {
            generation: self.adoption.current(),
            ledger: self.acknowledged(now).0,
            withdrawn: self.credentials.summary(),
            news: self.credentials.freshness(now),
            suspects: self.quarantine.summary(),
            load: LoadSummary {
                in_flight: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
                admitted: 0,
                refused: 0,
            },
        };
        self.membership.set_facts(now, facts);
    }

    /// Returns the heartbeat to send to a host.
    pub(super) fn beat(&mut self, now: Instant, to: &HostName) -> HeartbeatMessage {
        HeartbeatMessage {
            heartbeat: self.membership.heartbeat(now, to, &mut self.rng),
            loads: self.own_loads(now),
            ledgers: self.ledger_checksum(),
            plans: self.plan_checksum(),
            released: self.leaving && self.budgets.is_released(now),
        }
    }

    /// Returns this host's load for each service with upstreams in its zone.
    pub(super) fn own_loads(&mut self, now: Instant) -> SmallVec<[ServiceLoad; 4]> {
        let mut loads = SmallVec::new();
        for (service, pool) in &self.pools {
            let (bytes_in, bytes_out) = self.loads.byte_rates(now, service);
            loads.push(ServiceLoad {
                service: service.clone(),
                free: match self.leaving {
                    true => 0,
                    false => pool.free_slots(now),
                },
                usable: pool.capacity(now),
                foreign: self.loads.foreign(service),
                entered: self.loads.in_flight(service),
                bytes_in,
                bytes_out,
            });
        }
        loads
    }

    /// Sends the loan messages that are due.
    pub(super) fn ask_for_loans(&mut self, now: Instant) {
        let messages = self.budgets.loan_messages(now);
        self.send_loans(messages);
    }

    /// Returns all loans before the process stops.
    pub(super) fn return_loans(&mut self, now: Instant) {
        let messages = self.budgets.return_all(now);
        self.send_loans(messages);
    }

    fn send_loans(&self, messages: Messages) {
        for (to, msg) in messages {
            let Some(peer) = self.membership.peer(&to) else {
                continue;
            };
            let address = peer.contact.peers;
            let msg = ControlRequest::Loan(msg);
            self.send(IoTask::Control { to, address, msg });
        }
    }

    /// Asks a random live host of the zone for the ledger that it uses.
    fn ask_for_ledger(&mut self, now: Instant) {
        let zone = self.cfg.zone.clone();
        let peers: Vec<(HostName, SocketAddr)> = self
            .membership
            .zone_hosts(&zone)
            .filter(|p| self.membership.state(now, &p.name) == Some(PeerState::Live))
            .map(|p| (p.name.clone(), p.contact.peers))
            .collect();
        if peers.is_empty() {
            return;
        }
        let (to, address) = peers[self.rng.random_range(0..peers.len())].clone();
        let msg = ControlRequest::Ledgers(self.ledger_revisions());
        self.send(IoTask::Control { to, address, msg });
    }

    /// Requests health checks of all upstreams of this host's pools.
    fn ask_for_health(&self) {
        let mut addresses = Vec::new();
        for pool in self.pools.values() {
            addresses.extend(pool.upstreams().iter().map(|u| u.address()));
        }
        if !addresses.is_empty() {
            self.send(IoTask::CheckUpstreams(addresses));
        }
    }
}
