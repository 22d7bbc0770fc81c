//! Tests of membership: incarnations, suspicion, the platform's list and pauses.

use std::net::SocketAddr;

use cardamomroad::{
    membership::{
        Claim,
        Contact,
        FORGET_AFTER,
        GONE_TIMEOUT,
        Gossip,
        HEARTBEAT_PERIOD,
        Heartbeat,
        Membership,
        PAUSE_THRESHOLD,
        PeerState,
        Probe,
        RECENTLY_HEARD,
        SUSPECT_TIMEOUT,
        new_incarnation, //
    },
    store::{
        ListedHost,
        ListedState, //
    },
    util::id::{
        HostName,
        Incarnation,
        Stamp, //
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

fn name(n: u16) -> HostName {
    format!("host-{n}").parse().expect("host")
}

fn contact(n: u16) -> Contact {
    Contact {
        zone: format!("zone-{}", n / 2).parse().expect("zone"),
        callers: SocketAddr::from(([127, 0, 0, 1], 8_000 + n)),
        peers: SocketAddr::from(([127, 0, 0, 1], 9_000 + n)),
    }
}

fn member(n: u16, now: Instant) -> Membership {
    Membership::new(name(n), contact(n), Incarnation(100), now)
}

fn listed(hosts: &[u16]) -> Vec<ListedHost> {
    let host = |n: &u16| ListedHost {
        name: name(*n),
        zone: contact(*n).zone,
        callers: contact(*n).callers,
        peers: contact(*n).peers,
        state: ListedState::Live,
    };
    hosts.iter().map(host).collect()
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(21)
}

/// Sends a heartbeat from one host to another and returns the reply to the sender.
fn exchange(now: Instant, from: &mut Membership, to: &mut Membership, to_name: u16) {
    let mut rng = SmallRng::seed_from_u64(from.stamp(now).0);
    let heartbeat = from.heartbeat(now, &name(to_name), &mut rng);
    let reply = to.on_heartbeat(now, &heartbeat, &mut rng);
    from.on_reply(now, &reply);
}

fn gossip(n: u16, incarnation: u64, stamp: u64, claim: Claim) -> Gossip {
    Gossip {
        host: name(n),
        incarnation: Incarnation(incarnation),
        stamp: Stamp(stamp),
        age_seconds: 0,
        claim,
        contact: None,
    }
}

/// Delivers gossip to `to` in a heartbeat of host 9.
fn send_gossip(now: Instant, to: &mut Membership, g: Gossip) -> Heartbeat {
    let mut heartbeat = member(9, now).heartbeat(now, &name(0), &mut rng());
    heartbeat.gossip.push(g);
    to.on_heartbeat(now, &heartbeat, &mut rng())
}

#[test]
fn at_todays_size_every_host_knows_all() {
    let now = Instant::now();
    let all: Vec<u16> = (0..12).collect();
    let mut me = member(0, now);
    me.on_list(now, &listed(&all));
    assert_eq!(me.peers().count(), 11);
    assert_eq!(me.zone_hosts(&contact(0).zone).count(), 1);
    // Without the store, the host gets them from its seed host.
    let (mut seed, mut newcomer) = (member(1, now), member(0, now));
    seed.on_list(now, &listed(&all));
    for n in 2..12 {
        exchange(now, &mut member(n, now), &mut seed, 1);
    }
    // The seed has used up its repeats of all changes before the newcomer joins.
    for second in 0..100 {
        exchange(
            now + HEARTBEAT_PERIOD * second,
            &mut member(2, now),
            &mut seed,
            1,
        );
    }
    for second in 0..20 {
        exchange(now + HEARTBEAT_PERIOD * second, &mut newcomer, &mut seed, 1);
    }
    assert_eq!(newcomer.peers().count(), 11);
}

#[test]
fn the_larger_incarnation_wins_and_the_smaller_one_learns_it() {
    let now = Instant::now();
    let mut me = member(0, now);
    let mut old = member(1, now);
    exchange(now, &mut old, &mut me, 0);
    assert!(!old.superseded());
    let mut new = Membership::new(name(1), contact(1), Incarnation(101), now);
    exchange(now, &mut new, &mut me, 0);
    exchange(now + HEARTBEAT_PERIOD, &mut old, &mut me, 0);
    assert_eq!(
        me.peer(&name(1)).expect("peer").incarnation,
        Incarnation(101)
    );
    assert!(me.is_gone(now, &name(1), Incarnation(100)));
    assert!(!me.is_gone(now, &name(1), Incarnation(101)));
    assert!(old.superseded() && !new.superseded());
    send_gossip(now, &mut me, gossip(1, 100, 99, Claim::Leaving));
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Live));
    assert!(new.is_gone(now, &name(1), Incarnation(100)));
}

