//! Requests that crash their upstreams are refused; harmless requests in flight at the same
//! time are not.

use std::net::SocketAddr;

use cardamomroad::{
    quarantine::{
        Admission,
        DEATHS_TO_REFUSE,
        Mark,
        Quarantine,
        REFUSAL_FIRST,
        SAME_DEATH_WINDOW,
        SUSPECT_TTL,
        SUSPECTS_MAX,
        Suspect,
        SuspectEntry,
        UpstreamStart, //
    },
    util::id::OrganisationName,
};
use proptest::{
    prelude::*,
    test_runner::{
        RngSeed,
        TestRunner, //
    },
};
use smallvec::SmallVec;
use tokio::time::{
    Duration,
    Instant, //
};

const CRASHING_REQUEST: Suspect = Suspect(1);
const HARMLESS_REQUEST: Suspect = Suspect(2);
const SECOND: Duration = Duration::from_secs(1);

fn upstream(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

fn send_entries(now: Instant, from: &mut Quarantine, to: &mut Quarantine) {
    to.merge(now, &from.entries(now, usize::MAX));
}

/// The caller repeats a crashing request through every host. Each host sends its entries to
/// the others after a crash.
#[test]
fn a_killer_is_refused_everywhere_after_few_deaths() {
    let t0 = Instant::now();
    let mut hosts: Vec<_> = (0..12).map(|_| Quarantine::new()).collect();
    let mut crashes = 0;
    for turn in 0..60_u16 {
        let now = t0 + SECOND * u32::from(turn);
        let i = usize::from(turn % 12);
        if hosts[i].admit(now, CRASHING_REQUEST, upstream(turn)) == Admission::Refused {
            continue;
        }
        crashes += 1;
        hosts[i].on_death(now, upstream(turn), &[CRASHING_REQUEST]);
        hosts[i].end_alone(upstream(turn));
        let entries = hosts[i].entries(now, 4);
        hosts.iter_mut().for_each(|h| h.merge(now, &entries));
    }
    assert_eq!(crashes, DEATHS_TO_REFUSE);
    let now = t0 + SECOND * 60;
    assert!(hosts.iter().all(|h| h.is_refused(now, CRASHING_REQUEST)));
    assert!(!hosts[0].is_refused(t0 + SECOND * 2 + SUSPECT_TTL, CRASHING_REQUEST));
}

#[test]
fn one_upstreams_death_refuses_no_request() {
    let now = Instant::now();
    let mut host = Quarantine::new();
    let in_flight: Vec<_> = (0..400).map(Suspect).collect();
    // The connections to the upstream fail one by one, and one request is in flight on many
    // of them.
    for suspect in &in_flight {
        host.on_death(now, upstream(1), &[*suspect, HARMLESS_REQUEST]);
    }
    for suspect in in_flight {
        assert_eq!(host.deaths(now, suspect), 1, "{suspect:?}");
    }
}

#[test]
fn a_death_that_several_hosts_report_counts_once() {
    let now = Instant::now();
    let mut hosts: Vec<_> = (0..5).map(|_| Quarantine::new()).collect();
    for host in &mut hosts {
        host.on_death(now, upstream(1), &[HARMLESS_REQUEST]);
    }
    let mut all = Quarantine::new();
    for _ in 0..3 {
        hosts
            .iter_mut()
            .for_each(|h| send_entries(now, h, &mut all));
    }
    assert_eq!(all.deaths(now, HARMLESS_REQUEST), 1);
    // A later crash of the restarted upstream counts as a second death.
    let later = now + SAME_DEATH_WINDOW;
    hosts[0].on_death(later, upstream(1), &[HARMLESS_REQUEST]);
    send_entries(later, &mut hosts[0], &mut all);
    assert_eq!(all.deaths(later, HARMLESS_REQUEST), 2);
}

/// Guards against refusing a harmless request that is so frequent that it is in flight at
/// every crash.
#[test]
fn an_innocent_request_beside_every_death_is_cleared_by_its_answers() {
    let t0 = Instant::now();
    let mut host = Quarantine::new();
    for n in 0..10_u16 {
        let now = t0 + SECOND * 5 * u32::from(n);
        host.on_death(now, upstream(n), &[HARMLESS_REQUEST, CRASHING_REQUEST]);
        assert!(!host.is_refused(now, HARMLESS_REQUEST));
        host.on_answer(now, HARMLESS_REQUEST);
        assert_eq!(
            host.admit(now, HARMLESS_REQUEST, upstream(50)),
            Admission::Run
        );
    }
    assert!(host.is_refused(t0 + SECOND * 50, CRASHING_REQUEST));
}

#[test]
fn a_clearing_answer_reaches_the_other_hosts() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::new(), Quarantine::new());
    a.on_death(now, upstream(1), &[HARMLESS_REQUEST]);
    send_entries(now, &mut a, &mut b);
    assert_eq!(b.deaths(now, HARMLESS_REQUEST), 1);
    b.on_answer(now, HARMLESS_REQUEST);
    send_entries(now, &mut b, &mut a);
    assert_eq!(a.deaths(now, HARMLESS_REQUEST), 0);
    // An entry from before the answer does not undo the forgiveness.
    let mut old = Quarantine::new();
    old.on_death(now, upstream(1), &[HARMLESS_REQUEST]);
    send_entries(now, &mut a, &mut old);
    send_entries(now, &mut old, &mut a);
    assert!(a.deaths(now, HARMLESS_REQUEST) <= 1);
}

