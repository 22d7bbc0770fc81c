//! A simulated fleet: hosts and relays exchange messages through a seeded queue that
//! loses, delays, repeats and reorders them.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use cardamomroad::{
    bucket::Quota,
    budget::{
        Attempt,
        Budgets,
        Debit,
        ShareInputs, //
    },
    config::object::Zone,
    ledger::{
        self,
        HostReport,
        Ledger,
        Member,
        Members,
        ProposalInputs,
        Revision,
        Zones, //
    },
    loan::{
        LoanMessage,
        LoanReply, //
    },
    share::{
        FleetQuota, //
        Resource,
    },
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::{
        Generation,
        HostName,
        Incarnation,
        OrganisationName,
        ZoneName, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time::Instant;

/// Simulated time of one step of [`Fleet::run`].
pub const STEP: Duration = Duration::from_millis(5);
/// Steps between two ticks of a host.
const TICK_STEPS: u64 = 10;
/// Steps between two heartbeats of a host, and between two runs of the relays.
const HEARTBEAT_STEPS: u64 = 200;

pub fn organisation() -> OrganisationName {
    "thanh".parse().unwrap()
}

pub fn fleet_quota(quota: Quota) -> FleetQuota {
    FleetQuota {
        resource: Resource::Organisation(organisation()),
        quota,
        region: None,
    }
}

pub fn zone(i: usize) -> Zone {
    Zone {
        name: format!("z{i}").parse().unwrap(),
        region: format!("r{}", i / 2).parse().unwrap(),
    }
}

pub fn member(zone: usize, i: usize) -> Member {
    Member {
        name: format!("h{zone}-{i}").parse().unwrap(),
        peers: ([127, 0, zone as u8, i as u8], 4000).into(),
    }
}

/// Returns the ledger of a fleet with one zone, with all changes applied.
#[allow(dead_code, reason = "not every test file needs one")]
pub fn ledger_of(revision: u64, hosts: &[Member]) -> Ledger {
    let mut ledger = Ledger::new(zone(0).name);
    ledger.revision = Revision(revision);
    ledger.members[0] = Members {
        since: Revision(1),
        hosts: hosts.to_vec(),
    };
    ledger.zones[0] = Zones {
        since: Revision(1),
        generation: Generation(1),
        zones: vec![zone(0)],
    };
    ledger
}

#[derive(Clone)]
enum Msg {
    Loan(LoanMessage),
    Reply(LoanReply),
    Heartbeat(usize, Instant, Option<Revision>),
    Ledger(Instant, Arc<ShareInputs>),
}

/// Network faults, in thousandths of all messages.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub loss_permille: u32,
    pub repeat_permille: u32,
    pub delay_permille: u32,
}

pub struct Host {
    pub zone: usize,
    pub member: Member,
    pub budgets: Budgets,
    pub incarnation: u64,
    pub paused_until: Instant,
    pub alive: bool,
    /// Requests that arrived while the host was paused or in this step.
    backlog: u64,
    /// Requests held back: when each was first tried, when it retries, and whether the
    /// single bucket for the whole fleet accepted it.
    waiting: Vec<(Instant, Instant, bool)>,
}

#[derive(Default)]
struct Relay {
    ledger: Option<Ledger>,
    /// The last heartbeat of each host: the acknowledged revision and the time.
    heard: BTreeMap<Member, (Option<Revision>, Instant)>,
    fleet_quotas: Vec<FleetQuota>,
    generation: Generation,
}

pub struct Fleet {
    pub start: Instant,
    pub now: Instant,
    pub hosts: Vec<Host>,
    pub faults: Faults,
    pub cut_zone: Option<usize>,
    pub store_up: bool,
    pub fleet_quotas: Vec<FleetQuota>,
    pub zones: Vec<Zone>,
    pub generation: Generation,
    /// Hosts that the platform no longer lists.
    pub unlisted: Vec<Member>,
    /// Whether hosts send loan requests and returns.
    pub loans: bool,
    /// When requests were granted, in order.
    pub starts: Vec<Instant>,
    /// Number of requests that arrived.
    pub arrivals: u64,
    pub refused: u64,
    /// Number of refused requests that one bucket for the whole fleet would have accepted.
    pub wrongful: u64,
    pub messages: u64,
    /// How long each granted request was held back.
    pub wait_times: Vec<Duration>,
    /// Tokens used of the single bucket, in thousandths of a request times nanoseconds,
    /// and when that was computed.
    ideal_bucket: (u128, Instant),
    steps: u64,
    relays: Vec<Relay>,
    store: BTreeMap<usize, Ledger>,
    /// Messages in flight by delivery time and serial number: sender, receiver, message.
    queue: BTreeMap<(Instant, u64), (usize, usize, Msg)>,
    sent: u64,
    rng: StdRng,
}

