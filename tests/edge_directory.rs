//! Look-ups in a zone with large and small hosts, whose callers pick one of the returned hosts at
//! random.

use std::net::SocketAddr;

use cardamomroad::edge::directory::{
    Candidate,
    choose_hosts, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

const CALLERS: u32 = 40_000;

fn hosts(sizes: &[u32]) -> Vec<Candidate> {
    let numbered = (1_u8..).zip(sizes);
    let host = |(n, &millicores)| Candidate {
        address: SocketAddr::from(([10, 0, 0, n], 80)),
        millicores,
    };
    numbered.map(host).collect()
}

/// Returns the fraction of the callers that each host gets.
fn caller_shares(hosts: &[Candidate]) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut got = vec![0_u32; hosts.len()];
    for _ in 0..CALLERS {
        let named = choose_hosts(hosts, &mut rng);
        let picked = named[rng.random_range(0..named.len())];
        let place = hosts.iter().position(|h| h.address == picked);
        got[place.expect("a known host")] += 1;
    }
    let share = |n| f64::from(n) / f64::from(CALLERS);
    got.into_iter().map(share).collect()
}

#[test]
fn work_follows_the_sizes_of_the_hosts() {
    let sizes = [
        500, 100, 500, 100, 500, 100, 500, 100, 500, 100, 500, 100, 500,
    ];
    let hosts = hosts(&sizes);
    let all: u32 = sizes.iter().sum();
    for (share, size) in caller_shares(&hosts).into_iter().zip(sizes) {
        let expected = f64::from(size) / f64::from(all);
        let ratio = share / expected;
        assert!(
            (0.7..=1.3).contains(&ratio),
            "{ratio} of its share at {size} millicores"
        );
    }
}

#[test]
fn hosts_of_one_size_are_all_named() {
    let hosts = hosts(&[200; 11]);
    let mut rng = SmallRng::seed_from_u64(7);
    assert_eq!(choose_hosts(&hosts, &mut rng).len(), 11);
}

#[test]
fn a_caller_always_has_others_to_try() {
    let mut rng = SmallRng::seed_from_u64(7);
    let hosts = hosts(&[500, 1, 1, 1, 1]);
    for _ in 0..100 {
        let mut named = choose_hosts(&hosts, &mut rng);
        named.sort_unstable();
        named.dedup();
        assert!(named.len() >= 3, "{named:?}");
    }
    assert_eq!(choose_hosts(&hosts[..2], &mut rng).len(), 2);
    assert!(choose_hosts(&[], &mut rng).is_empty());
}