#[test]
fn two_suspects_never_run_on_one_upstream() {
    let now = Instant::now();
    let mut host = Quarantine::new();
    host.on_death(now, upstream(1), &[CRASHING_REQUEST, HARMLESS_REQUEST]);
    assert_eq!(
        host.admit(now, CRASHING_REQUEST, upstream(2)),
        Admission::Alone
    );
    assert_eq!(
        host.admit(now, HARMLESS_REQUEST, upstream(2)),
        Admission::Busy
    );
    assert_eq!(
        host.admit(now, CRASHING_REQUEST, upstream(2)),
        Admission::Busy
    );
    assert_eq!(
        host.admit(now, HARMLESS_REQUEST, upstream(3)),
        Admission::Alone
    );
    assert_eq!(host.admit(now, Suspect(3), upstream(2)), Admission::Run);
    host.end_alone(upstream(2));
    assert_eq!(
        host.admit(now, HARMLESS_REQUEST, upstream(2)),
        Admission::Alone
    );
}

/// Guards against hosts that keep an expired suspect alive by exchanging its entry.
#[test]
fn what_lapsed_does_not_come_back() {
    let t0 = Instant::now();
    let (mut a, mut b) = (Quarantine::new(), Quarantine::new());
    for n in 0..3 {
        a.on_death(t0, upstream(n), &[CRASHING_REQUEST]);
    }
    let mut now = t0 + Duration::from_millis(350);
    while now < t0 + SUSPECT_TTL * 2 {
        let (at_a, at_b) = (a.entries(now, 9), b.entries(now, 9));
        a.merge(now, &at_b);
        b.merge(now, &at_a);
        now += Duration::from_millis(130);
    }
    assert!(!a.is_refused(now, CRASHING_REQUEST) && !b.is_refused(now, CRASHING_REQUEST));
    a.tick(now);
    assert_eq!(a.summary().count, 0);
    let entry = SuspectEntry {
        suspect: CRASHING_REQUEST,
        age_seconds: u16::try_from(SUSPECT_TTL.as_secs()).expect("seconds"),
        marks: SmallVec::from_slice(&[Mark {
            upstream: upstream(1).into(),
            deaths: 9,
            forgiven: 0,
        }]),
    };
    a.merge(now, &[entry]);
    assert_eq!(a.summary().count, 0);
}

#[test]
fn the_table_is_bounded_and_keeps_the_refused() {
    let now = Instant::now();
    let mut host = Quarantine::new();
    for n in 0..3 {
        host.on_death(now, upstream(n), &[CRASHING_REQUEST]);
    }
    let count = u128::try_from(SUSPECTS_MAX).expect("count");
    for n in 0..count * 2 {
        host.on_death(now + SECOND, upstream(9), &[Suspect(1_000 + n)]);
    }
    assert_eq!(usize::try_from(host.summary().count), Ok(SUSPECTS_MAX));
    assert!(host.is_refused(now, CRASHING_REQUEST));
    // A table full of refused suspects accepts no others.
    for n in 0..count * 2 {
        for at in 10..13 {
            host.on_death(now + SECOND, upstream(at), &[Suspect(10_000 + n)]);
        }
    }
    let refused = (0..count - 1).filter(|n| host.is_refused(now, Suspect(10_000 + n)));
    assert_eq!(refused.count(), SUSPECTS_MAX - 1);
    assert!(host.is_refused(now, CRASHING_REQUEST));
}

