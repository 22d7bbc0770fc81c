//! Tests of the choice of the serving zone.

use std::time::Duration;

use cardamomroad::{
    route::{
        Candidate,
        Decision,
        Exclusion,
        Reason,
        Request,
        Target,
        VIEW_MAX_AGE,
        choose, //
    },
    util::units::ByteSize, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

const ONE_MB: ByteSize = ByteSize(1_000_000);

fn candidate(zone: &str, free: u32) -> Candidate {
    let region = zone.split('-').next().unwrap();
    let far = region != "bac";
    Candidate {
        zone: zone.parse().unwrap(),
        region: region.parse().unwrap(),
        weight: if zone == "bac-a" { 1000 } else { 0 },
        free,
        age: Duration::from_secs(1),
        spilled: 0,
        spilled_at_report: 0,
        sending_gateways: 2,
        delay: Duration::from_millis(if far { 35 } else { 1 }),
        headroom: far.then_some(ByteSize(10_000_000)),
        drained: false,
        draining: false,
        reachable: true,
    }
}

fn zones(free: [u32; 3]) -> Vec<Candidate> {
    let names = ["bac-a", "bac-b", "nam-a"];
    let pairs = names.iter().zip(free);
    pairs.map(|(z, f)| candidate(z, f)).collect()
}

fn choose_from(zones: &[Candidate], hops: u8) -> Decision {
    let req = Request {
        hops,
        bytes: ONE_MB,
        long_running: false,
    };
    choose(0, zones, req, &mut StdRng::seed_from_u64(5))
}

#[test]
fn own_zone_then_own_region_then_another_region() {
    assert_eq!(choose_from(&zones([1, 9, 9]), 0).reason, Reason::OwnZone);
    let spill = choose_from(&zones([0, 9, 9]), 0);
    assert_eq!(spill.reason, Reason::SpillRegion);
    assert_eq!(spill.to, Target::Zone("bac-b".parse().unwrap()));
    let far = choose_from(&zones([0, 0, 9]), 0);
    assert_eq!(far.reason, Reason::SpillLink);
    assert_eq!(
        choose_from(&zones([0, 0, 0]), 0).reason,
        Reason::NoFreeSlots
    );
}

#[test]
fn a_forwarded_request_never_leaves_its_zone_again() {
    let second = choose_from(&zones([0, 9, 9]), 1);
    assert_eq!(
        (second.to, second.reason),
        (Target::OwnZone, Reason::HopLimit)
    );
}

#[test]
fn spill_is_bounded_by_this_gateways_part_of_the_free_slots() {
    let mut all = zones([0, 8, 0]);
    all[1].spilled = 3;
    assert_eq!(choose_from(&all, 0).reason, Reason::SpillRegion);
    all[1].spilled = 4;
    assert_eq!(choose_from(&all, 0).reason, Reason::NoFreeSlots);
    all[1].spilled_at_report = 1;
    assert_eq!(choose_from(&all, 0).reason, Reason::SpillRegion);
    all[1].free = 0;
    assert_eq!(choose_from(&all, 0).reason, Reason::NoFreeSlots);
    all[1].spilled = 0;
    let again = choose_from(&all, 0).reason;
    assert_eq!(again, Reason::SpillRegion, "what ended may be replaced");
}

#[test]
fn drained_cut_off_stale_and_costly_zones_are_passed_over() {
    type Change = fn(&mut Candidate);
    let changes: [(Change, Exclusion); 4] = [
        (|c| c.drained = true, Exclusion::Drained),
        (|c| c.reachable = false, Exclusion::Unreachable),
        (
            |c| c.age = VIEW_MAX_AGE + Duration::from_millis(1),
            Exclusion::Stale,
        ),
        (|c| c.headroom = Some(ByteSize(10)), Exclusion::Link),
    ];
    for (change, exclusion) in changes {
        let mut all = zones([0, 0, 9]);
        change(&mut all[2]);
        let decision = choose_from(&all, 0);
        assert_eq!(decision.to, Target::NoZone);
        assert_eq!(decision.considered[2].exclusion, Some(exclusion));
        let link = exclusion == Exclusion::Link;
        assert_eq!(decision.reason == Reason::NoLinkHeadroom, link);
    }
}

#[test]
fn the_plan_moves_its_part_and_no_more() {
    let mut all = zones([9, 9, 9]);
    all[0].weight = 700;
    all[2].weight = 300;
    let req = Request {
        hops: 0,
        bytes: ONE_MB,
        long_running: false,
    };
    let mut rng = StdRng::seed_from_u64(5);
    let mut moved = 0;
    for _ in 0..10_000 {
        let decision = choose(0, &all, req, &mut rng);
        moved += u32::from(decision.reason == Reason::Planned);
    }
    assert!((2800..3200).contains(&moved), "{moved} of 10000 moved");
    all[2].drained = true;
    assert_eq!(choose_from(&all, 0).reason, Reason::OwnZone);
}

#[test]
fn long_requests_leave_a_draining_zone_first_and_nothing_spills_into_one() {
    let mut all = zones([9, 9, 9]);
    all[0].draining = true;
    assert_eq!(choose_from(&all, 0).reason, Reason::OwnZone);
    let upload = Request {
        hops: 0,
        bytes: ONE_MB,
        long_running: true,
    };
    let decide = |all: &[Candidate]| choose(0, all, upload, &mut StdRng::seed_from_u64(5));
    let left = decide(&all);
    assert_eq!(left.reason, Reason::LongRequestAvoidsDrain);
    assert_eq!(left.to, Target::Zone("bac-b".parse().unwrap()));
    all[1].draining = true;
    assert_eq!(decide(&all).to, Target::Zone("nam-a".parse().unwrap()));
    all[2].reachable = false;
    assert_eq!(
        decide(&all).reason,
        Reason::OwnZone,
        "served in the draining zone rather than refused"
    );
}
