//! Who reads the store for a zone, and what hosts tell one another.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use cardamomroad::{
    edge::{
        datagram::{
            HostState,
            PeerMessage, //
        },
        model::HostRegistration,
        peers::Peers,
    },
    util::id::{
        Incarnation,
        RegionName,
        ZoneName, //
    },
};
use tokio::time::Instant;

fn host(n: u8, millicores: u32) -> HostRegistration {
    host_in("bac-a", n, millicores)
}

fn host_in(zone: &str, n: u8, millicores: u32) -> HostRegistration {
    HostRegistration {
        name: format!("{zone}-{n}").parse().expect("host"),
        zone: zone.parse().expect("zone"),
        callers: SocketAddr::from(([10, 0, 0, n], 80)),
        peers: SocketAddr::from(([10, 0, 0, n], 81)),
        millicores,
    }
}

/// The region of each zone: two in `bac`, one in `nam`.
fn regions() -> BTreeMap<ZoneName, RegionName> {
    let of = [("bac-a", "bac"), ("bac-b", "bac"), ("nam-a", "nam")];
    let parsed = of.map(|(z, r)| (z.parse().expect("zone"), r.parse().expect("region")));
    parsed.into_iter().collect()
}

fn message(of: &HostRegistration, state: HostState, sequence: u64) -> PeerMessage {
    PeerMessage {
        host: of.name.clone(),
        incarnation: Incarnation(1),
        sequence,
        state,
        running: Vec::new(),
        offered: Vec::new(),
        wants: Vec::new(),
        grants: Vec::new(),
        suspects: Vec::new(),
    }
}

/// Hosts that all know one another, and the state of each.
fn relays(hosts: &[(HostRegistration, HostState)]) -> Vec<Option<SocketAddr>> {
    let now = Instant::now();
    let relay_of = |(own, state): &(HostRegistration, HostState)| {
        let mut peers = Peers::default();
        for (other, state) in hosts.iter().filter(|(h, _)| h.name != own.name) {
            peers.register(other.clone());
            assert!(peers.hear(now, &message(other, *state, 1)).is_some());
        }
        peers.relay(own, *state == HostState::Ready, &regions())
    };
    hosts.iter().map(relay_of).collect()
}

#[test]
fn a_zone_without_a_configuration_has_one_reader() {
    let hosts = [(1, 100), (2, 500), (3, 500), (4, 100)];
    let hosts = hosts.map(|(n, size)| (host(n, size), HostState::Stale));
    let relays = relays(&hosts);
    assert_eq!(
        relays.iter().filter(|r| r.is_none()).count(),
        1,
        "{relays:?}"
    );
    let reader = relays
        .iter()
        .position(Option::is_none)
        .expect("counted above");
    assert_eq!(hosts[reader].0.millicores, 500);
    assert!(relays.iter().flatten().all(|r| *r == hosts[reader].0.peers));
}

/// Reads of the store grow with the regions, and not with their zones.
#[test]
fn the_readers_of_a_regions_zones_follow_one_of_them() {
    let hosts = [
        (host_in("bac-a", 1, 100), HostState::Ready),
        (host_in("bac-a", 2, 500), HostState::Ready),
        (host_in("bac-b", 3, 200), HostState::Ready),
        (host_in("bac-b", 4, 100), HostState::Ready),
        (host_in("nam-a", 5, 900), HostState::Ready),
    ];
    let at = |place: usize| Some(hosts[place].0.peers);
    assert_eq!(relays(&hosts), [at(1), None, at(1), at(2), None]);
}

#[test]
fn a_ready_host_reads_for_larger_ones_that_are_not() {
    let hosts = [
        (host(1, 500), HostState::Stale),
        (host(2, 100), HostState::Ready),
        (host(3, 500), HostState::Leaving),
    ];
    let relays = relays(&hosts);
    let reader = Some(hosts[1].0.peers);
    assert_eq!(relays, [reader, None, reader]);
}

#[test]
fn a_message_tells_by_how_much_the_work_at_upstreams_changed() {
    let now = Instant::now();
    let other = host(1, 100);
    let mut peers = Peers::default();
    peers.register(other.clone());
    let tell = |peers: &mut Peers, sequence, running: &[(u32, u32)]| {
        let mut msg = message(&other, HostState::Ready, sequence);
        msg.running = running.to_vec();
        let mut changes = peers.hear(now, &msg)?;
        changes.sort_unstable();
        Some(changes)
    };
    let first = tell(&mut peers, 1, &[(7, 2), (8, 1)]);
    assert_eq!(first, Some(vec![(7, 2), (8, 1)]));
    let second = tell(&mut peers, 2, &[(8, 3), (9, 1)]);
    assert_eq!(second, Some(vec![(7, -2), (8, 2), (9, 1)]));
    assert_eq!(tell(&mut peers, 2, &[]), None);
    assert_eq!(peers.running().get(&8), Some(&3));
}