#[test]
fn the_fingerprint_keeps_requests_apart() {
    let thanh: OrganisationName = "thanh".parse().expect("name");
    let sky: OrganisationName = "skyglass".parse().expect("name");
    let base = Suspect::of(Some(&thanh), "POST", "/a?b", Some(4), b"body");
    assert_eq!(
        base,
        Suspect::of(Some(&thanh), "POST", "/a?b", Some(4), b"body")
    );
    for other in [
        Suspect::of(Some(&sky), "POST", "/a?b", Some(4), b"body"),
        Suspect::of(None, "POST", "/a?b", Some(4), b"body"),
        Suspect::of(Some(&thanh), "PUT", "/a?b", Some(4), b"body"),
        Suspect::of(Some(&thanh), "POST", "/a?c", Some(4), b"body"),
        Suspect::of(Some(&thanh), "POST", "/a?b", None, b"body"),
        Suspect::of(Some(&thanh), "POST", "/a?b", Some(4), b"bodx"),
        Suspect::of(Some(&thanh), "POST", "/a?bb", Some(4), b"ody"),
    ] {
        assert_ne!(base, other);
    }
}

#[derive(Clone, Debug)]
enum Event {
    Death {
        host: usize,
        upstream: u16,
        suspect: u128,
    },
    Answer {
        host: usize,
        suspect: u128,
    },
    Pass {
        from: usize,
        to: usize,
    },
}

/// Once all hosts have merged the entries of all others, in any order, they have equal
/// counts, and no count exceeds the number of deaths that occurred.
#[test]
fn merging_converges_and_never_counts_too_many() {
    let config = ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let event = prop_oneof![
        (0..4_usize, 0..3_u16, 0..3_u128).prop_map(|(host, upstream, suspect)| Event::Death {
            host,
            upstream,
            suspect
        }),
        (0..4_usize, 0..3_u128).prop_map(|(host, suspect)| Event::Answer { host, suspect }),
        (0..4_usize, 0..4_usize).prop_map(|(from, to)| Event::Pass { from, to }),
    ];
    let histories = proptest::collection::vec(event, 1..60);
    let run = TestRunner::new(config).run(&histories, |events| {
        let t0 = Instant::now();
        let mut hosts: Vec<_> = (0..4).map(|_| Quarantine::new()).collect();
        let mut deaths = [0_u32; 3];
        for (n, event) in (0..).zip(events) {
            let now = t0 + SAME_DEATH_WINDOW * n;
            match event {
                Event::Death {
                    host,
                    upstream: u,
                    suspect,
                } => {
                    hosts[host].on_death(now, upstream(u), &[Suspect(suspect)]);
                    deaths[usize::try_from(suspect).expect("small")] += 1;
                }
                Event::Answer { host, suspect } => hosts[host].on_answer(now, Suspect(suspect)),
                Event::Pass { from, to } => {
                    let entries = hosts[from].entries(now, 9);
                    hosts[to].merge(now, &entries);
                }
            }
        }
        let now = t0 + SAME_DEATH_WINDOW * 60;
        let all: Vec<SuspectEntry> = hosts.iter_mut().flat_map(|h| h.entries(now, 9)).collect();
        for host in &mut hosts {
            host.merge(now, &all);
            host.merge(now, &all);
        }
        for (suspect, most) in (0..).zip(deaths) {
            let counts: Vec<_> = hosts
                .iter()
                .map(|h| h.deaths(now, Suspect(suspect)))
                .collect();
            prop_assert!(
                counts.iter().all(|c| *c == counts[0] && *c <= most),
                "{counts:?}"
            );
        }
        let first = hosts[0].summary();
        prop_assert!(hosts.iter().all(|h| h.summary() == first));
        Ok(())
    });
    run.expect("all hosts have equal counts");
}