impl Fleet {
    pub fn new(seed: u64, zones: usize, hosts_per_zone: usize, quota: Quota) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            now: start,
            hosts: Vec::new(),
            faults: Faults::default(),
            cut_zone: None,
            store_up: true,
            fleet_quotas: vec![fleet_quota(quota)],
            zones: (0..zones).map(zone).collect(),
            generation: Generation(1),
            unlisted: Vec::new(),
            loans: true,
            starts: Vec::new(),
            arrivals: 0,
            refused: 0,
            wrongful: 0,
            messages: 0,
            wait_times: Vec::new(),
            ideal_bucket: (0, start),
            steps: 0,
            relays: Vec::new(),
            store: BTreeMap::new(),
            queue: BTreeMap::new(),
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for z in 0..zones {
            fleet.relays.push(Relay::default());
            for i in 0..hosts_per_zone {
                fleet.add_host(z, i);
            }
        }
        fleet
    }

    pub fn add_host(&mut self, zone: usize, i: usize) {
        let member = member(zone, i);
        while self.relays.len() <= zone {
            self.relays.push(Relay::default());
        }
        self.hosts.push(Host {
            zone,
            budgets: Budgets::new(member.name.clone(), Incarnation(1), self.now),
            member,
            incarnation: 1,
            paused_until: self.now,
            alive: true,
            backlog: 0,
            waiting: Vec::new(),
        });
    }

    pub fn restart(&mut self, i: usize) {
        let now = self.now;
        let host = &mut self.hosts[i];
        host.incarnation += 1;
        let incarnation = Incarnation(host.incarnation);
        host.budgets = Budgets::new(host.member.name.clone(), incarnation, now);
        host.alive = true;
        host.backlog = 0;
        host.waiting.clear();
    }

    pub fn pause(&mut self, i: usize, span: Duration) {
        self.hosts[i].paused_until = self.now + span;
    }

    /// Runs for a span; in each step `arrivals(host, rng)` requests arrive at each host.
    pub fn run(&mut self, span: Duration, mut arrivals: impl FnMut(usize, &mut StdRng) -> u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            for i in 0..self.hosts.len() {
                let n = arrivals(i, &mut self.rng);
                self.arrivals += n;
                self.hosts[i].backlog += n;
                self.serve(i);
            }
            self.deliver();
            for i in 0..self.hosts.len() {
                self.tick(i);
            }
            if self.steps.is_multiple_of(HEARTBEAT_STEPS) {
                self.relay();
            }
        }
    }

    fn is_running(&self, i: usize) -> bool {
        self.hosts[i].alive && self.hosts[i].paused_until <= self.now
    }

    /// Debits the host's waiting and new requests. This runs before messages are
    /// delivered, so that a host that resumes from a pause spends before it learns anything.
    fn serve(&mut self, i: usize) {
        if !self.hosts[i].alive {
            self.hosts[i].backlog = 0;
        }
        if !self.is_running(i) {
            return;
        }
        let now = self.now;
        let waiting = std::mem::take(&mut self.hosts[i].waiting);
        for (since, until, within_quota) in waiting {
            if until > now {
                self.hosts[i].waiting.push((since, until, within_quota));
                continue;
            }
            self.debit(i, Attempt::Retry { since }, since, within_quota);
        }
        for _ in 0..std::mem::take(&mut self.hosts[i].backlog) {
            let within_quota = self.fits_fleet_quota();
            self.debit(i, Attempt::First, now, within_quota);
        }
    }

    fn debit(&mut self, i: usize, attempt: Attempt, since: Instant, within_quota: bool) {
        let host = &mut self.hosts[i];
        match host.budgets.debit(self.now, &organisation(), attempt) {
            Debit::Granted => {
                self.starts.push(self.now);
                self.wait_times.push(self.now - since);
            }
            Debit::Wait { until } => host.waiting.push((since, until, within_quota)),
            Debit::Refused { .. } => {
                self.refused += 1;
                self.wrongful += u64::from(within_quota);
            }
        }
    }

    /// Reports whether a single bucket with the rate and burst of the whole fleet would
    /// accept this arrival, and debits that bucket.
    fn fits_fleet_quota(&mut self) -> bool {
        let quota = self.fleet_quotas[0].quota;
        let gap = (self.now - self.ideal_bucket.1).as_nanos() * u128::from(quota.rate);
        let used = self.ideal_bucket.0.saturating_sub(gap);
        let fits = used + 1_000 * 1_000_000_000 <= u128::from(quota.burst) * 1_000_000_000;
        let cost = if fits { 1_000 * 1_000_000_000 } else { 0 };
        self.ideal_bucket = (used + cost, self.now);
        fits
    }

    fn tick(&mut self, i: usize) {
        if !self.is_running(i) {
            return;
        }
        let now = self.now;
        let host = &mut self.hosts[i];
        if self.steps.is_multiple_of(TICK_STEPS) {
            host.budgets.on_tick(now);
        }
        if self.loans {
            for (to, msg) in host.budgets.loan_messages(now) {
                self.send_to(i, &to, Msg::Loan(msg));
            }
        }
        if (self.steps + i as u64).is_multiple_of(HEARTBEAT_STEPS) {
            let host = &mut self.hosts[i];
            let acked = host.budgets.acknowledged(now);
            let zone = host.zone;
            self.push(i, zone + 1000, Msg::Heartbeat(i, now, acked));
        }
    }

    fn send_to(&mut self, from: usize, to: &HostName, msg: Msg) {
        if let Some(j) = self.hosts.iter().position(|h| h.member.name == *to) {
            self.push(from, j, msg);
        }
    }

    /// Queues a message between two nodes: hosts are numbered from 0, the relays of the
    /// zones from 1000.
    fn push(&mut self, from: usize, to: usize, msg: Msg) {
        let zone = |n: usize| {
            if n >= 1000 {
                n - 1000
            } else {
                self.hosts[n].zone
            }
        };
        let (a, b) = (zone(from), zone(to));
        let cut = a != b && (self.cut_zone == Some(a) || self.cut_zone == Some(b));
        self.messages += 1;
        if cut || self.rng.random_range(0..1000) < self.faults.loss_permille {
            return;
        }
        let mut copies = 1;
        if self.rng.random_range(0..1000) < self.faults.repeat_permille {
            copies = 2;
        }
        for _ in 0..copies {
            let base = match (a == b, a / 2 == b / 2) {
                (true, _) => 1,
                (false, true) => 2,
                (false, false) => 55,
            };
            let mut delay = base + self.rng.random_range(0..3);
            if self.rng.random_range(0..1000) < self.faults.delay_permille {
                delay += self.rng.random_range(0..8000);
            }
            self.sent += 1;
            let at = self.now + Duration::from_millis(delay);
            self.queue.insert((at, self.sent), (from, to, msg.clone()));
        }
    }

    fn deliver(&mut self) {
        let due = self.queue.range(..=(self.now, u64::MAX));
        let due: Vec<_> = due.map(|(k, v)| (*k, v.clone())).collect();
        for (key, (from, to, msg)) in due {
            if to < 1000 && self.hosts[to].alive && !self.is_running(to) {
                continue;
            }
            self.queue.remove(&key);
            self.handle(from, to, msg);
        }
    }

    fn handle(&mut self, from: usize, to: usize, msg: Msg) {
        let now = self.now;
        if to < 1000 && !self.hosts[to].alive {
            return;
        }
        match msg {
            Msg::Heartbeat(i, asked_at, acked) => self.heartbeat(to - 1000, i, asked_at, acked),
            Msg::Loan(LoanMessage::Request(req)) => {
                if let Some(reply) = self.hosts[to].budgets.on_loan_request(now, &req) {
                    self.push(to, from, Msg::Reply(reply));
                }
            }
            Msg::Reply(reply) => self.hosts[to].budgets.on_loan_reply(now, &reply),
            Msg::Loan(LoanMessage::Return(returned)) => {
                self.hosts[to].budgets.on_loan_return(now, &returned)
            }
            Msg::Ledger(asked_at, share_inputs) => {
                let _ = self.hosts[to].budgets.adopt(now, asked_at, share_inputs);
            }
        }
    }

    fn heartbeat(&mut self, zone: usize, i: usize, asked_at: Instant, acked: Option<Revision>) {
        let member = self.hosts[i].member.clone();
        let relay = &mut self.relays[zone];
        relay.heard.insert(member.clone(), (acked, self.now));
        let Some(ledger) = relay.ledger.clone() else {
            return;
        };
        let others = self.store.values().filter(|l| l.zone != ledger.zone);
        let others = others.cloned().collect();
        let share_inputs = ShareInputs {
            fleet_quotas: relay.fleet_quotas.clone(),
            member,
            ledger,
            others,
        };
        self.push(
            zone + 1000,
            i,
            Msg::Ledger(asked_at, Arc::new(share_inputs)),
        );
    }

    /// Runs the relay of each zone that reaches the store: reads the ledgers and writes
    /// the next one.
    fn relay(&mut self) {
        for z in 0..self.relays.len() {
            if !self.store_up || self.cut_zone == Some(z) {
                continue;
            }
            let name: ZoneName = zone(z).name;
            let ledger = self
                .store
                .entry(z)
                .or_insert_with(|| Ledger::new(name.clone()));
            let ledger = ledger.clone();
            let (listed, host_reports) = self.view(z, &ledger);
            let others: Vec<Ledger> = self
                .store
                .values()
                .filter(|l| l.zone != name)
                .cloned()
                .collect();
            let relay = &mut self.relays[z];
            relay.fleet_quotas = self.fleet_quotas.clone();
            relay.generation = self.generation;
            let observed = ProposalInputs {
                generation: self.generation,
                zones: &self.zones,
                listed: &listed,
                host_reports: &host_reports,
                others: &others,
            };
            let next = ledger::propose(&ledger, &observed).unwrap_or(ledger);
            relay.ledger = Some(next.clone());
            self.store.insert(z, next);
        }
    }

    /// Returns the relay's inputs: the platform's list and the state of each member.
    fn view(&self, z: usize, ledger: &Ledger) -> (Vec<ListedHost>, Vec<HostReport>) {
        let mut listed = Vec::new();
        for host in self
            .hosts
            .iter()
            .filter(|h| !self.unlisted.contains(&h.member))
        {
            listed.push(ListedHost {
                name: host.member.name.clone(),
                zone: zone(host.zone).name,
                callers: host.member.peers,
                peers: host.member.peers,
                state: ListedState::Live,
            });
        }
        let mut host_reports = Vec::new();
        for member in ledger.members.iter().flat_map(|m| &m.hosts) {
            let last = self.relays[z].heard.get(member);
            let (acked, at) = last.copied().unwrap_or((None, self.start));
            host_reports.push(HostReport {
                member: member.clone(),
                revision: acked.unwrap_or_default(),
                silent_for: self.now - at,
                released: false,
            });
        }
        (listed, host_reports)
    }

    /// Stops a host gracefully: sends the returns of all its loans.
    pub fn stop(&mut self, i: usize) {
        let messages = self.hosts[i].budgets.return_all(self.now);
        for (to, msg) in messages {
            self.send_to(i, &to, Msg::Loan(msg));
        }
    }

    pub fn quota_of(&mut self, i: usize) -> Quota {
        let resource = Resource::Organisation(organisation());
        self.hosts[i].budgets.quota(self.now, &resource)
    }

    /// Returns the sum of the quotas that all live hosts may spend.
    pub fn quota(&mut self) -> Quota {
        let mut sum = Quota::default();
        for i in 0..self.hosts.len() {
            if self.hosts[i].alive {
                sum = sum.plus(self.quota_of(i));
            }
        }
        sum
    }

    /// Returns the most by which the starts in any window after `from` exceeded
    /// `rate * window`, in thousandths of a request.
    pub fn excess(&self, rate: u64, from: Instant) -> u64 {
        excess(self.starts.iter().filter(|t| **t >= from), rate)
    }
}

/// Returns the most by which the starts in any window exceeded `rate * window`, in
/// thousandths of a request.
pub fn excess<'a>(starts: impl Iterator<Item = &'a Instant>, rate: u64) -> u64 {
    let (mut level, mut most, mut last) = (0_u128, 0, None);
    for &at in starts {
        let gap = last.map_or(0, |l| (at - l as Instant).as_nanos());
        level = level.saturating_sub(gap * u128::from(rate)) + 1_000 * 1_000_000_000;
        most = most.max(level);
        last = Some(at);
    }
    u64::try_from(most.div_ceil(1_000_000_000)).unwrap()
}

/// Returns the Poisson-distributed number of arrivals in one [`STEP`].
pub fn poisson(rng: &mut StdRng, per_second: f64) -> u64 {
    let limit = (-per_second * STEP.as_secs_f64()).exp();
    let (mut n, mut product) = (0, rng.random::<f64>());
    while product > limit {
        n += 1;
        product *= rng.random::<f64>();
    }
    n
}
