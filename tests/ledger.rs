//! The zones' share ledgers: parts sum exactly to the quota, and shares never sum to
//! more, since a share grows only after those that make room for it have shrunk.

use std::time::Duration;

use cardamomroad::{
    bucket::Quota,
    config::object::Zone,
    ledger::{
        GONE_AFTER,
        HostReport,
        LISTS_MAX,
        Ledger,
        Member,
        ProposalInputs,
        Revision,
        propose, //
    },
    share::{
        self,
        equal_part, //
    },
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::Generation, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed, //
    },
};

#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "only some of its functions are used here")]
mod fleet;

use fleet::{
    fleet_quota,
    member,
    zone, //
};

const QUOTA: Quota = Quota::new(100_003, 50_001);

/// One simulated host. `held` is the ledger that it applies, `None` before its first
/// one and once it is gone; `state` is `None` while the platform does not list it.
struct Host {
    zone: usize,
    member: Member,
    held: Option<Ledger>,
    state: Option<ListedState>,
    released: bool,
    silent: Duration,
}

/// The simulated fleet. `store` holds every ledger written so far, by zone.
struct Model {
    zones: Vec<Zone>,
    generation: Generation,
    store: Vec<Vec<Ledger>>,
    hosts: Vec<Host>,
}

impl Model {
    fn new(zones: usize, hosts: usize) -> Self {
        let mut model = Self {
            zones: (0..zones).map(zone).collect(),
            generation: Generation(1),
            store: (0..4).map(|z| vec![Ledger::new(zone(z).name)]).collect(),
            hosts: Vec::new(),
        };
        for i in 0..zones * hosts {
            model.add(i % zones, i / zones);
        }
        model
    }

    fn add(&mut self, zone: usize, i: usize) {
        self.hosts.push(Host {
            zone,
            member: member(zone, i),
            held: None,
            state: Some(ListedState::Live),
            released: false,
            silent: Duration::ZERO,
        });
    }

    fn latest(&self, zone: usize) -> &Ledger {
        self.store[zone].last().unwrap()
    }

    /// Runs a zone's relay once, with the other ledgers as they were `stale` writes ago.
    fn relay(&mut self, z: usize, stale: usize) {
        let mut others = Vec::new();
        for (i, writes) in self.store.iter().enumerate() {
            let at = writes.len().saturating_sub(1 + stale);
            others.extend((i != z).then(|| writes[at].clone()));
        }
        let (mut listed, mut host_reports) = (Vec::new(), Vec::new());
        for host in &self.hosts {
            listed.extend(host.state.map(|state| ListedHost {
                name: host.member.name.clone(),
                zone: zone(host.zone).name,
                callers: host.member.peers,
                peers: host.member.peers,
                state,
            }));
            let held = host.held.as_ref();
            host_reports.push(HostReport {
                member: host.member.clone(),
                revision: held.map_or(Revision(0), |l| l.revision),
                silent_for: host.silent,
                released: host.released,
            });
        }
        let observed = ProposalInputs {
            generation: self.generation,
            zones: &self.zones,
            listed: &listed,
            host_reports: &host_reports,
            others: &others,
        };
        let next = propose(self.latest(z), &observed);
        self.store[z].extend(next);
    }

    /// Lets a host apply the latest ledger of its zone, unless it is unlisted or released.
    fn adopt(&mut self, i: usize) {
        let latest = self.latest(self.hosts[i].zone).clone();
        if self.hosts[i].state.is_some() && !self.hosts[i].released {
            self.hosts[i].held = Some(latest);
        }
    }

    /// Runs relays and hosts until no ledger changes any more.
    fn settle(&mut self) {
        for _ in 0..12 {
            for z in 0..self.store.len() {
                self.relay(z, 0);
            }
            for i in 0..self.hosts.len() {
                self.adopt(i);
            }
        }
    }

    /// Returns the sum of all shares that hosts believe to hold.
    fn sum(&self) -> Quota {
        let mut sum = Quota::default();
        for host in &self.hosts {
            let Some(ledger) = &host.held else {
                continue;
            };
            sum = sum.plus(share::host_share(&fleet_quota(QUOTA), ledger, &host.member));
        }
        sum
    }
}

#[test]
fn growth_waits_for_the_hosts_that_shrink() {
    let mut model = Model::new(1, 2);
    model.settle();
    assert_eq!(model.sum(), QUOTA);
    model.add(0, 5);
    model.relay(0, 0);
    model.adopt(2);
    let newcomer = |m: &Model| share::host_share(&fleet_quota(QUOTA), m.latest(0), &member(0, 5));
    // One of the two hosts whose shares shrink has not acknowledged the ledger.
    model.adopt(0);
    model.relay(0, 0);
    assert_eq!(newcomer(&model), Quota::default());
    model.adopt(1);
    model.relay(0, 0);
    assert!(newcomer(&model).rate > 30_000);
    model.settle();
    assert_eq!(model.sum(), QUOTA);
}

