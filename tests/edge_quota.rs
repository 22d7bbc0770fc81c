//! Hosts that share a rate limit never admit more requests than it permits.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use cardamomroad::{
    edge::{
        model::Rate,
        quota::{
            Debit,
            QuotaHosts,
            Quotas, //
        },
    },
    util::id::{
        HostName,
        OrganisationName,
        ZoneName, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time::Instant;

const HOSTS: usize = 11;
const RATE: Rate = Rate {
    per_second: 100.0,
    burst: 100.0,
};
/// Window of the limit: any window admits at most rate x window + burst.
const WINDOW: Duration = Duration::from_secs(5);

fn organisation() -> OrganisationName {
    "stations".parse().expect("organisation")
}

fn host(n: usize) -> HostName {
    format!("host-{n}").parse().expect("host")
}

/// Returns the zone of a host. Each region has two zones.
fn zone_of(n: usize) -> ZoneName {
    format!("zone-{}", n / 2).parse().expect("zone")
}

/// Returns the hosts by zone: two in each zone, one in the last.
fn zones() -> BTreeMap<ZoneName, Vec<HostName>> {
    let mut zones: BTreeMap<ZoneName, Vec<HostName>> = BTreeMap::new();
    for n in 0..HOSTS {
        zones.entry(zone_of(n)).or_default().push(host(n));
    }
    zones
}

fn fleet(now: Instant) -> Vec<Quotas> {
    let mut hosts = Vec::new();
    for n in 0..HOSTS {
        let mut quotas = Quotas::default();
        quotas.configure(now, [(&organisation(), Some(RATE))].into_iter());
        let region = BTreeSet::from([zone_of(n - n % 4), zone_of(n - n % 4 + 2)]);
        let quota_hosts = QuotaHosts::new(host(n), zone_of(n), region, zones());
        quotas.set_quota_hosts(now, quota_hosts);
        hosts.push(quotas);
    }
    hosts
}

/// Runs a load for 20 s; returns the start times of the admitted requests, in milliseconds, and the
/// number of refused ones. A message is lost with probability `loss`.
fn run(arrive: impl Fn(u64, &mut SmallRng) -> Vec<usize>, loss: f64) -> (Vec<u64>, usize) {
    let t0 = Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut hosts = fleet(t0);
    let (mut ran, mut refused) = (Vec::new(), 0);
    for ms in 0..20_000 {
        let now = t0 + Duration::from_millis(ms);
        let mut waiting = [0; HOSTS];
        for host in arrive(ms, &mut rng) {
            hosts[host].record_arrival(now, &organisation());
            match hosts[host].debit(now, &organisation()) {
                Debit::Paid => ran.push(ms),
                Debit::Pending | Debit::Exhausted => waiting[host] += 1,
            }
        }
        for i in 0..HOSTS {
            let unpaid = HashMap::from([(organisation(), waiting[i])]);
            for loan in hosts[i].loan_requests(now, &unpaid) {
                for lenders in &loan.lenders {
                    let Some(lender) = lenders.first() else {
                        continue;
                    };
                    if rng.random::<f64>() < loss {
                        continue;
                    }
                    let lender = (0..HOSTS).find(|n| host(*n) == *lender).expect("a host");
                    let granted =
                        hosts[lender].lend(now, &loan.organisation, loan.amount, &host(i));
                    if rng.random::<f64>() >= loss {
                        hosts[i].add_borrowed(now, &loan.organisation, granted);
                    }
                }
            }
            // Waiting requests get a second attempt.
            for _ in 0..waiting[i] {
                match hosts[i].debit(now, &organisation()) {
                    Debit::Paid => ran.push(ms),
                    Debit::Pending | Debit::Exhausted => refused += 1,
                }
            }
        }
    }
    (ran, refused)
}

fn most_in_a_window(ran: &[u64]) -> usize {
    let window = WINDOW.as_millis() as u64;
    let count = |start: &u64| {
        ran.iter()
            .filter(|t| (*start..start + window).contains(*t))
            .count()
    };
    ran.iter().map(count).max().unwrap_or(0)
}

fn allowed() -> usize {
    (RATE.per_second * WINDOW.as_secs_f64() + RATE.burst) as usize
}

/// One organisation sends about eight times its rate, spread over all hosts.
#[test]
fn a_flood_through_all_hosts_stays_within_the_rate() {
    let (ran, _) = run(|ms, _| (0..HOSTS).filter(|_| ms % 13 == 0).collect(), 0.0);
    let most = most_in_a_window(&ran);
    assert!(
        most <= allowed(),
        "{most} ran in a window, {} allowed",
        allowed()
    );
    assert!(most >= allowed() / 2, "only {most} ran in a window");
}

#[test]
fn lost_messages_never_add_tokens() {
    let (ran, _) = run(|ms, _| (0..HOSTS).filter(|_| ms % 13 == 0).collect(), 0.4);
    let most = most_in_a_window(&ran);
    assert!(most <= allowed(), "{most} ran in a window");
}

/// Nine tenths of the rate arrive at one of eleven hosts: an even split without loans would refuse
/// nine of ten requests.
#[test]
fn callers_of_one_host_get_their_rate_by_loans() {
    let (ran, refused) = run(
        |ms, _| match ms % 11 == 0 && ms > 2000 {
            true => vec![3],
            false => Vec::new(),
        },
        0.0,
    );
    let all = ran.len() + refused;
    assert!(
        refused * 20 <= all,
        "{refused} of {all} were refused inside the rate"
    );
}

fn alone() -> QuotaHosts {
    let zone: ZoneName = "zone-0".parse().expect("zone");
    let zones = BTreeMap::from([(zone.clone(), vec![host(0)])]);
    QuotaHosts::new(host(0), zone.clone(), BTreeSet::from([zone]), zones)
}

#[test]
fn the_token_of_a_request_that_did_not_run_comes_back() {
    let t0 = Instant::now();
    let mut quotas = Quotas::default();
    quotas.set_quota_hosts(t0, alone());
    let rate = Rate {
        per_second: 1.0,
        burst: 1.0,
    };
    quotas.configure(t0, [(&organisation(), Some(rate))].into_iter());
    let t1 = t0 + Duration::from_secs(1);
    assert_eq!(quotas.debit(t1, &organisation()), Debit::Paid);
    assert_ne!(quotas.debit(t1, &organisation()), Debit::Paid);
    quotas.refund(t1, &organisation());
    assert_eq!(quotas.debit(t1, &organisation()), Debit::Paid);
}

/// An explanation in advance says whether a request would get a token. If it took the token, it would
/// cost the organisation a request.
#[test]
fn a_preview_takes_no_token() {
    let t0 = Instant::now();
    let mut quotas = Quotas::default();
    quotas.set_quota_hosts(t0, alone());
    let rate = Rate {
        per_second: 1.0,
        burst: 1.0,
    };
    quotas.configure(t0, [(&organisation(), Some(rate))].into_iter());
    let t1 = t0 + Duration::from_secs(1);
    let preview = |quotas: &Quotas| quotas.preview(t1, &organisation()).expect("a rate");
    for _ in 0..5 {
        let (debit, limit) = preview(&quotas);
        assert_eq!((debit, limit.tokens), (Debit::Paid, 1.0));
    }
    assert_eq!(quotas.debit(t1, &organisation()), Debit::Paid);
    assert_ne!(preview(&quotas).0, Debit::Paid);
}

/// A host that does not know the other hosts yet has no share of any rate.
#[test]
fn before_the_other_hosts_are_known_nothing_may_run() {
    let t0 = Instant::now();
    let mut quotas = Quotas::default();
    quotas.configure(t0, [(&organisation(), Some(RATE))].into_iter());
    let later = t0 + Duration::from_secs(10);
    assert_ne!(quotas.debit(later, &organisation()), Debit::Paid);
}

/// An organisation sends far more than its rate. Hosts whose loan requests are denied immediately
/// must not ask the lenders over and over.
#[test]
fn where_nobody_has_tokens_few_are_asked() {
    let t0 = Instant::now();
    let mut hosts = fleet(t0);
    let span = Duration::from_secs(2);
    let mut asked = 0;
    for ms in 0..span.as_millis() as u64 {
        let now = t0 + Duration::from_millis(ms);
        hosts[0].record_arrival(now, &organisation());
        let unpaid = HashMap::from([(organisation(), 5)]);
        // Denials arrive immediately.
        for _ in 0..100 {
            let loans = hosts[0].loan_requests(now, &unpaid);
            if loans.is_empty() {
                break;
            }
            asked += loans.iter().map(|w| w.lenders.len()).sum::<usize>();
            hosts[0].record_denial(&organisation());
        }
    }
    // Two lenders every 60 ms, and each host up to twice without a pause.
    let most = 2 * span.as_millis() as usize / 60 + 2 * HOSTS;
    assert!(asked <= most, "{asked} asks, {most} at most");
}
