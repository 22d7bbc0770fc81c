//! Rate limits of organisations, divided among home hosts that lend tokens to one another.
//!
//! An even split over all hosts would leave each one a share too small to use. Instead, each zone
//! gets an even share of a rate, which is divided among a few home hosts of the zone: as many as
//! still have a useful share each. All hosts compute the same homes from the registered hosts.
//!
//! A host that runs out of tokens requests them from the homes, one after another and the nearest
//! ones first; a lender without tokens denies the request. Tokens are taken out of the lender's
//! bucket before the grant is sent, so a lost message loses tokens but never duplicates them.
//! Borrowed tokens expire soon.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use smallvec::SmallVec;
use tokio::time::Instant;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::{
    explain::RateLimit,
    model::Rate, //
};
use crate::{
    bucket::{
        Bucket,
        Quota, //
    },
    retry::RateMeter,
    util::id::{
        HostName,
        OrganisationName,
        ZoneName, //
    },
};

/// Milli-tokens that one request costs.
const MILLI_PER_TOKEN: u64 = 1000;
/// Lifetime of borrowed tokens after the last deposit.
const BORROWED_LIFETIME: Duration = Duration::from_millis(2000);
/// Time span of expected demand for which a host keeps tokens in reserve.
const RESERVE_SPAN: Duration = Duration::from_millis(400);
/// Minimum time between two loan requests for the same organisation.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Upper bound of the consecutive unsuccessful loan requests after which no host is taken to have
/// tokens to lend. The bound is the number of lenders, between [`UNSUCCESSFUL_MIN`] and this value.
const UNSUCCESSFUL_MAX: usize = 6;
/// Lower bound of the consecutive unsuccessful loan requests; see [`UNSUCCESSFUL_MAX`].
const UNSUCCESSFUL_MIN: usize = 3;
/// Time after the last loan request at which the unsuccessful ones are no longer counted.
const UNSUCCESSFUL_EXPIRY: Duration = Duration::from_millis(500);
/// Maximum number of tokens of one loan request that count as demand.
const COUNTED_TOKENS_MAX: u64 = 32;
/// Minimum share of a home, in requests per second.
const SHARE_MIN_PER_SECOND: f64 = 4.0;

/// One organisation's tokens on this host, in milli-tokens.
#[derive(Clone, Debug)]
struct Tokens {
    rate: Rate,
    own: Bucket,
    borrowed: u64,
    borrowed_until: Instant,
    /// Requests per second from this host's callers, including refused ones.
    demand: RateMeter,
    /// Tokens per second that other hosts request from this one.
    lending_demand: RateMeter,
    last_request: Option<Instant>,
    /// Consecutive loan requests without a grant.
    unsuccessful: usize,
    /// Value of `unsuccessful` from which no host is taken to have tokens to lend.
    unsuccessful_max: usize,
    /// Whether the most recent loan request was denied.
    was_denied: bool,
    /// Lenders asked since the last pause; the next one to ask in the order of lenders.
    lender_offset: usize,
    /// Number of pauses so far; rotates the first lender among those that are equally near.
    rotation: usize,
    /// Hash of the organisation's name.
    hash: u64,
    /// Whether the organisation is in `Quotas::active`.
    is_active: bool,
}

/// Hosts from which an organisation's tokens can be borrowed.
#[derive(Clone, Debug, Default, PartialEq)]
struct Lenders {
    /// Homes in this host's zone, excluding this host.
    in_zone: Vec<HostName>,
    /// Homes in other zones of this host's region.
    in_region: Vec<HostName>,
    /// Homes in other regions.
    out_of_region: Vec<HostName>,
}

impl Lenders {
    fn len(&self) -> usize {
        self.in_zone.len() + self.in_region.len() + self.out_of_region.len()
    }

    /// Returns `count` groups of lenders, each ordered by preference, starting `step` lenders after
    /// the first one. The nearest homes come first; `turn` rotates homes that are equally near.
    fn next(
        &self,
        lender_offset: usize,
        rotation: usize,
        count: usize,
    ) -> SmallVec<[Vec<HostName>; 2]> {
        let mut order = Vec::with_capacity(self.len());
        for hosts in [&self.in_zone, &self.in_region, &self.out_of_region] {
            let (before, after) = hosts.split_at(rotation % hosts.len().max(1));
            order.extend_from_slice(after);
            order.extend_from_slice(before);
        }
        let len = order.len();
        let from = |lender_offset: usize| {
            let mut order = order.clone();
            order.rotate_left(lender_offset % len);
            order
        };
        (lender_offset..lender_offset + count.min(len))
            .map(from)
            .collect()
    }
}

