//! Membership at the target size: the control traffic of a host and the age of its data.
//!
//! Simulates all hosts of one zone, and only those hosts of the other zones that these keep.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use bytes::Bytes;
use cardamomroad::{
    membership::{
        Contact,
        Facts,
        HEARTBEAT_PERIOD,
        Heartbeat,
        LoadSummary,
        Membership,
        OTHER_ZONE_HOSTS_MAX,
        Probe,
        SetSummary, //
        WithdrawalDataAge,
    },
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::{
        Generation,
        HostName,
        ZoneName, //
    },
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::{
    Duration,
    Instant, //
};

const ZONES: u16 = 36;
const ZONE_HOSTS: u16 = 217;
/// Limit for all control traffic of a host, sent and received, in bytes a second.
const CONTROL_BYTES_PER_SECOND_MAX: usize = 8_000;
/// Framing overhead of each message on a persistent connection.
const FRAMING_BYTES: usize = 100;
const WARM_UP_SECONDS: u32 = 400;
const MEASURED_SECONDS: u32 = 100;

fn zone(z: u16) -> ZoneName {
    format!("western-{z}").parse().expect("zone")
}

fn name(z: u16, n: u16) -> HostName {
    format!("western-{z}-host-{n}").parse().expect("host")
}

fn contact(z: u16, n: u16) -> Contact {
    let ip = [10, 200, z.to_be_bytes()[1], n.to_be_bytes()[1]];
    Contact {
        zone: zone(z),
        callers: SocketAddr::from((ip, 8_443)),
        peers: SocketAddr::from((ip, 9_443)),
    }
}

fn listed(z: u16, n: u16) -> ListedHost {
    let contact = contact(z, n);
    ListedHost {
        name: name(z, n),
        zone: contact.zone,
        callers: contact.callers,
        peers: contact.peers,
        state: ListedState::Live,
    }
}

fn member(z: u16, n: u16, now: Instant) -> Membership {
    let incarnation = cardamomroad::membership::new_incarnation(1_790_000_000_000, n);
    let mut member = Membership::new(name(z, n), contact(z, n), incarnation, now);
    member.set_facts(now, facts(1));
    member
}

fn facts(generation: u64) -> Facts {
    Facts {
        generation: Some(Generation(5_000_000 + generation)),
        ledger: 70_000,
        withdrawn: SetSummary {
            count: 20_000,
            sum: u64::MAX / 3,
        },
        news: WithdrawalDataAge {
            store_tenths: 41,
            zones: u32::MAX / 3,
            zone_seconds: Bytes::from(vec![3; usize::from(ZONES)]),
        },
        suspects: SetSummary::default(),
        load: LoadSummary {
            in_flight: 900,
            admitted: 70_000,
            refused: 300,
        },
    }
}

struct Fleet {
    members: BTreeMap<HostName, Membership>,
    bytes: BTreeMap<HostName, usize>,
    largest: usize,
    rng: SmallRng,
}

impl Fleet {
    fn exchange(&mut self, now: Instant, from: &HostName, to: &HostName) {
        let rng = &mut self.rng;
        let heartbeat = self
            .members
            .get_mut(from)
            .expect("sender")
            .heartbeat(now, to, rng);
        let target = self.members.get_mut(to).expect("a simulated host");
        let reply = target.on_heartbeat(now, &heartbeat, rng);
        for message in [&heartbeat, &reply] {
            let encoded = rmp_serde::to_vec(message).expect("encoded");
            if self.bytes.len() < 100 {
                let decoded: Heartbeat = rmp_serde::from_slice(&encoded).expect("decoded");
                assert_eq!(decoded, *message);
            }
            self.largest = self.largest.max(encoded.len());
            for host in [from, to] {
                *self.bytes.entry(host.clone()).or_default() += encoded.len() + FRAMING_BYTES;
            }
        }
        self.members
            .get_mut(from)
            .expect("sender")
            .on_reply(now, &reply);
    }

    fn period(&mut self, now: Instant, hosts: &[HostName]) {
        for host in hosts {
            let member = self.members.get_mut(host).expect("host");
            member.tick(now);
            for probe in member.probes(now, &mut self.rng) {
                let Probe::Direct { to, .. } = probe else {
                    continue;
                };
                self.exchange(now, host, &to);
            }
        }
    }
}

fn full_list() -> Vec<ListedHost> {
    let zones = 0..ZONES;
    zones
        .flat_map(|z| (0..ZONE_HOSTS).map(move |n| listed(z, n)))
        .collect()
}

/// Returns a host that has heard all hosts of its zone and all that it keeps of others.
fn well_informed(t0: Instant) -> Membership {
    let mut me = member(0, 0, t0);
    let all = full_list();
    me.on_list(t0, &all);
    let mut rng = SmallRng::seed_from_u64(33);
    for l in all.iter().filter(|l| l.name != name(0, 0)) {
        if me.peer(&l.name).is_none() {
            continue;
        }
        let (z, n) = numbers(&l.name);
        let heartbeat = member(z, n, t0).heartbeat(t0, &name(0, 0), &mut rng);
        me.on_heartbeat(t0, &heartbeat, &mut rng);
    }
    me
}

fn numbers(host: &HostName) -> (u16, u16) {
    let (z, n) = host.as_str()["western-".len()..]
        .split_once("-host-")
        .expect("name");
    (z.parse().expect("zone"), n.parse().expect("host"))
}

/// Assumes that a host receives as many heartbeats as it sends and that each is answered.
#[test]
fn the_longest_messages_stay_within_the_control_bytes() {
    let t0 = Instant::now();
    let mut rng = SmallRng::seed_from_u64(34);
    let mut me = well_informed(t0);
    let kept = usize::from(ZONE_HOSTS - 1) + usize::from(ZONES - 1) * OTHER_ZONE_HOSTS_MAX;
    assert_eq!(me.peers().count(), kept);
    let (mut near, mut far) = (0, 0);
    let (mut near_bytes, mut far_bytes) = (0, 0);
    for second in 0..60 {
        let now = t0 + HEARTBEAT_PERIOD * second;
        me.tick(now);
        // Each second, known hosts and four hosts that no list names send heartbeats.
        let known = (1..40).map(|n| member(0, n, t0));
        let unlisted =
            (0..4).map(|n| member(0, 1_000 + 4 * u16::try_from(second).expect("few") + n, t0));
        for mut other in known.chain(unlisted) {
            let heartbeat = other.heartbeat(now, &name(0, 0), &mut rng);
            me.on_heartbeat(now, &heartbeat, &mut rng);
        }
        for probe in me.probes(now, &mut rng) {
            let Probe::Direct { to, .. } = probe else {
                continue;
            };
            let heartbeat = me.heartbeat(now, &to, &mut rng);
            let bytes = rmp_serde::to_vec(&heartbeat).expect("encoded").len() + FRAMING_BYTES;
            let (count, longest) = match numbers(&to).0 {
                0 => (&mut near, &mut near_bytes),
                _ => (&mut far, &mut far_bytes),
            };
            *count += 1;
            *longest = bytes.max(*longest);
        }
    }
    // Each heartbeat sent has a reply, and as many are received and replied to; all are
    // counted with the length of the longest.
    let per_second = 4 * (near * near_bytes + far * far_bytes) / 60;
    println!(
        "near={near} far={far} near_bytes={near_bytes} far_bytes={far_bytes} bytes_per_second={per_second}"
    );
    assert!(
        per_second < CONTROL_BYTES_PER_SECOND_MAX,
        "{per_second} bytes a second"
    );
}

/// Takes several minutes; run it by name in a release build.
#[test]
#[ignore = "takes minutes without optimisation"]
fn a_host_stays_within_its_control_bytes_and_knows_its_zone() {
    let t0 = Instant::now();
    let first = well_informed(t0);
    let all = full_list();

    // The other hosts of the zone get the list of hosts that the first one kept.
    let zone_hosts: Vec<HostName> = (0..ZONE_HOSTS).map(|n| name(0, n)).collect();
    let keeps = |l: &&ListedHost| l.zone == zone(0) || first.peer(&l.name).is_some();
    let list: Vec<ListedHost> = all.iter().filter(keeps).cloned().collect();
    let mut members = BTreeMap::new();
    for l in &list {
        let (z, n) = l.name.as_str()["western-".len()..]
            .split_once("-host-")
            .expect("name");
        let mut member = member(z.parse().expect("zone"), n.parse().expect("host"), t0);
        if l.zone == zone(0) {
            member.on_list(t0, &list);
        }
        members.insert(l.name.clone(), member);
    }
    let mut fleet = Fleet {
        members,
        bytes: BTreeMap::new(),
        largest: 0,
        rng: SmallRng::seed_from_u64(31),
    };

    // All hosts start at once; the measurement begins after they know one another.
    for second in 0..WARM_UP_SECONDS {
        fleet.period(t0 + HEARTBEAT_PERIOD * second, &zone_hosts);
    }
    fleet.bytes.clear();
    let started = std::time::Instant::now();
    for second in WARM_UP_SECONDS..WARM_UP_SECONDS + MEASURED_SECONDS {
        fleet.period(t0 + HEARTBEAT_PERIOD * second, &zone_hosts);
    }
    let busy = started.elapsed() / MEASURED_SECONDS / u32::from(ZONE_HOSTS);
    let now = t0 + HEARTBEAT_PERIOD * (WARM_UP_SECONDS + MEASURED_SECONDS - 1);
    let seconds = usize::try_from(MEASURED_SECONDS).expect("seconds");
    let of_host = |h: &HostName| fleet.bytes[h] / seconds;
    let mean = zone_hosts.iter().map(of_host).sum::<usize>() / zone_hosts.len();
    let most = zone_hosts.iter().map(of_host).max().expect("hosts");

    println!(
        "peers={} host_time_per_second={busy:?} mean_bytes_per_second={mean} \
         most_bytes_per_second={most} largest_message={}",
        first.peers().count(),
        fleet.largest,
    );
    assert!(most < CONTROL_BYTES_PER_SECOND_MAX, "{most} bytes a second");
    for in_zone in [true, false] {
        let members = zone_hosts.iter().map(|h| &fleet.members[h]);
        let peers = members.flat_map(Membership::peers);
        let peers: Vec<_> = peers
            .filter(|p| (p.contact.zone == zone(0)) == in_zone)
            .collect();
        let mut ages: Vec<_> = peers
            .iter()
            .map(|p| now - p.heard.expect("heard"))
            .collect();
        ages.sort_unstable();
        let [p50, p99] = [ages[ages.len() / 2], ages[ages.len() * 99 / 100]];
        let eligible = peers.iter().filter(|p| p.is_lookup_eligible(now)).count();
        let percent = 100 * eligible / peers.len();
        println!("in_zone={in_zone} stamp_age p50={p50:?} p99={p99:?} nameable_percent={percent}");
        assert!(
            !in_zone || percent >= 99,
            "look-ups can return only {percent} % of the zone"
        );
    }
}

/// Counts the periods until a new host is known in its whole zone and knows most of
/// it, without the platform's list.
#[test]
fn a_new_host_is_known_in_its_zone_within_seconds() {
    let t0 = Instant::now();
    let zone_hosts: Vec<HostName> = (0..ZONE_HOSTS).map(|n| name(0, n)).collect();
    let list: Vec<ListedHost> = (0..ZONE_HOSTS - 1).map(|n| listed(0, n)).collect();
    let mut members = BTreeMap::new();
    for n in 0..ZONE_HOSTS {
        let mut member = member(0, n, t0);
        if n < ZONE_HOSTS - 1 {
            member.on_list(t0, &list);
        }
        members.insert(name(0, n), member);
    }
    let mut fleet = Fleet {
        members,
        bytes: BTreeMap::new(),
        largest: 0,
        rng: SmallRng::seed_from_u64(32),
    };
    for second in 0..20 {
        fleet.period(t0 + HEARTBEAT_PERIOD * second, &zone_hosts);
    }
    let new = name(0, ZONE_HOSTS - 1);
    fleet.exchange(t0 + HEARTBEAT_PERIOD * 20, &new, &zone_hosts[0]);
    let mut periods = 0;
    let mut informed_hosts = 0;
    let mut known = 0;
    let most = (zone_hosts.len() - 1) * 15 / 16;
    while (informed_hosts + 1 < zone_hosts.len() || known < most) && periods < 60 {
        periods += 1;
        fleet.period(t0 + HEARTBEAT_PERIOD * (20 + periods), &zone_hosts);
        let members = zone_hosts.iter().map(|h| &fleet.members[h]);
        informed_hosts = members.filter(|m| m.peer(&new).is_some()).count();
        known = fleet.members[&new].peers().count();
    }
    println!(
        "periods={periods} hosts_that_know={informed_hosts} hosts_known_to_the_new_one={known}"
    );
    assert!(
        HEARTBEAT_PERIOD * periods <= Duration::from_secs(12),
        "{periods} periods"
    );
}
