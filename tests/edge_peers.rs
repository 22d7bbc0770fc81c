//! Leaders of zones, sources of store updates, and the hosts that look-ups return.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use cardamomroad::{
    edge::{
        datagram::{
            Digest,
            HostState,
            Report,
            Sender, //
        },
        model::HostRegistration,
        peers::{
            CROSS_REGION_DIGEST_BEATS,
            Domain,
            Peers, //
        },
    },
    util::id::{
        Incarnation,
        RegionName,
        ZoneName, //
    },
};
use tokio::time::Instant;

/// How long a host may still be returned after its end: the bound promised to users, less the time
/// to live of a look-up answer.
const LISTED_AFTER_END_MAX: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(50);

fn host_in(zone: &str, n: u8, millicores: u32) -> HostRegistration {
    HostRegistration {
        name: format!("{zone}-{n}").parse().expect("host"),
        zone: zone.parse().expect("zone"),
        callers: SocketAddr::from(([10, 0, 0, n], 80)),
        peers: SocketAddr::from(([10, 0, 0, n], 81)),
        millicores,
    }
}

/// Returns the region of each zone: two zones in `bac`, one in `nam`.
fn regions() -> BTreeMap<ZoneName, RegionName> {
    let of = [("bac-a", "bac"), ("bac-b", "bac"), ("nam-a", "nam")];
    let parsed = of.map(|(z, r)| (z.parse().expect("zone"), r.parse().expect("region")));
    parsed.into_iter().collect()
}

/// One host of a test fleet.
struct Member {
    entry: HostRegistration,
    peers: Peers,
    state: HostState,
    /// Whether the host runs and is reachable.
    is_up: bool,
    /// Whether messages between its zone and others are lost.
    is_cut_off: bool,
    /// Whether the store answers the host.
    can_read: bool,
    sequence: u64,
    beats: u32,
    sent_at: Option<Instant>,
    /// Numbers of sent and received messages.
    sent: usize,
    received: usize,
}

/// A fleet whose hosts exchange messages by direct calls, without a network.
struct TestFleet {
    now: Instant,
    members: Vec<Member>,
}

impl TestFleet {
    fn new(hosts: Vec<HostRegistration>) -> Self {
        Self::with_regions(hosts, &regions())
    }