/// A crashing request comes at one host after the other and crashes two upstreams by turns, each of
/// which is back at its address before the next crash. The deaths at one address were not added up
/// if different hosts had seen them, so that the request was never refused.
#[test]
fn crashes_of_one_address_that_different_hosts_see_add_up() {
    let t0 = Instant::now();
    let mut hosts = vec![Quarantine::new(); 10];
    let mut crashes = 0;
    for turn in 0..20_usize {
        let now = t0 + Duration::from_millis(4500) * u32::try_from(turn).expect("small");
        if hosts[turn % 10].is_refused(now, CRASHING_REQUEST) {
            break;
        }
        crashes += 1;
        let address = upstream(u16::try_from(turn % 2).expect("small"));
        hosts[turn % 10].on_death(now, address, &[CRASHING_REQUEST]);
        let entries = hosts[turn % 10].entries(now, 8);
        hosts.iter_mut().for_each(|h| h.merge(now, &entries));
    }
    assert_eq!(crashes, DEATHS_TO_REFUSE);
}

/// The same with upstreams whose starts can be told apart: each start counts, however soon after
/// the last one it crashes, and a crash that two hosts see counts once.
#[test]
fn each_start_of_an_upstream_dies_once() {
    let now = Instant::now();
    let mut hosts = vec![Quarantine::new(); 3];
    let start = |n: u64| UpstreamStart {
        address: upstream(1),
        start: n,
    };
    for n in 1..=DEATHS_TO_REFUSE {
        for host in &mut hosts {
            assert_eq!(host.deaths(now, CRASHING_REQUEST), n - 1);
        }
        hosts[0].on_death(now, start(n.into()), &[CRASHING_REQUEST]);
        hosts[1].on_death(now, start(n.into()), &[CRASHING_REQUEST]);
        let all: Vec<_> = hosts.iter_mut().flat_map(|h| h.entries(now, 9)).collect();
        hosts.iter_mut().for_each(|h| h.merge(now, &all));
    }
    assert!(hosts.iter().all(|h| h.is_refused(now, CRASHING_REQUEST)));
}

/// Each crash takes many other requests along, so that a message holds only some of the suspects.
/// If these were always the same ones, no host would learn of the others.
#[test]
fn many_suspects_of_one_crash_hide_none() {
    let t0 = Instant::now();
    let mut hosts = vec![Quarantine::new(); 10];
    let mut crashes = 0;
    for turn in 0..10_u32 {
        let now = t0 + Duration::from_millis(4500) * turn;
        let own = usize::try_from(turn).expect("small");
        if hosts[own].is_refused(now, CRASHING_REQUEST) {
            break;
        }
        crashes += 1;
        let others = (0..60).map(|n| Suspect(u128::from(turn) * 1000 + n));
        let in_flight: Vec<_> = others.chain([CRASHING_REQUEST]).collect();
        hosts[own].on_death(
            now,
            upstream(u16::try_from(turn).expect("small")),
            &in_flight,
        );
        // All hosts send a message in each of 15 rounds before the request comes again.
        for _ in 0..15 {
            for from in 0..hosts.len() {
                let entries = hosts[from].entries(now, 16);
                hosts.iter_mut().for_each(|h| h.merge(now, &entries));
            }
        }
    }
    assert_eq!(crashes, DEATHS_TO_REFUSE);
}

/// A refused request may have been harmless, and cannot prove it while it is refused. It may run
/// again after a while, which doubles if another upstream dies.
#[test]
fn a_refusal_ends_and_doubles_with_each_further_death() {
    let t0 = Instant::now();
    let mut host = Quarantine::new();
    for n in 0..3 {
        host.on_death(t0, upstream(n), &[CRASHING_REQUEST]);
    }
    let ms = Duration::from_millis(1);
    let end = t0 + REFUSAL_FIRST;
    assert_eq!(host.refused_for(t0, CRASHING_REQUEST), Some(REFUSAL_FIRST));
    assert!(host.is_refused(end - ms, CRASHING_REQUEST));
    assert!(!host.is_refused(end, CRASHING_REQUEST));
    host.on_death(end, upstream(3), &[CRASHING_REQUEST]);
    assert!(host.is_refused(end + REFUSAL_FIRST * 2 - ms, CRASHING_REQUEST));
    assert!(!host.is_refused(end + REFUSAL_FIRST * 2, CRASHING_REQUEST));
    host.on_answer(t0, CRASHING_REQUEST);
    assert!(!host.is_refused(end, CRASHING_REQUEST));
}