#[test]
fn a_superseded_process_learns_it_in_a_large_zone_too() {
    let now = Instant::now();
    let mut me = member(0, now);
    let mut new = Membership::new(name(1), contact(1), Incarnation(101), now);
    exchange(now, &mut new, &mut me, 0);
    for n in 2..200 {
        exchange(now, &mut member(n, now), &mut me, 0);
    }
    for second in 0..600 {
        me.heartbeat(now + HEARTBEAT_PERIOD * second, &name(2), &mut rng());
    }
    let mut old = member(1, now);
    exchange(now, &mut old, &mut me, 0);
    assert!(old.superseded());
}

#[test]
fn a_later_stamp_refutes_a_suspicion_and_an_earlier_one_does_not() {
    let t0 = Instant::now();
    let (mut me, mut other) = (member(0, t0), member(1, t0));
    exchange(t0, &mut other, &mut me, 0);
    let now = t0 + RECENTLY_HEARD;
    send_gossip(now, &mut me, gossip(1, 100, 0, Claim::Suspect));
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Suspect));
    send_gossip(now, &mut me, gossip(1, 100, 0, Claim::Live));
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Suspect));
    send_gossip(now, &mut me, gossip(1, 100, 1, Claim::Live));
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Live));
    let now = now + RECENTLY_HEARD;
    send_gossip(now, &mut me, gossip(1, 100, 0, Claim::Suspect));
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Live));
}

#[test]
fn a_host_is_suspected_only_after_direct_and_indirect_probes() {
    let now = Instant::now();
    let mut me = member(0, now);
    me.on_list(now, &listed(&[1, 2, 3]));
    me.on_probe_timeout(now, &name(1));
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Live));
    let probes = me.probes(now, &mut rng());
    let via = probes
        .iter()
        .filter(|p| matches!(p, Probe::Indirect { target, .. } if *target == name(1)));
    assert_eq!(via.count(), 2);
    me.on_indirect_result(now, &name(1), None);
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Live));
    me.on_indirect_result(now, &name(1), None);
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Suspect));
    let later = now + SUSPECT_TIMEOUT;
    assert_eq!(me.state(later, &name(1)), Some(PeerState::Unreachable));

    me.on_probe_timeout(now, &name(2));
    me.probes(now, &mut rng());
    me.on_indirect_result(now, &name(2), Some(&gossip(2, 100, 1, Claim::Live)));
    me.on_indirect_result(now, &name(2), None);
    assert_eq!(me.state(now, &name(2)), Some(PeerState::Live));
}

#[test]
fn silence_alone_never_makes_a_host_gone() {
    let t0 = Instant::now();
    let (mut me, mut other) = (member(0, t0), member(1, t0));
    exchange(t0, &mut other, &mut me, 0);
    let long = t0 + Duration::from_secs(3_600);
    for second in 0..3_600 {
        me.tick(t0 + HEARTBEAT_PERIOD * second);
    }
    me.on_probe_timeout(long, &name(1));
    // Before any list, and then with a list that names the host.
    assert_eq!(me.state(long, &name(1)), Some(PeerState::Suspect));
    me.on_list(long, &listed(&[0, 1]));
    let later = long + SUSPECT_TIMEOUT;
    assert_eq!(me.state(later, &name(1)), Some(PeerState::Unreachable));
    assert!(!me.is_gone(later, &name(1), Incarnation(100)));
    let end = later + GONE_TIMEOUT;
    let mut other_list = me.clone();
    for second in 0..GONE_TIMEOUT.as_secs() {
        other_list.tick(later + Duration::from_secs(second));
    }
    assert!(!other_list.is_gone(end, &name(1), Incarnation(100)));
    // The list no longer names the host, but its probes have not gone unanswered for
    // long enough.
    me.on_list(later, &listed(&[0]));
    assert!(!me.is_gone(later, &name(1), Incarnation(100)));
    for second in 0..=GONE_TIMEOUT.as_secs() {
        me.tick(long + Duration::from_secs(second));
    }
    assert!(me.is_gone(long + GONE_TIMEOUT, &name(1), Incarnation(100)));
}