    fn with_regions(
        hosts: Vec<HostRegistration>,
        regions: &BTreeMap<ZoneName, RegionName>,
    ) -> Self {
        let now = Instant::now();
        let member = |own: &HostRegistration| {
            let mut peers = Peers::new(own.clone(), regions.clone());
            for other in hosts.iter().filter(|h| h.name != own.name) {
                peers.register(now, other.clone());
            }
            peers.listen(now);
            Member {
                entry: own.clone(),
                peers,
                state: HostState::Ready,
                is_up: true,
                is_cut_off: false,
                can_read: true,
                sequence: 0,
                beats: 0,
                sent_at: None,
                sent: 0,
                received: 0,
            }
        };
        let members = hosts.iter().map(member).collect();
        Self { now, members }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for i in 0..self.members.len() {
                self.send_due_messages(i);
            }
        }
    }

    fn send_due_messages(&mut self, i: usize) {
        let now = self.now;
        let m = &mut self.members[i];
        if !m.is_up {
            return;
        }
        let reads = m.peers.relay(now).is_none() && m.can_read;
        m.peers.update(now, m.state == HostState::Ready, reads);
        let is_due = |at: Instant| now >= at + m.peers.heartbeat_interval();
        if !m.sent_at.is_none_or(is_due) {
            return;
        }
        m.sent_at = Some(now);
        m.sequence += 1;
        m.beats += 1;
        let from = Sender {
            host: m.entry.name.clone(),
            incarnation: Incarnation(1),
            sequence: m.sequence,
        };
        let state = m.state;
        if !m.peers.leads() {
            let msg = Report {
                from,
                state,
                offered: Vec::new(),
                suspects: Vec::new(),
                configuration: None,
            };
            let leader = m.peers.leader(now, &m.entry.zone);
            let to = leader.and_then(|l| m.peers.address(l));
            return self.send(i, to.into_iter().collect(), |peers| {
                peers.handle_report(now, &msg);
            });
        }
        let mut msg = Digest {
            from,
            state,
            zones: vec![m.peers.own_zone(now, &[], None)],
            shares: Vec::new(),
            suspects: Vec::new(),
        };
        let turn = m.beats as usize;
        let mut leaders = m.peers.leader_addresses(now, true, turn);
        if m.beats.is_multiple_of(CROSS_REGION_DIGEST_BEATS) {
            let turn = turn / CROSS_REGION_DIGEST_BEATS as usize;
            leaders.extend(m.peers.leader_addresses(now, false, turn));
        }
        let zone = m.peers.zone_addresses();
        let others = m.peers.other_zones(now);
        self.send(i, leaders.clone(), |peers| peers.handle_digest(now, &msg));
        self.introduce(i, &leaders, &msg);
        msg.zones.extend(others);
        msg.from.sequence += 1;
        self.members[i].sequence += 1;
        self.send(i, zone, |peers| peers.handle_digest(now, &msg));
    }

    /// Delivers the replies of hosts that received the digest of host `to` in their leader's place.
    fn introduce(&mut self, to: usize, received: &[SocketAddr], msg: &Digest) {
        for i in 0..self.members.len() {
            let m = &mut self.members[i];
            if !m.is_up || !received.contains(&m.entry.peers) {
                continue;
            }
            let Some((address, zone)) = m.peers.introduction(self.now, msg) else {
                continue;
            };
            assert_eq!(address, self.members[to].entry.peers);
            let m = &mut self.members[i];
            m.sequence += 1;
            let reply = Digest {
                from: Sender {
                    host: m.entry.name.clone(),
                    incarnation: Incarnation(1),
                    sequence: m.sequence,
                },
                state: m.state,
                zones: vec![zone],
                shares: Vec::new(),
                suspects: Vec::new(),
            };
            let now = self.now;
            self.send(i, vec![address], |peers| peers.handle_digest(now, &reply));
        }
    }

    fn send(&mut self, from: usize, to: Vec<SocketAddr>, deliver: impl Fn(&mut Peers)) {
        self.members[from].sent += to.len();
        let (zone, is_cut_off) = {
            let m = &self.members[from];
            (m.entry.zone.clone(), m.is_cut_off)
        };
        for m in self
            .members
            .iter_mut()
            .filter(|m| to.contains(&m.entry.peers))
        {
            let is_lost = m.entry.zone != zone && (m.is_cut_off || is_cut_off);
            if m.is_up && !is_lost {
                m.received += 1;
                deliver(&mut m.peers);
            }
        }
    }

    fn leaders(&self) -> Vec<&str> {
        let leading = self.members.iter().filter(|m| m.is_up && m.peers.leads());
        leading.map(|m| m.entry.name.as_str()).collect()
    }

    fn is_listed(&self, by: usize, host: usize) -> bool {
        let name = &self.members[host].entry.name;
        self.members[by].peers.is_live(self.now, name)
    }
}

/// Returns six hosts of one zone, two of them large, and one host of each other zone.
fn hosts() -> Vec<HostRegistration> {
    let mut hosts = vec![host_in("bac-b", 20, 500), host_in("nam-a", 30, 500)];
    hosts.extend(
        [(1, 100), (2, 500), (3, 400), (4, 100), (5, 100), (6, 100)]
            .map(|(n, size)| host_in("bac-a", n, size)),
    );
    hosts
}

/// Indices of the hosts `bac-a-2` and `bac-a-3` in [`hosts`].
const LARGEST: usize = 3;
const SECOND: usize = 4;

#[test]
fn the_largest_host_of_a_zone_leads_it() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.leaders(), ["bac-b-20", "nam-a-30", "bac-a-2"]);
    for by in 0..fleet.members.len() {
        for host in 0..fleet.members.len() {
            assert!(by == host || fleet.is_listed(by, host), "{host} by {by}");
        }
    }
}

/// The load on the store must not grow with the number of hosts, zones or regions.
#[test]
fn one_host_of_a_fleet_reads_the_store_and_the_others_follow_leaders() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    let relay_of = |m: &Member| m.peers.relay(fleet.now);
    let readers = fleet.members.iter().filter(|m| relay_of(m).is_none());
    assert_eq!(readers.count(), 1);
    let largest = Some(fleet.members[LARGEST].entry.peers);
    for m in &fleet.members[LARGEST + 1..] {
        let relay = relay_of(m).map(|r| r.address);
        assert_eq!(relay, largest, "{}", m.entry.name);
    }
}