/// A host that may be a home, with the hash that determines its rank.
#[derive(Clone, Debug)]
struct QuotaHost {
    name: HostName,
    hash: u64,
}

/// The hosts among which the rates are divided.
///
/// Names are hashed once, when the hosts become known. This host's share of a rate depends only on
/// the hosts of its own zone and the number of zones; the homes of other zones are computed only
/// when tokens are borrowed from them.
#[derive(Clone, Debug, Default)]
pub struct QuotaHosts {
    host: Option<HostName>,
    zone: Option<ZoneName>,
    /// Zones of this host's region.
    region: BTreeSet<ZoneName>,
    zones: BTreeMap<ZoneName, Vec<QuotaHost>>,
}

impl QuotaHosts {
    /// Creates the set of hosts from the registered hosts by zone, including this one. `region`
    /// contains the zones of this host's region.
    pub fn new(
        host: HostName,
        zone: ZoneName,
        region: BTreeSet<ZoneName>,
        zones: BTreeMap<ZoneName, Vec<HostName>>,
    ) -> Self {
        let quota_host = |name: HostName| QuotaHost {
            hash: xxh3_64(name.as_str().as_bytes()),
            name,
        };
        let zones = zones
            .into_iter()
            .map(|(zone, hosts)| (zone, hosts.into_iter().map(quota_host).collect()));
        Self {
            host: Some(host),
            zone: Some(zone),
            region,
            zones: zones.collect(),
        }
    }

    /// Returns an organisation's homes among the hosts of one zone, by rank.
    fn homes<'a>(
        &'a self,
        hosts: &'a [QuotaHost],
        organisation: u64,
        rate: Rate,
    ) -> Vec<&'a QuotaHost> {
        let of_zone = rate.per_second / self.zones.len().max(1) as f64;
        let count = ((of_zone / SHARE_MIN_PER_SECOND) as usize).clamp(1, hosts.len().max(1));
        let mut ranked: Vec<(u64, &QuotaHost)> = hosts
            .iter()
            .map(|h| (rank(h.hash, organisation), h))
            .collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by_key(count, |(rank, _)| *rank);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, h)| h).collect()
    }

    /// Returns the hosts of this host's zone.
    fn own_zone(&self) -> &[QuotaHost] {
        let zone = self.zone.as_ref().and_then(|zone| self.zones.get(zone));
        zone.map_or(&[], Vec::as_slice)
    }

    /// Returns this host's share of a rate; zero if it is not a home.
    fn own_share(&self, organisation: u64, rate: Rate) -> Quota {
        let homes = self.homes(self.own_zone(), organisation, rate);
        let shares = self.zones.len() * homes.len().max(1);
        match homes.iter().any(|h| Some(&h.name) == self.host.as_ref()) {
            true => share_of(rate, shares),
            false => Quota::default(),
        }
    }

    /// Returns the other hosts that have a share of a rate.
    fn lenders(&self, organisation: u64, rate: Rate) -> Lenders {
        let mut lenders = Lenders::default();
        for (zone, hosts) in &self.zones {
            let homes = self.homes(hosts, organisation, rate);
            let names = homes.into_iter().map(|h| &h.name);
            let others = names.filter(|name| Some(*name) != self.host.as_ref());
            match () {
                () if Some(zone) == self.zone.as_ref() => lenders.in_zone.extend(others.cloned()),
                () if self.region.contains(zone) => lenders.in_region.extend(others.cloned()),
                () => lenders.out_of_region.extend(others.cloned()),
            }
        }
        lenders
    }

    /// Returns whether `host` is in this host's zone and has no share of the rate.
    fn borrows_in_zone(&self, host: &HostName, organisation: u64, rate: Rate) -> bool {
        let in_zone = self.own_zone();
        in_zone.iter().any(|h| h.name == *host)
            && !self
                .homes(in_zone, organisation, rate)
                .iter()
                .any(|h| h.name == *host)
    }
}

/// Returns a host's rendezvous-hash rank for an organisation; the lowest ranks are homes.
fn rank(host: u64, organisation: u64) -> u64 {
    xxh3_64_with_seed(&host.to_le_bytes(), organisation)
}