#[test]
fn a_share_moves_only_on_proof() {
    let below_timeout = GONE_AFTER - Duration::from_millis(1);
    let cases = [
        (Some(ListedState::Live), GONE_AFTER * 9, false, false),
        (Some(ListedState::Leaving), GONE_AFTER * 9, false, false),
        (None, below_timeout, false, false),
        (None, GONE_AFTER, false, true),
        (Some(ListedState::Live), Duration::ZERO, true, false),
        (Some(ListedState::Leaving), Duration::ZERO, true, true),
    ];
    for (state, silent, released, moves) in cases {
        let mut model = Model::new(1, 2);
        model.settle();
        let host = &mut model.hosts[1];
        (host.state, host.silent, host.released) = (state, silent, released);
        model.settle();
        let remaining = share::host_share(&fleet_quota(QUOTA), model.latest(0), &member(0, 0));
        assert_eq!(remaining == QUOTA, moves, "{state:?} {silent:?} {released}");
    }
}

#[test]
fn a_zone_without_news_holds_back_a_new_zone_but_not_its_own_hosts() {
    let mut model = Model::new(2, 2);
    model.settle();
    model.zones.push(zone(2));
    model.generation = Generation(2);
    model.add(2, 0);
    model.hosts[2].state = Some(ListedState::Leaving);
    model.hosts[2].released = true;
    for _ in 0..8 {
        for z in [0, 2] {
            model.relay(z, 0);
        }
        for i in [0, 1, 2, 4] {
            model.adopt(i);
        }
    }
    let new_zone = share::zone_share(&fleet_quota(QUOTA), model.latest(2));
    assert_eq!(new_zone, Quota::default());
    assert_eq!(model.latest(0).members.len(), 1);
    model.settle();
    assert!(share::zone_share(&fleet_quota(QUOTA), model.latest(2)).rate >= QUOTA.rate / 3);
}

#[derive(Clone, Debug)]
enum Event {
    Relay(usize, usize),
    Adopt(usize),
    Add(usize, usize),
    Drop(usize),
    Zones(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..4_usize, 0..3_usize).prop_map(|(z, s)| Event::Relay(z, s)),
        8 => (0..16_usize).prop_map(Event::Adopt),
        1 => (0..4_usize, 0..9_usize).prop_map(|(z, i)| Event::Add(z, i)),
        1 => (0..16_usize).prop_map(Event::Drop),
        1 => (1..5_usize).prop_map(Event::Zones),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn parts_sum_to_the_whole_and_shrink_with_it(total in 0..10_000_u64, n in 1..40_usize) {
        let parts: Vec<u64> = (0..n).map(|i| equal_part(total, n, i)).collect();
        prop_assert_eq!(parts.iter().sum::<u64>(), total);
        for (i, p) in parts.iter().enumerate() {
            prop_assert!(equal_part(total.saturating_sub(1), n, i) <= *p);
        }
    }

    #[test]
    fn no_order_of_changes_and_acknowledgements_passes_the_whole(
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut model = Model::new(3, 2);
        model.settle();
        for event in events {
            match event {
                Event::Relay(z, stale) => model.relay(z, stale),
                Event::Adopt(i) => model.adopt(i % model.hosts.len()),
                Event::Add(z, i) => {
                    if !model.hosts.iter().any(|h| h.member == member(z, i)) {
                        model.add(z, i);
                    }
                }
                Event::Drop(i) => {
                    let i = i % model.hosts.len();
                    let host = &mut model.hosts[i];
                    (host.state, host.silent, host.held) = (None, GONE_AFTER, None);
                }
                Event::Zones(n) => {
                    model.generation.0 += 1;
                    model.zones = (0..n).map(zone).collect();
                }
            }
            let sum = model.sum();
            prop_assert!(sum.rate <= QUOTA.rate && sum.burst <= QUOTA.burst, "{:?}", sum);
            for z in 0..4 {
                let ledger = model.latest(z);
                prop_assert!(ledger.members.len() <= LISTS_MAX);
                prop_assert!(ledger.zones.len() <= 4 * LISTS_MAX);
            }
        }
        // Once the changes stop and each zone has a host, the whole quota is held again.
        model.settle();
        let has_live_host = |z: usize| model.hosts.iter().any(|h| h.zone == z && h.state.is_some());
        if (0..model.zones.len()).all(has_live_host) {
            prop_assert_eq!(model.sum(), QUOTA);
        }
    }
}