/// The store refuses the reader and serves the other hosts.
#[test]
fn a_reader_that_the_store_turns_away_asks_another_one() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    let reader = |fleet: &TestFleet| {
        let is_reader = |m: &Member| m.peers.relay(fleet.now).is_none();
        fleet.members.iter().position(is_reader).expect("a reader")
    };
    let before = reader(&fleet);
    fleet.members[before].can_read = false;
    fleet.run(Duration::from_secs(4));
    let after = reader(&fleet);
    assert_ne!(after, before);
    let relay = fleet.members[before].peers.relay(fleet.now);
    assert_eq!(
        relay.map(|r| r.address),
        Some(fleet.members[after].entry.peers)
    );
    fleet.members[before].can_read = true;
    fleet.run(Duration::from_secs(4));
    let readers = fleet
        .members
        .iter()
        .filter(|m| m.peers.relay(fleet.now).is_none());
    assert_eq!(readers.count(), 1);
}

#[test]
fn a_leader_that_ends_is_followed_by_the_next_host_and_named_no_more() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    fleet.members[LARGEST].is_up = false;
    let ended = fleet.now;
    while (0..fleet.members.len()).any(|by| by != LARGEST && fleet.is_listed(by, LARGEST)) {
        fleet.run(STEP);
        assert!(fleet.now < ended + LISTED_AFTER_END_MAX, "still returned");
    }
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.leaders(), ["bac-b-20", "nam-a-30", "bac-a-3"]);
    // The other hosts are still returned.
    assert!((2..fleet.members.len()).all(|h| h == LARGEST || fleet.is_listed(0, h)));
}

#[test]
fn a_leader_that_stops_hands_over_before_it_is_silent() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    let now = fleet.now;
    fleet.members[LARGEST].state = HostState::Leaving;
    fleet.members[LARGEST].peers.leave(now);
    fleet.run(Duration::from_millis(700));
    assert!(fleet.members[SECOND].peers.leads());
    assert!(!fleet.is_listed(SECOND, LARGEST));
}

/// All hosts become ready through the same update, and before they learn that the leader is ready
/// too.
#[test]
fn hosts_that_become_ready_together_keep_their_leader() {
    let mut fleet = TestFleet::new(hosts());
    for m in &mut fleet.members {
        m.state = HostState::Stale;
    }
    fleet.run(Duration::from_secs(3));
    for m in &mut fleet.members {
        m.state = HostState::Ready;
    }
    for _ in 0..20 {
        fleet.run(STEP);
        assert_eq!(fleet.leaders(), ["bac-b-20", "nam-a-30", "bac-a-2"]);
    }
}

#[test]
fn a_leader_that_stays_unready_is_replaced_by_one_that_is_ready() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    fleet.members[LARGEST].state = HostState::Stale;
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.leaders(), ["bac-b-20", "nam-a-30", "bac-a-3"]);
    assert!((0..fleet.members.len()).all(|by| by == LARGEST || !fleet.is_listed(by, LARGEST)));
}

#[test]
fn a_host_that_returns_leads_again_without_forgetting_the_others() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    fleet.members[LARGEST].is_up = false;
    fleet.run(Duration::from_secs(4));
    fleet.members[LARGEST].is_up = true;
    for _ in 0..80 {
        fleet.run(STEP);
        let others = (0..fleet.members.len()).filter(|h| *h != LARGEST);
        for host in others {
            assert!(
                host == 0 || fleet.is_listed(0, host),
                "{host} is not returned"
            );
        }
    }
    assert_eq!(fleet.leaders(), ["bac-b-20", "nam-a-30", "bac-a-2"]);
}

/// An isolated host leads on its own until it rejoins the others.
#[test]
fn a_host_that_is_cut_off_is_not_named_until_it_returns() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    let last = fleet.members.len() - 1;
    fleet.members[last].is_up = false;
    fleet.run(LISTED_AFTER_END_MAX);
    assert!((0..last).all(|by| !fleet.is_listed(by, last)));
    fleet.members[last].is_up = true;
    fleet.run(Duration::from_secs(3));
    assert!((0..last).all(|by| fleet.is_listed(by, last)));
}

#[test]
fn messages_of_an_earlier_process_are_not_heard() {
    let now = Instant::now();
    let (own, other) = (host_in("bac-a", 1, 100), host_in("bac-a", 2, 100));
    let mut peers = Peers::new(own, regions());
    peers.register(now, other.clone());
    let from = |incarnation, sequence| Sender {
        host: other.name.clone(),
        incarnation: Incarnation(incarnation),
        sequence,
    };
    assert!(peers.record_message(now, &from(2, 1)));
    assert!(
        !peers.record_message(now, &from(2, 1)),
        "the same message twice"
    );
    assert!(
        !peers.record_message(now, &from(1, 9)),
        "an earlier process"
    );
    // After the clock has stepped back, a later process has the smaller number.
    let later = now + Duration::from_secs(30);
    assert!(peers.record_message(later, &from(1, 10)));
}