/// The result of taking a token for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Debit {
    /// The token was taken, or the organisation has no rate limit.
    Paid,
    /// No token is available; another host may lend one shortly.
    Pending,
    /// No token is available, and recent loan requests brought none.
    Exhausted,
}

/// The tokens of all organisations on one host.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    quota_hosts: QuotaHosts,
    tokens: HashMap<OrganisationName, Tokens>,
    /// Organisations that may have to borrow tokens; all others have enough.
    active: Vec<OrganisationName>,
}

/// A request for a loan of tokens to this host.
#[derive(Clone, Debug, PartialEq)]
pub struct LoanRequest {
    /// The organisation whose tokens are requested.
    pub organisation: OrganisationName,
    /// Requested amount, in milli-tokens.
    pub amount: u64,
    /// Groups of possible lenders, each in order of preference. The request is sent to the first
    /// live host of each group.
    pub lenders: SmallVec<[Vec<HostName>; 2]>,
}

impl Quotas {
    /// Replaces the hosts that share the rates. Before the first call this host has no share of any
    /// rate.
    pub fn set_quota_hosts(&mut self, now: Instant, quota_hosts: QuotaHosts) {
        self.quota_hosts = quota_hosts;
        for tokens in self.tokens.values_mut() {
            let quota = self.quota_hosts.own_share(tokens.hash, tokens.rate);
            tokens.own.set_quota(now, quota);
        }
    }

    /// Applies the configured rates; an organisation without one is unlimited.
    pub fn configure<'a>(
        &mut self,
        now: Instant,
        rates: impl Iterator<Item = (&'a OrganisationName, Option<Rate>)>,
    ) {
        let mut old = std::mem::take(&mut self.tokens);
        for (name, rate) in rates {
            let Some(rate) = rate else {
                continue;
            };
            let hash = xxh3_64(name.as_str().as_bytes());
            let quota = self.quota_hosts.own_share(hash, rate);
            let tokens = match old.remove(name) {
                Some(mut tokens) => {
                    tokens.own.set_quota(now, quota);
                    tokens.rate = rate;
                    tokens
                }
                None => Tokens {
                    rate,
                    own: Bucket::new(quota, now),
                    borrowed: 0,
                    borrowed_until: now,
                    demand: RateMeter::new(now),
                    lending_demand: RateMeter::new(now),
                    last_request: None,
                    unsuccessful: 0,
                    unsuccessful_max: UNSUCCESSFUL_MIN,
                    was_denied: false,
                    lender_offset: 0,
                    rotation: 0,
                    hash,
                    is_active: false,
                },
            };
            self.tokens.insert(name.clone(), tokens);
        }
        let tokens = &self.tokens;
        self.active.retain(|name| tokens.contains_key(name));
    }

    /// Returns an organisation's tokens and marks the organisation as active.
    fn active(&mut self, organisation: &OrganisationName) -> Option<&mut Tokens> {
        let tokens = self.tokens.get_mut(organisation)?;
        if !std::mem::replace(&mut tokens.is_active, true) {
            self.active.push(organisation.clone());
        }
        Some(tokens)
    }

    /// Counts an arrived request as demand.
    pub fn record_arrival(&mut self, now: Instant, organisation: &OrganisationName) {
        if let Some(tokens) = self.active(organisation) {
            tokens.demand.record(now);
        }
    }

    /// Takes the token for one request, a borrowed one first.
    pub fn debit(&mut self, now: Instant, organisation: &OrganisationName) -> Debit {
        match self.tokens.get_mut(organisation) {
            Some(tokens) => tokens.debit(now),
            None => Debit::Paid,
        }
    }