#[test]
fn absence_from_the_list_alone_never_makes_a_host_gone() {
    let t0 = Instant::now();
    let (mut me, mut other) = (member(0, t0), member(1, t0));
    for second in 0..600 {
        let now = t0 + HEARTBEAT_PERIOD * second;
        me.tick(now);
        exchange(now, &mut other, &mut me, 0);
        me.on_list(now, &listed(&[0]));
        assert_eq!(me.state(now, &name(1)), Some(PeerState::Live));
    }
    // Without a probe, a host that sends nothing may still be running.
    let probed = t0 + HEARTBEAT_PERIOD * 900;
    for second in 600..=900 {
        me.tick(t0 + HEARTBEAT_PERIOD * second);
    }
    assert!(!me.is_gone(probed, &name(1), Incarnation(100)));
    let probes = me.probes(probed, &mut rng());
    assert!(matches!(&probes[0], Probe::Direct { to, .. } if *to == name(1)));
    me.on_probe_timeout(probed, &name(1));
    let mut now = probed;
    while now < probed + GONE_TIMEOUT - HEARTBEAT_PERIOD {
        now += HEARTBEAT_PERIOD;
        me.tick(now);
        assert!(!me.is_gone(now, &name(1), Incarnation(100)));
    }
    now += HEARTBEAT_PERIOD;
    assert!(me.is_gone(now, &name(1), Incarnation(100)));
    me.tick(now);
    assert!(me.peer(&name(1)).is_some());
    me.tick(now + PAUSE_THRESHOLD);
    me.tick(now + FORGET_AFTER);
    assert!(me.peer(&name(1)).is_some());
    for second in 0..=(GONE_TIMEOUT + FORGET_AFTER).as_secs() {
        me.tick(now + FORGET_AFTER + Duration::from_secs(second));
    }
    assert!(me.peer(&name(1)).is_none());
}

#[test]
fn a_host_that_the_list_dropped_is_probed_first() {
    let now = Instant::now();
    let mut me = member(0, now);
    me.on_list(now, &listed(&(1..12).collect::<Vec<_>>()));
    me.on_list(now, &listed(&[1, 2, 3, 4, 5, 6, 8, 9, 10, 11]));
    for _ in 0..3 {
        let probes = me.probes(now, &mut rng());
        assert!(matches!(&probes[0], Probe::Direct { to, .. } if *to == name(7)));
    }
}

/// A suspended process receives nothing, so after it resumes, the time that it was
/// suspended must not count as silence of the other hosts.
#[test]
fn a_pause_of_this_process_makes_nobody_gone() {
    let t0 = Instant::now();
    let (mut me, mut other) = (member(0, t0), member(1, t0));
    exchange(t0, &mut other, &mut me, 0);
    me.on_list(t0, &listed(&[0]));
    me.on_probe_timeout(t0, &name(1));
    me.tick(t0);
    let resumed = t0 + GONE_TIMEOUT * 2;
    assert!(!me.is_gone(resumed, &name(1), Incarnation(100)));
    me.tick(resumed);
    assert!(!me.is_gone(resumed, &name(1), Incarnation(100)));
}

#[test]
fn a_leaving_host_says_so_and_the_list_may_too() {
    let now = Instant::now();
    let (mut me, mut other) = (member(0, now), member(1, now));
    other.leave();
    exchange(now, &mut other, &mut me, 0);
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Leaving));
    send_gossip(now, &mut me, gossip(1, 100, 5, Claim::Live));
    assert_eq!(me.state(now, &name(1)), Some(PeerState::Leaving));
    let mut list = listed(&[0, 2]);
    list[0].state = ListedState::Leaving;
    list[1].state = ListedState::Leaving;
    me.on_list(now, &list);
    assert_eq!(me.state(now, &name(2)), Some(PeerState::Leaving));
    assert!(me.listed_leaving());
}

#[test]
fn later_processes_have_larger_incarnations() {
    assert!(new_incarnation(1_700_000_000_001, 0) > new_incarnation(1_700_000_000_000, u16::MAX));
    assert_ne!(new_incarnation(7, 1), new_incarnation(7, 2));
}