#[test]
fn a_small_region_is_one_domain_and_a_large_one_has_one_a_zone() {
    let small = TestFleet::new(hosts());
    let zone: ZoneName = "bac-a".parse().expect("zone");
    let region: RegionName = "bac".parse().expect("region");
    let peers = &small.members[0].peers;
    assert_eq!(peers.domain_of(&zone), Domain::Region(region));
    let large = (1..=20).map(|n| host_in("bac-a", n, 100)).collect();
    let large = TestFleet::new(large);
    let peers = &large.members[0].peers;
    assert_eq!(peers.domain_of(&zone), Domain::Zone(zone));
}

/// Three regions of three zones: the messages of a host must not grow with the fleet, and those of
/// a leader must not grow faster than its zone.
#[test]
fn messages_a_host_do_not_grow_with_the_fleet() {
    let messages_per_second = |zone_hosts: u8| {
        let mut regions = BTreeMap::new();
        let mut hosts = Vec::new();
        for zone in 0..9_u8 {
            let name = format!("r{}-z{}", zone / 3, zone % 3);
            let region = format!("r{}", zone / 3);
            regions.insert(name.parse().expect("zone"), region.parse().expect("region"));
            for n in 0..zone_hosts {
                let mut host = host_in(&name, n, if n == 0 { 500 } else { 100 });
                host.peers = SocketAddr::from(([10, 1, zone, n], 81));
                hosts.push(host);
            }
        }
        let mut fleet = TestFleet::with_regions(hosts, &regions);
        fleet.run(Duration::from_secs(3));
        for m in &mut fleet.members {
            (m.sent, m.received) = (0, 0);
        }
        let span = Duration::from_secs(6);
        fleet.run(span);
        let rate = |m: &Member| (m.sent + m.received) as f64 / span.as_secs_f64();
        let is_leader = |m: &&Member| m.peers.leads();
        let leaders = fleet.members.iter().filter(is_leader).map(rate);
        let others = fleet.members.iter().filter(|m| !is_leader(m)).map(rate);
        (leaders.fold(0.0, f64::max), others.fold(0.0, f64::max))
    };
    // The heartbeat interval is 0.3 s, or longer in a larger zone; a host sends and receives one
    // message in it.
    let most = 2.0 / 0.3 + 1.0;
    for zone_hosts in [6, 22, 60] {
        let (leader, other) = messages_per_second(zone_hosts);
        assert!(other <= most, "{other} messages a second to each host");
        // Per heartbeat: to and from each of 16 hosts, and the leaders of the eight other zones.
        let most = (2.0 * 16.0 + 16.0) / 0.3;
        assert!(leader <= most, "{leader} messages a second to a leader");
    }
}

/// Fails where leaders look for one another only among the largest registered hosts of a zone: the
/// registrations of hosts that are gone for good stay, also where smaller ones took their place.
#[test]
fn zones_find_each_other_whatever_other_hosts_are_registered() {
    for (gone, alive) in [(2, 1), (9, 2), (40, 5)] {
        let mut hosts = Vec::new();
        for (index, zone) in ["bac-a", "bac-b", "nam-a"].into_iter().enumerate() {
            for n in 0..gone + alive {
                let mut host = host_in(zone, n, if n < gone { 500 } else { 100 });
                host.peers = SocketAddr::from(([10, 2, index as u8, n], 81));
                hosts.push(host);
            }
        }
        let mut fleet = TestFleet::new(hosts);
        let per_zone = usize::from(gone + alive);
        for (i, m) in fleet.members.iter_mut().enumerate() {
            m.is_up = i % per_zone >= usize::from(gone);
        }
        let living: Vec<usize> = (0..fleet.members.len())
            .filter(|i| fleet.members[*i].is_up)
            .collect();
        let know_each_other = |fleet: &TestFleet| {
            let mut pairs = living
                .iter()
                .flat_map(|by| living.iter().map(move |h| (*by, *h)));
            pairs.all(|(by, host)| by == host || fleet.is_listed(by, host))
        };
        // Each turn tries two of the others, every third heartbeat in other regions.
        let turns = u32::from(gone + alive).div_ceil(2);
        let turn = fleet.members[0].peers.heartbeat_interval() * CROSS_REGION_DIGEST_BEATS;
        let find_max = turn * turns + LISTED_AFTER_END_MAX;
        fleet.run(find_max);
        assert!(know_each_other(&fleet), "{gone} gone, {alive} alive");
        // No view is left after the zones have been cut off from each other.
        for m in &mut fleet.members {
            m.is_cut_off = true;
        }
        fleet.run(Duration::from_secs(20));
        assert!(!know_each_other(&fleet), "{gone} gone, {alive} alive");
        for m in &mut fleet.members {
            m.is_cut_off = false;
        }
        fleet.run(find_max);
        assert!(
            know_each_other(&fleet),
            "cut off, {gone} gone, {alive} alive"
        );
    }
}

