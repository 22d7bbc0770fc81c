//! Tests of the look-up: longest prefix match, zone order, leaving hosts and shared shards.

use std::{
    net::IpAddr,
    sync::Arc,
    time::Duration, //
};

use cardamomroad::{
    blocks::{
        Blocks,
        Change, //
    },
    config::object::{
        Block,
        ConfigSet,
        Link,
        Region,
        Zone, //
    },
    lookup::{
        Answer,
        Host,
        HostStatus,
        TTL,
        TTL_ZONE_CLOSED,
        Table,
        cached_fraction, //
    },
    plan::Plan,
    util::id::{
        Generation,
        Incarnation,
        Stamp, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

const ZONES: [&str; 4] = ["bac-a", "bac-b", "trung-a", "nam-a"];

fn block(net: &str, near: &str) -> Block {
    Block {
        net: net.parse().unwrap(),
        near: near.split(',').map(|z| z.parse().unwrap()).collect(),
    }
}

fn set(blocks: Vec<Block>) -> ConfigSet {
    let region = |zone: &str| zone.split('-').next().unwrap().parse().unwrap();
    let link = |to: &str, ms| Link {
        name: format!("bac-{to}").parse().unwrap(),
        from: "bac".parse().unwrap(),
        to: to.parse().unwrap(),
        cap: "280Mbit/s".parse().unwrap(),
        delay: Duration::from_millis(ms),
    };
    let zones = ZONES.iter().map(|z| Zone {
        name: z.parse().unwrap(),
        region: region(z),
    });
    let names = ["bac", "trung", "nam"].iter();
    ConfigSet {
        schema: 1,
        regions: names
            .map(|n| Region {
                name: n.parse().unwrap(),
            })
            .collect(),
        zones: zones.collect(),
        links: vec![link("trung", 70), link("nam", 35)],
        blocks,
        ..ConfigSet::default()
    }
}

fn hosts(each: usize) -> Vec<Host> {
    let mut hosts = Vec::new();
    for zone in ZONES {
        for i in 1..=each {
            hosts.push(Host {
                name: format!("{zone}-{i}").parse().unwrap(),
                zone: zone.parse().unwrap(),
                caller_address: "127.0.0.1:8000".parse().unwrap(),
                incarnation: Incarnation(7),
                stamp: Stamp(1),
                status: HostStatus::Live,
                spare_milli: 1000,
            });
        }
    }
    hosts
}

fn table(hosts: &[Host]) -> Table {
    let set = set(vec![
        block("10.0.0.0/8", "bac-b"),
        block("10.1.0.0/16", "nam-a"),
    ]);
    Table::new(Generation(3), &set, &"bac-a".parse().unwrap(), hosts)
}

fn client(text: &str) -> IpAddr {
    text.parse().unwrap()
}

fn names(answer: &Answer) -> Vec<&str> {
    answer.hosts.iter().map(|h| h.host.as_str()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compiled blocks, built at once or by changes, agree with a linear search for
    /// the longest matching prefix.
    #[test]
    fn longest_match_holds(
        nets in proptest::collection::vec((0_u32..64, 0_u8..=32, 0_usize..4), 1..40),
        probes in proptest::collection::vec(0_u32..64, 20),
        cut in 0_usize..40,
    ) {
        let address = |n: u32| std::net::Ipv4Addr::from(n << 26 | n);
        let blocks: Vec<Block> = nets
            .iter()
            .map(|(n, bits, z)| block(&format!("{}/{bits}", address(*n)), ZONES[*z]))
            .collect();
        let cut = cut.min(blocks.len());
        let puts: Vec<Change> = blocks[cut..].iter().cloned().map(Change::Put).collect();
        let compiled = Blocks::new(&blocks[..cut]).with_changes(&puts);
        for n in probes {
            let at = IpAddr::V4(address(n));
            let matching = blocks.iter().filter(|b| b.net.contains(&at));
            let longest = matching.max_by_key(|b| b.net.prefix_len());
            let found = compiled.class_of(at).map(|c| compiled.near(c).to_vec());
            prop_assert_eq!(found, longest.map(|b| b.near.to_vec()));
        }
    }
}

#[test]
fn a_change_copies_its_shard_only() {
    let many = (0..20_000_u32).map(|i| {
        let net = std::net::Ipv4Addr::from(0x0a00_0000 + (i << 8));
        block(&format!("{net}/24"), ZONES[i as usize % 4])
    });
    let old = Blocks::new(&many.collect::<Vec<_>>());
    assert_eq!((old.len(), old.classes()), (20_000, 4));
    let remove = Change::Remove("10.0.7.0/24".parse().unwrap());
    let new = old.with_changes(&[remove]);
    assert_eq!(old.shared_shards(&new), 1023);
    assert_eq!(new.len(), 19_999);
    assert_eq!(new.class_of(client("10.0.7.1")), None);
    assert!(old.class_of(client("10.0.7.1")).is_some());
}

#[test]
fn nearest_zone_first_then_region_then_by_distance() {
    let table = table(&hosts(1));
    let far = table.answer(client("10.2.0.1"), None);
    assert_eq!(names(&far), ["bac-b-1", "bac-a-1", "nam-a-1"]);
    assert_eq!(
        table.answer(client("10.1.0.1"), None).hosts[0]
            .zone
            .as_str(),
        "nam-a"
    );
    let unknown = table.answer(client("192.0.2.1"), None);
    assert_eq!(
        unknown.hosts[0].zone.as_str(),
        "bac-a",
        "the answering host's zone"
    );
}

#[test]
fn callers_of_a_lost_region_spread_over_zones_that_are_equally_far() {
    let mut set = set(vec![block("10.0.0.0/8", "bac-b")]);
    set.links
        .iter_mut()
        .for_each(|l| l.delay = Duration::from_millis(35));
    let mut all = hosts(1);
    all.retain(|h| !h.zone.as_str().starts_with("bac"));
    let table = Table::new(Generation(3), &set, &"bac-a".parse().unwrap(), &all);
    let answer = |i: u32| table.answer(IpAddr::V4(std::net::Ipv4Addr::from(0x0a02_0000 + i)), None);
    let nam = (0..1000).filter(|i| answer(*i).hosts[0].zone.as_str() == "nam-a");
    let nam = nam.count();
    assert!((450..550).contains(&nam), "{nam} of 1000 go to nam-a");
}

#[test]
fn a_leaving_host_is_never_named() {
    let mut all = hosts(2);
    for host in &mut all {
        if host.zone.as_str() != "trung-a" {
            host.status = HostStatus::Leaving;
        }
    }
    let answer = table(&all).answer(client("10.2.0.1"), None);
    assert_eq!(answer.hosts.len(), 2);
    assert!(answer.hosts.iter().all(|h| h.zone.as_str() == "trung-a"));
    all.iter_mut().for_each(|h| h.status = HostStatus::Leaving);
    assert!(
        table(&all)
            .answer(client("10.2.0.1"), None)
            .hosts
            .is_empty()
    );
}

#[test]
fn doubtful_and_full_hosts_come_after_good_ones() {
    let mut all = hosts(3);
    all[3].status = HostStatus::Doubtful;
    all[4].spare_milli = 10;
    for i in 0..50 {
        let answer = table(&all).answer(client(&format!("10.2.0.{i}")), None);
        assert_eq!(answer.hosts[0].host.as_str(), "bac-b-3");
        assert!(answer.hosts[1].weight < answer.hosts[0].weight);
    }
}

#[test]
fn callers_spread_evenly_and_stay() {
    let table = table(&hosts(4));
    let mut counts = [0; 4];
    for i in 0..4000_u32 {
        let at = IpAddr::V4(std::net::Ipv4Addr::from(0x0a02_0000 + i));
        let answer = table.answer(at, None);
        assert_eq!(answer, table.answer(at, None));
        let n: usize = answer.hosts[0].host.as_str()[6..].parse().unwrap();
        counts[n - 1] += 1;
    }
    assert!(counts.iter().all(|c| (900..1100).contains(c)), "{counts:?}");
}

#[test]
fn homes_of_the_organisation_are_preferred() {
    let homes = [(
        "acme".parse().unwrap(),
        ["bac-b-4".parse().unwrap()].into_iter().collect(),
    )];
    let table = table(&hosts(4)).with_homes(Arc::new(homes.into_iter().collect()));
    for i in 0..50 {
        let at = client(&format!("10.2.0.{i}"));
        let answer = table.answer(at, Some(&"acme".parse().unwrap()));
        assert_eq!(answer.hosts[0].host.as_str(), "bac-b-4");
    }
}

#[test]
fn a_closed_zone_is_named_last_and_answers_live_shorter() {
    let open = table(&hosts(1));
    let mut plan = Plan::new("bac".parse().unwrap(), Generation(3), 1);
    plan.closed.push("bac-b".parse().unwrap());
    let closed = open.with_plan(&plan);
    let answer = closed.answer(client("10.2.0.1"), None);
    assert_eq!(names(&answer), ["bac-a-1", "nam-a-1", "trung-a-1"]);
    let ttls = (open.answer(client("10.2.0.1"), None).ttl_ms, answer.ttl_ms);
    assert_eq!(
        ttls,
        (TTL.as_millis() as u64, TTL_ZONE_CLOSED.as_millis() as u64)
    );
}

#[test]
fn answers_given_draw_traffic_beyond_their_time_to_live() {
    let at = |ttls: u32| cached_fraction(TTL * ttls, TTL);
    assert_eq!(at(0), 1.0);
    assert!((0.05..0.1).contains(&at(1)));
    assert_eq!(at(4), 0.0);
}