    /// Returns what [`Self::debit`] would return now, and the tokens, without taking any. `None` if
    /// the organisation has no rate limit.
    pub fn preview(
        &self,
        now: Instant,
        organisation: &OrganisationName,
    ) -> Option<(Debit, RateLimit)> {
        let mut tokens = self.tokens.get(organisation)?.clone();
        tokens.expire_borrowed(now);
        let whole = |milli: u64| milli as f64 / MILLI_PER_TOKEN as f64;
        let (own, borrowed) = (tokens.own.level(now), tokens.borrowed);
        let debit = tokens.debit(now);
        let limit = RateLimit {
            has_token: debit == Debit::Paid,
            is_exhausted: debit == Debit::Exhausted,
            tokens: whole(own),
            borrowed: whole(borrowed),
            share_per_second: whole(tokens.own.quota().rate),
            rate_per_second: tokens.rate.per_second,
        };
        Some((debit, limit))
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&mut self, now: Instant, organisation: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.own.deposit(now, MILLI_PER_TOKEN);
        }
    }

    /// Describes this host's share of an organisation's rate, for logs.
    pub fn describe(&self, organisation: &OrganisationName) -> String {
        match self.tokens.get(organisation) {
            Some(t) => {
                let lenders = self.quota_hosts.lenders(t.hash, t.rate);
                format!(
                    "{}m/s of {}/s, burst {}, {} other homes, {} of the zone",
                    t.own.quota().rate,
                    t.rate.per_second,
                    t.rate.burst,
                    lenders.len(),
                    lenders.in_zone.len()
                )
            }
            None => "unlimited".to_owned(),
        }
    }

    /// Returns the loan requests to send now. `waiting` is the number of requests that wait for a
    /// token, by organisation.
    pub fn loan_requests(
        &mut self,
        now: Instant,
        waiting: &HashMap<OrganisationName, u64>,
    ) -> Vec<LoanRequest> {
        let mut loan_requests = Vec::new();
        for name in std::mem::take(&mut self.active) {
            let Some(tokens) = self.tokens.get_mut(&name) else {
                continue;
            };
            let unpaid = waiting.get(&name).map_or(0, |n| n * MILLI_PER_TOKEN);
            let need = tokens.need(now, unpaid);
            if need.missing > 0 && tokens.try_start_request(now) {
                let lenders = self.quota_hosts.lenders(tokens.hash, tokens.rate);
                let (lender_count, regional_count) = (
                    lenders.len(),
                    lenders.in_zone.len() + lenders.in_region.len(),
                );
                // Lenders in other regions take long to answer, and a single lender has few tokens.
                let count = match need.missing > MILLI_PER_TOKEN
                    || tokens.lender_offset % lender_count.max(1) >= regional_count
                {
                    true => 2,
                    false => 1,
                };
                tokens.unsuccessful_max = lender_count.clamp(UNSUCCESSFUL_MIN, UNSUCCESSFUL_MAX);
                loan_requests.push(LoanRequest {
                    organisation: name.clone(),
                    amount: need.missing,
                    lenders: lenders.next(tokens.lender_offset, tokens.rotation, count),
                });
                tokens.unsuccessful += 1;
                tokens.lender_offset += count;
            }
            tokens.is_active = need.stays_active;
            if need.stays_active {
                self.active.push(name);
            }
        }
        loan_requests
    }

    /// Takes tokens for another host and returns the amount in milli-tokens. Requests from hosts of
    /// this zone without a share count as demand for which this home borrows in turn.
    pub fn lend(
        &mut self,
        now: Instant,
        organisation: &OrganisationName,
        wanted: u64,
        borrower: &HostName,
    ) -> u64 {
        let Some(tokens) = self.tokens.get(organisation) else {
            return 0;
        };
        // Homes do not borrow on behalf of other homes: they would request the same tokens from
        // each other.
        let is_zone_borrower = self
            .quota_hosts
            .borrows_in_zone(borrower, tokens.hash, tokens.rate);
        let Some(tokens) = self.active(organisation) else {
            return 0;
        };
        tokens.expire_borrowed(now);
        let reserve = tokens.reserve(now);
        let mut granted = 0;
        if is_zone_borrower {
            for _ in 0..(wanted / MILLI_PER_TOKEN).min(COUNTED_TOKENS_MAX) {
                tokens.lending_demand.record(now);
            }
            granted = tokens.borrowed.min(wanted);
            tokens.borrowed -= granted;
        }
        let own = tokens.own.level(now).saturating_sub(reserve);
        let own = own.min(wanted - granted);
        match tokens.own.debit(now, own) {
            true => granted + own,
            false => granted,
        }
    }

    /// Records that a lender denied a loan; the next one may be asked immediately.
    pub fn record_denial(&mut self, organisation: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.was_denied = true;
        }
    }

    /// Adds tokens that another host has lent, in milli-tokens.
    pub fn add_borrowed(&mut self, now: Instant, organisation: &OrganisationName, granted: u64) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.expire_borrowed(now);
            tokens.borrowed = tokens.borrowed.saturating_add(granted);
            tokens.borrowed_until = now + BORROWED_LIFETIME;
            tokens.unsuccessful = 0;
        }
    }
}