/// Fails where hosts that do not hear one another each pace a cold upstream as if they were alone.
#[test]
fn zones_that_are_not_heard_count_as_schedulers() {
    let mut fleet = TestFleet::new(hosts());
    let domain = Domain::Region("bac".parse().expect("region"));
    fleet.run(Duration::from_secs(3));
    let schedulers = |fleet: &TestFleet, host: usize| {
        fleet.members[host]
            .peers
            .possible_schedulers(fleet.now, &domain)
    };
    assert_eq!(schedulers(&fleet, LARGEST), 1);
    for m in &mut fleet.members {
        m.is_cut_off = true;
    }
    fleet.run(Duration::from_secs(20));
    assert_eq!(schedulers(&fleet, LARGEST), 2);
    assert_eq!(schedulers(&fleet, 0), 2);
}

/// Fails where registrations of hosts that are gone stay for ever, or where silence removes a host
/// for good: one that was only cut off is known again with its first message, and its part of the
/// rates is kept for it meanwhile.
#[test]
fn hosts_that_are_gone_are_removed_and_cut_off_ones_are_found_again() {
    const KEPT: Duration = Duration::from_secs(30);
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    let cut_off = fleet.members.len() - 1;
    let name = fleet.members[cut_off].entry.name.clone();
    fleet.members[cut_off].is_up = false;
    let silent_since = fleet.now;
    let gone = |fleet: &TestFleet| -> Vec<_> {
        let members = fleet.members.iter().filter(|m| m.is_up);
        members
            .filter_map(|m| m.peers.gone_host(fleet.now))
            .collect()
    };
    while gone(&fleet).is_empty() {
        fleet.run(Duration::from_secs(1));
        assert!(
            fleet.now < silent_since + Duration::from_secs(90),
            "never removed"
        );
    }
    assert!(
        fleet.now >= silent_since + Duration::from_secs(30),
        "removed too early"
    );
    assert_eq!(
        gone(&fleet),
        std::slice::from_ref(&name),
        "named by one host"
    );
    let removed_at = fleet.now;
    for m in fleet.members.iter_mut().filter(|m| m.is_up) {
        m.peers.remove(removed_at, &name);
    }
    assert!(gone(&fleet).is_empty());
    let zone = fleet.members[cut_off].entry.zone.clone();
    let holds_share = |fleet: &TestFleet| {
        let peers = &fleet.members[LARGEST].peers;
        peers.share_holders(fleet.now, KEPT)[&zone].contains(&name)
    };
    assert!(holds_share(&fleet));
    fleet.run(KEPT);
    assert!(!holds_share(&fleet));
    fleet.members[cut_off].is_up = true;
    fleet.run(Duration::from_secs(3));
    // Its leader names it again, and the others when it has registered again.
    assert!(fleet.is_listed(LARGEST, cut_off) && fleet.is_listed(cut_off, 0));
    assert!(holds_share(&fleet));
}

/// A host that hears nobody is more likely to be cut off than the only one left.
#[test]
fn an_isolated_host_and_separated_regions_remove_no_host_for_minutes() {
    let mut fleet = TestFleet::new(hosts());
    fleet.run(Duration::from_secs(3));
    for (i, m) in fleet.members.iter_mut().enumerate() {
        m.is_up = i == 0 || i == LARGEST;
        m.is_cut_off = true;
    }
    // The leader of the other zones is cut off; it has no other host in its zone.
    fleet.run(Duration::from_secs(300));
    for m in fleet.members.iter().filter(|m| m.is_up) {
        assert_eq!(m.peers.gone_host(fleet.now), None, "{}", m.entry.name);
    }
    fleet.run(Duration::from_secs(400));
    assert!(fleet.members[LARGEST].peers.gone_host(fleet.now).is_some());
}
