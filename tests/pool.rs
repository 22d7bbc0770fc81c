//! Tests of the pool's decisions: slots, shares, and own counts over upstream reports.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use cardamomroad::{
    budget::PAUSE_MAX,
    chart::upstream::UpstreamState as State,
    config::object,
    pool::{
        Members,
        Pick,
        Pool,
        Reason, //
        upstream::{
            Outcome,
            Reported,
            ReportedLoad,
            ReportedState, //
        },
    },
    slots,
    util::id::HostName, //
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time::Instant;

const WARM_UP: Duration = Duration::from_secs(10);

fn host(i: usize) -> HostName {
    format!("host-{i}").parse().unwrap()
}

fn hosts(n: usize) -> Vec<HostName> {
    (0..n).map(host).collect()
}

/// Builds the ledger's member lists: one, or the old and the new one during a change.
fn members(revision: u64, counts: &[usize]) -> Members {
    Members {
        revision,
        lists: counts.iter().map(|&n| hosts(n)).collect(),
    }
}

fn address(i: usize) -> SocketAddr {
    format!("127.0.1.{}:9000", i + 1).parse().unwrap()
}

fn config(upstreams: usize, slots: u32) -> object::Pool {
    object::Pool {
        name: "pool".parse().unwrap(),
        service: "dispatch".parse().unwrap(),
        zone: "bac-a".parse().unwrap(),
        upstreams: (0..upstreams).map(address).collect(),
        slots,
        connections: 400,
        warm_up: WARM_UP,
    }
}

/// The pool of one host with a manual clock and a seeded random generator.
struct Rig {
    now: Instant,
    pool: Pool,
    rng: StdRng,
}

impl Rig {
    fn new(upstreams: usize, slots: u32, hosts: usize) -> Self {
        let now = Instant::now();
        let mut rig = Self {
            now,
            pool: Pool::new(
                now,
                host(0),
                &config(upstreams, slots),
                members(1, &[hosts]),
            ),
            rng: StdRng::seed_from_u64(7),
        };
        rig.wait(WARM_UP);
        rig
    }

    fn wait(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / 100 {
            self.now += Duration::from_millis(100);
            self.pool.tick(self.now);
        }
    }

    fn pick(&mut self) -> Option<SocketAddr> {
        match self.pool.pick(self.now, false, &mut self.rng).pick {
            Pick::Upstream { address, .. } => Some(address),
            Pick::Forward { .. } | Pick::Busy { .. } => None,
        }
    }

    fn start(&mut self) -> Option<SocketAddr> {
        let address = self.pick()?;
        self.pool.started(self.now, address);
        Some(address)
    }

    fn finish(&mut self, address: SocketAddr, outcome: Outcome) {
        self.pool.finished(self.now, address, outcome);
    }

    fn fill(&mut self) -> Vec<SocketAddr> {
        std::iter::from_fn(|| self.start()).collect()
    }

    fn reason(&mut self) -> Reason {
        self.pool.pick(self.now, false, &mut self.rng).reason
    }

    fn report(&mut self, i: usize, state: ReportedState, in_flight: u32) {
        let reported = Reported {
            state,
            load: Some(ReportedLoad {
                in_flight,
                slots: 4,
            }),
            requested_at: self.now,
        };
        self.pool.report(self.now, address(i), reported);
    }