/// An organisation's lack of tokens on this host.
struct Need {
    /// Milli-tokens to borrow; 0 if there are enough.
    missing: u64,
    /// Whether tokens may be needed shortly even if no further request arrives.
    stays_active: bool,
}

impl Tokens {
    /// Takes the token for one request, a borrowed one first.
    fn debit(&mut self, now: Instant) -> Debit {
        self.expire_borrowed(now);
        if self.borrowed >= MILLI_PER_TOKEN {
            self.borrowed -= MILLI_PER_TOKEN;
            return Debit::Paid;
        }
        if self.own.debit(now, MILLI_PER_TOKEN) {
            return Debit::Paid;
        }
        let asked_recently = self
            .last_request
            .is_some_and(|at| now < at + UNSUCCESSFUL_EXPIRY);
        match asked_recently && self.unsuccessful >= self.unsuccessful_max {
            true => Debit::Exhausted,
            false => Debit::Pending,
        }
    }

    /// Returns the lack of tokens, given the milli-tokens that waiting requests need.
    fn need(&mut self, now: Instant, unpaid: u64) -> Need {
        self.expire_borrowed(now);
        let reserve = self.reserve(now);
        let is_home = !self.own.quota().is_zero();
        let wanted = match is_home {
            // A home keeps the tokens that its zone needs.
            true => (reserve + self.lending_reserve(now)).max(MILLI_PER_TOKEN),
            // Tokens kept on many hosts for infrequent callers would be unavailable to all other
            // hosts.
            false if reserve < MILLI_PER_TOKEN => 0,
            false => reserve,
        };
        let wanted = wanted.max(unpaid);
        let is_enough = self.own.level(now) + self.borrowed >= wanted;
        if is_enough && is_home {
            self.unsuccessful = 0;
        }
        Need {
            missing: if is_enough {
                0
            } else {
                wanted.max(MILLI_PER_TOKEN)
            },
            stays_active: !is_enough || wanted > MILLI_PER_TOKEN,
        }
    }

    /// Returns whether a lender may be asked now, and records the request if so. It may be asked
    /// [`LOAN_REQUEST_INTERVAL`] after the last one, or immediately after a denial. If no lender
    /// has tokens, the interval applies after denials too; otherwise requests would circulate
    /// without end.
    fn try_start_request(&mut self, now: Instant) -> bool {
        let may_continue =
            std::mem::take(&mut self.was_denied) && self.unsuccessful < self.unsuccessful_max;
        if !may_continue
            && self
                .last_request
                .is_some_and(|at| now < at + LOAN_REQUEST_INTERVAL)
        {
            return false;
        }
        if self
            .last_request
            .is_some_and(|at| now >= at + UNSUCCESSFUL_EXPIRY)
        {
            self.unsuccessful = 0;
            self.lender_offset = 0;
            self.rotation += 1;
        }
        self.last_request = Some(now);
        true
    }

    fn expire_borrowed(&mut self, now: Instant) {
        if self.borrowed_until <= now {
            self.borrowed = 0;
        }
    }

    /// Returns the milli-tokens to keep for expected loan requests of other hosts.
    fn lending_reserve(&self, now: Instant) -> u64 {
        let requests = self.lending_demand.rate_at(now) * RESERVE_SPAN.as_secs_f64();
        (requests * MILLI_PER_TOKEN as f64) as u64
    }

    /// Returns the milli-tokens to keep for the expected demand of this host's callers.
    fn reserve(&self, now: Instant) -> u64 {
        let requests = self.demand.rate_at(now) * RESERVE_SPAN.as_secs_f64();
        (requests * MILLI_PER_TOKEN as f64) as u64
    }
}

/// Returns one of `shares` equal shares of a rate, in milli-tokens.
fn share_of(rate: Rate, shares: usize) -> Quota {
    let share = |whole: f64| (whole.max(0.0) * MILLI_PER_TOKEN as f64 / shares as f64) as u64;
    // A bucket that cannot hold a whole token would never admit a request.
    Quota::new(
        share(rate.per_second),
        share(rate.burst).max(MILLI_PER_TOKEN),
    )
}