/// A request is in flight at many upstreams at once, some of which die for other reasons. Each of
/// the deaths is forgiven once, and the table has room for later ones.
#[test]
fn forgiven_deaths_leave_room_for_later_ones() {
    let t0 = Instant::now();
    let mut host = Quarantine::new();
    for n in 0..100_u16 {
        host.on_death(t0, upstream(n), &[CRASHING_REQUEST]);
        host.on_answer(t0, CRASHING_REQUEST);
    }
    for n in 100..103_u16 {
        let now = t0 + SAME_DEATH_WINDOW * u32::from(n - 99);
        assert!(!host.is_refused(now, CRASHING_REQUEST));
        host.on_death(now, upstream(n), &[CRASHING_REQUEST]);
    }
    assert!(host.is_refused(t0 + SAME_DEATH_WINDOW * 3, CRASHING_REQUEST));
}

/// A whole zone fails while all of its upstreams run requests of one kind. That kind has been
/// answered before, so the simultaneous deaths count as one; a request that was never answered is
/// refused after the same deaths, and so is one that goes on to crash upstreams.
#[test]
fn simultaneous_deaths_refuse_only_what_was_never_answered() {
    let t0 = Instant::now();
    let mut host = Quarantine::new();
    host.on_answer(t0, HARMLESS_REQUEST);
    for n in 0..10_u16 {
        let now = t0 + Duration::from_millis(100) * u32::from(n);
        host.on_death(now, upstream(n), &[HARMLESS_REQUEST, CRASHING_REQUEST]);
    }
    assert!(host.is_refused(t0 + SECOND, CRASHING_REQUEST));
    assert!(!host.is_refused(t0 + SECOND, HARMLESS_REQUEST));
    for n in 1..=2_u16 {
        let now = t0 + SAME_DEATH_WINDOW * u32::from(n);
        assert!(!host.is_refused(now, HARMLESS_REQUEST));
        host.on_death(now, upstream(20 + n), &[HARMLESS_REQUEST]);
    }
    assert!(host.is_refused(t0 + SAME_DEATH_WINDOW * 2, HARMLESS_REQUEST));
}

/// Fails where all hosts admit a crashing request at the same moment after its refusal, or one host
/// admits it several times at once: each host's own trial then crashes another upstream.
#[test]
fn hosts_take_turns_to_try_a_request_after_its_refusal() {
    let t0 = Instant::now();
    let names: Vec<u64> = (0..12).collect();
    let mut hosts: Vec<Quarantine> = Vec::new();
    for own in &names {
        let mut host = Quarantine::new();
        let others = names.iter().copied().filter(|n| n != own);
        host.set_hosts(*own, others.collect());
        hosts.push(host);
    }
    for n in 0..3 {
        hosts[0].on_death(t0, upstream(n), &[CRASHING_REQUEST]);
    }
    let entries = hosts[0].entries(t0, usize::MAX);
    for host in &mut hosts {
        host.merge(t0, &entries);
    }
    let mut crashes = 0;
    // It comes to every host twice in 0.2 s; a crash becomes known everywhere 3 s later.
    let mut news: Vec<(Instant, Vec<SuspectEntry>)> = Vec::new();
    for step in 0..5 * 300_u32 {
        let now = t0 + Duration::from_millis(200) * step;
        for (at, entries) in &news {
            if *at == now {
                hosts.iter_mut().for_each(|h| h.merge(now, entries));
            }
        }
        for host in &mut hosts {
            let admitted = (0..2).filter(|_| {
                !host.is_refused(now, CRASHING_REQUEST) && {
                    host.record_run(now, CRASHING_REQUEST);
                    true
                }
            });
            let admitted = admitted.count();
            crashes += admitted;
            for _ in 0..admitted {
                host.on_death(now, upstream(100 + crashes as u16), &[CRASHING_REQUEST]);
                news.push((now + 3 * SECOND, host.entries(now, usize::MAX)));
            }
        }
    }
    // After 60 s, and 120 s after that.
    assert_eq!(crashes, 2, "in five minutes");
}