    fn state(&self, i: usize) -> State {
        self.pool.upstreams()[i].state()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The shares of an upstream add up to its slots for any member list.
    #[test]
    fn shares_add_up_to_the_slots(count in 1_usize..300, whole in 0_u32..500, port in 1_u16..1000) {
        let hosts = hosts(count);
        let at = SocketAddr::from(([10, 0, 0, 1], port));
        let sum: u32 = hosts.iter().map(|h| slots::share(&hosts, h, at, whole)).sum();
        prop_assert_eq!(sum, whole);
    }

    /// However the membership changes, the gateways together never run more requests
    /// at an upstream than it has slots, provided that an old list is removed only
    /// after all gateways are within their new shares.
    #[test]
    fn gateways_together_keep_to_the_slots(
        changes in proptest::collection::vec((1_usize..8, 0_u8..40), 1..20),
        seed in 0_u64..1000,
    ) {
        let now = Instant::now();
        let cfg = config(3, 4);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut pools: Vec<Pool> = (0..8)
            .map(|i| Pool::new(now, host(i), &cfg, members(0, &[8])))
            .collect();
        let mut running: Vec<(usize, SocketAddr)> = Vec::new();
        let mut now = now;
        let mut held = vec![8];
        for (revision, (count, starts)) in changes.into_iter().enumerate() {
            let revision = 2 * revision as u64 + 1;
            held.push(count);
            for pool in &mut pools {
                pool.set_members(members(revision, &held));
            }
            for n in 0..usize::from(starts) {
                now += Duration::from_millis(500);
                let i = n % 8;
                pools.iter_mut().for_each(|p| p.tick(now));
                if let Pick::Upstream { address, .. } = pools[i].pick(now, true, &mut rng).pick {
                    pools[i].started(now, address);
                    running.push((i, address));
                }
                for a in 0..3 {
                    let at = running.iter().filter(|(_, x)| *x == address(a)).count();
                    prop_assert!(at <= 4, "{at} requests are running at {}", address(a));
                }
                if n % 3 == 2 && !running.is_empty() {
                    let (i, address) = running.remove(0);
                    pools[i].finished(now, address, Outcome::Answered);
                }
            }
            if pools.iter().all(|p| p.is_within_shares(revision)) {
                held = vec![count];
                let last = members(revision + 1, &held);
                pools.iter_mut().for_each(|p| p.set_members(last.clone()));
            }
        }
    }
}

#[test]
fn more_gateways_than_slots_keep_to_subsets() {
    let hosts = hosts(217);
    let mut most = 0;
    for h in &hosts {
        let mine = (0..30).map(|i| slots::share(&hosts, h, address(i), 4));
        assert!(mine.clone().all(|s| s <= 1));
        most = most.max(mine.sum());
    }
    assert!(most <= 6, "one of 217 gateways holds {most} of 120 slots");
}

#[test]
fn a_full_gateway_passes_to_a_peer_with_spare_slots_once() {
    let mut rig = Rig::new(1, 4, 2);
    assert_eq!(rig.fill().len(), 2);
    rig.pool.set_peer_free_slots(rig.now, &host(1), 1);
    let first = rig.pool.pick(rig.now, false, &mut rig.rng);
    assert_eq!(first.pick, Pick::Forward { host: host(1) });
    assert_eq!(
        rig.reason(),
        Reason::NoFreeSlots,
        "the peer's only free slot is already reserved"
    );
    rig.pool.finish_forwarded(&host(1));
    assert_eq!(
        rig.reason(),
        Reason::PeerHasFreeSlots,
        "the forwarded request has ended"
    );
    rig.pool.set_peer_free_slots(rig.now, &host(1), 1);
    let passed = rig.pool.pick(rig.now, true, &mut rig.rng);
    assert_eq!(
        passed.reason,
        Reason::NoFreeSlots,
        "a forwarded request is not forwarded again"
    );
}

#[test]
fn an_old_peer_report_is_not_used() {
    let mut rig = Rig::new(1, 4, 2);
    rig.pool.set_peer_free_slots(rig.now, &host(1), 2);
    rig.wait(Duration::from_secs(3));
    rig.fill();
    assert_eq!(rig.reason(), Reason::NoFreeSlots);
}

#[test]
fn a_cold_upstream_ramps_over_the_warm_up() {
    let now = Instant::now();
    let mut rig = Rig {
        now,
        pool: Pool::new(now, host(0), &config(1, 8), members(1, &[1])),
        rng: StdRng::seed_from_u64(7),
    };
    let mut seen = vec![rig.pool.free_slots(rig.now)];
    for _ in 0..4 {
        rig.wait(WARM_UP / 4);
        seen.push(rig.pool.free_slots(rig.now));
    }
    assert_eq!(seen, [2, 3, 5, 6, 8]);
}

#[test]
fn a_report_of_idle_never_beats_own_counts() {
    let mut rig = Rig::new(2, 4, 1);
    let full: Vec<_> = rig.fill();
    assert_eq!(full.len(), 8);
    rig.report(0, ReportedState::Ready, 0);
    assert_eq!(rig.reason(), Reason::NoFreeSlots);
    for _ in 0..3 {
        rig.finish(address(0), Outcome::Failed);
    }
    rig.report(0, ReportedState::Ready, 0);
    assert_eq!(rig.state(0), State::Suspect);
    assert_eq!(
        rig.reason(),
        Reason::NoFreeSlots,
        "one of its requests is still running"
    );
}

#[test]
fn a_report_of_full_only_lowers_the_weight() {
    let mut rig = Rig::new(2, 4, 1);
    rig.report(0, ReportedState::Ready, 4);
    let first: Vec<_> = (0..3).filter_map(|_| rig.start()).collect();
    assert_eq!(first.iter().filter(|a| **a == address(0)).count(), 0);
    assert_eq!(rig.fill().len(), 5, "its slots are still used when needed");
}

#[test]
fn a_shed_answer_backs_off_and_narrows() {
    let mut rig = Rig::new(1, 4, 1);
    assert_eq!(rig.fill().len(), 4);
    rig.finish(address(0), Outcome::Shed);
    assert_eq!(rig.reason(), Reason::NoUsableUpstream);
    rig.wait(Duration::from_millis(200));
    assert_eq!(
        rig.reason(),
        Reason::NoFreeSlots,
        "three requests run and three are allowed"
    );
    for _ in 0..3 {
        rig.finish(address(0), Outcome::Answered);
    }
    assert_eq!(rig.fill().len(), 3);
}

#[test]
fn a_refused_connection_makes_it_suspect_and_one_probe_brings_it_back_cold() {
    let mut rig = Rig::new(1, 4, 1);
    let at = rig.start().unwrap();
    rig.finish(at, Outcome::Refused);
    assert_eq!(rig.pick(), None);
    rig.wait(Duration::from_millis(200));
    assert_eq!(rig.reason(), Reason::Probe);
    let at = rig.start().unwrap();
    assert_eq!(rig.pick(), None, "one probe at a time");
    rig.finish(at, Outcome::Answered);
    assert_eq!(rig.state(0), State::Cold);
    assert_eq!(rig.pool.free_slots(rig.now), 1);
}

/// Guards against a pool whose upstreams are all suspect and that never gets the request by
/// which it would be found again.
#[test]
fn a_due_probe_counts_as_a_free_slot_unless_the_upstream_stays_silent() {
    let mut rig = Rig::new(1, 4, 1);
    let at = rig.start().unwrap();
    rig.finish(at, Outcome::Refused);
    assert!(!rig.pool.has_room(rig.now), "backing off");
    rig.wait(Duration::from_millis(200));
    assert_eq!(rig.pool.free_slots(rig.now), 1, "it never reported");
    let at = rig.start().unwrap();
    rig.report(0, ReportedState::Ready, 0);
    rig.finish(at, Outcome::Refused);
    rig.wait(Duration::from_millis(400));
    assert_eq!(rig.pool.free_slots(rig.now), 0, "silent since it failed");
    assert!(rig.pool.has_room(rig.now), "own requests still probe it");
    rig.report(0, ReportedState::Ready, 0);
    assert_eq!(rig.pool.free_slots(rig.now), 1);
}

#[test]
fn probes_of_a_dead_upstream_grow_rare() {
    let mut rig = Rig::new(1, 4, 1);
    let mut tries = 0;
    for _ in 0..600 {
        rig.wait(Duration::from_millis(100));
        if let Some(at) = rig.start() {
            tries += 1;
            rig.finish(at, Outcome::Refused);
        }
    }
    assert!((10..=20).contains(&tries), "{tries} tries in a minute");
}

#[test]
fn draining_stops_new_work_by_answer_report_or_operator() {
    let mut rig = Rig::new(4, 4, 1);
    let at = rig.start().unwrap();
    rig.finish(at, Outcome::Draining);
    assert!(rig.fill().iter().all(|a| *a != at));
    let mut rig = Rig::new(2, 4, 1);
    rig.report(0, ReportedState::Draining, 0);
    assert!(rig.fill().iter().all(|a| *a == address(1)));
    let mut rig = Rig::new(2, 4, 1);
    rig.pool.set_drained(rig.now, address(0), true);
    rig.wait(Duration::from_secs(1));
    rig.report(0, ReportedState::Ready, 0);
    assert!(
        rig.fill().iter().all(|a| *a == address(1)),
        "a report does not end an operator's drain"
    );
}

#[test]
fn a_removed_upstream_gets_nothing_and_is_forgotten_when_empty() {
    let mut rig = Rig::new(2, 4, 1);
    rig.fill();
    rig.pool.configure(rig.now, &config(1, 4));
    rig.finish(address(1), Outcome::Answered);
    assert_eq!(rig.pick(), None);
    for _ in 0..3 {
        rig.finish(address(1), Outcome::Answered);
    }
    rig.wait(Duration::from_millis(100));
    assert_eq!(rig.pool.upstreams().len(), 1);
}

#[test]
fn a_paused_process_asks_before_it_starts_work() {
    let mut rig = Rig::new(1, 4, 2);
    rig.now += PAUSE_MAX + Duration::from_millis(1);
    assert_eq!(rig.reason(), Reason::SharesUnconfirmed);
    rig.wait(Duration::from_secs(1));
    assert_eq!(rig.reason(), Reason::SharesUnconfirmed);
    rig.pool.set_members(members(1, &[2]));
    assert_eq!(rig.reason(), Reason::LeastLoaded);
}

/// Guards against a queue that is refused as a whole while a paused process asks for its shares.
#[test]
fn a_paused_process_hands_no_slots_to_waiting_requests() {
    let mut rig = Rig::new(1, 4, 2);
    rig.now += PAUSE_MAX + Duration::from_millis(1);
    rig.pool.tick(rig.now);
    assert!(!rig.pool.has_room(rig.now));
    rig.pool.set_members(members(1, &[2]));
    assert!(rig.pool.has_room(rig.now));
}
