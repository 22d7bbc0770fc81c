//! Organisations' rates, divided among their home hosts, with loans of tokens.
//!
//! An even split over all hosts would be dust. Each zone has an even part of a
//! rate, which a few homes of the zone hold, as many as make a useful share;
//! all hosts compute them alike from the registered hosts.
//!
//! A host that runs short asks the homes for tokens, one after the other and the
//! nearest ones first; one that has none says so. Tokens that are granted
//! leave the lender's bucket before the message does, so that a lost message
//! loses tokens and never doubles them. Borrowed tokens lapse soon.

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

use super::model::Rate;
use crate::{
    bucket::{
        Bucket,
        Quota, //
    },
    retry::DrainMeter,
    util::id::{
        HostName,
        OrganisationName,
        ZoneName, //
    },
};

/// Thousandths in a request.
const MILLI: u64 = 1000;
/// How long borrowed tokens may be spent.
const BORROWED_FOR: Duration = Duration::from_millis(2000);
/// The span of its own demand for which a host keeps tokens.
const KEPT_SPAN: Duration = Duration::from_millis(400);
/// The time between two asks for the same organisation.
const ASK_INTERVAL: Duration = Duration::from_millis(60);
/// Asks in a row that bring nothing, after which there is nothing to lend; fewer where
/// there are fewer lenders, and [`VAIN_MIN`] at least.
const VAIN_MAX: usize = 6;
/// Asks in a row that bring nothing, after which there may be nothing to lend.
const VAIN_MIN: usize = 3;
/// The time after which asks that brought nothing are forgotten.
const VAIN_FOR: Duration = Duration::from_millis(500);
/// Tokens of one ask that count as demand at most.
const NOTED_MAX: u64 = 32;
/// The least share of a home, in requests a second.
const SHARE_MIN: f64 = 4.0;

/// One organisation's tokens on this host, in thousandths of a request.
#[derive(Clone, Debug)]
struct Tokens {
    rate: Rate,
    own: Bucket,
    borrowed: u64,
    borrowed_until: Instant,
    /// Requests a second of the own callers, the refused ones among them.
    demand: DrainMeter,
    /// Tokens a second that other hosts ask for.
    asked_for: DrainMeter,
    asked: Option<Instant>,
    /// Asks in a row that brought nothing.
    vain: usize,
    /// Asks in a row that bring nothing, after which there is nothing to lend.
    vain_max: usize,
    /// Whether the lender that was asked last had nothing.
    was_denied: bool,
    /// Lenders that were asked without a pause.
    step: usize,
    /// Pauses so far; lenders that are equally near take turns to be the first.
    turn: usize,
    /// The hash of the organisation's name.
    hash: u64,
    /// Whether the organisation is among those that tokens may have to be asked for.
    is_active: bool,
}

/// Where tokens can be borrowed.
#[derive(Clone, Debug, Default, PartialEq)]
struct Lenders {
    /// Homes in the own zone, without the own host.
    near: Vec<HostName>,
    /// Homes in other zones of the own region.
    in_region: Vec<HostName>,
    /// Homes in other regions.
    far: Vec<HostName>,
}

impl Lenders {
    fn len(&self) -> usize {
        self.near.len() + self.in_region.len() + self.far.len()
    }

    /// Returns whom to ask, `step` asks after the first one: one home after the other, the
    /// nearest ones first. `turn` spreads the first asks over homes that are equally near.
    fn next(&self, step: usize, turn: usize, count: usize) -> SmallVec<[Vec<HostName>; 2]> {
        let mut order = Vec::with_capacity(self.len());
        for hosts in [&self.near, &self.in_region, &self.far] {
            let (before, after) = hosts.split_at(turn % hosts.len().max(1));
            order.extend_from_slice(after);
            order.extend_from_slice(before);
        }
        let len = order.len();
        let from = |step: usize| {
            let mut order = order.clone();
            order.rotate_left(step % len);
            order
        };
        (step..step + count.min(len)).map(from).collect()
    }
}

/// A host that may be a home, with the hash that ranks it.
#[derive(Clone, Debug)]
struct Sharer {
    name: HostName,
    hash: u64,
}

/// The hosts that share the rates.
///
/// Names are hashed once, when the hosts become known. What an organisation's
/// own part is depends on the hosts of the own zone alone; the homes of other
/// zones are looked for only when tokens are borrowed there.
#[derive(Clone, Debug, Default)]
pub struct Sharers {
    host: Option<HostName>,
    zone: Option<ZoneName>,
    /// The zones of the own region.
    region: BTreeSet<ZoneName>,
    zones: BTreeMap<ZoneName, Vec<Sharer>>,
}

impl Sharers {
    /// Returns the registered hosts by zone, the own one among them; `region` are the zones
    /// of the own region.
    pub fn new(
        host: HostName,
        zone: ZoneName,
        region: BTreeSet<ZoneName>,
        zones: BTreeMap<ZoneName, Vec<HostName>>,
    ) -> Self {
        let sharer = |name: HostName| Sharer {
            hash: xxh3_64(name.as_str().as_bytes()),
            name,
        };
        let zones = zones
            .into_iter()
            .map(|(zone, hosts)| (zone, hosts.into_iter().map(sharer).collect()));
        Self {
            host: Some(host),
            zone: Some(zone),
            region,
            zones: zones.collect(),
        }
    }

    /// Returns an organisation's homes among the hosts of one zone.
    fn homes<'a>(&'a self, hosts: &'a [Sharer], organisation: u64, rate: Rate) -> Vec<&'a Sharer> {
        let of_zone = rate.per_second / self.zones.len().max(1) as f64;
        let count = ((of_zone / SHARE_MIN) as usize).clamp(1, hosts.len().max(1));
        let mut ranked: Vec<(u64, &Sharer)> = hosts
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

    /// Returns the hosts of the own zone.
    fn own_zone(&self) -> &[Sharer] {
        let zone = self.zone.as_ref().and_then(|zone| self.zones.get(zone));
        zone.map_or(&[], Vec::as_slice)
    }

    /// Returns the own part of a rate.
    fn part(&self, organisation: u64, rate: Rate) -> Quota {
        let homes = self.homes(self.own_zone(), organisation, rate);
        let parts = self.zones.len() * homes.len().max(1);
        match homes.iter().any(|h| Some(&h.name) == self.host.as_ref()) {
            true => part_of(rate, parts),
            false => Quota::default(),
        }
    }

    /// Returns who else holds parts of a rate.
    fn lenders(&self, organisation: u64, rate: Rate) -> Lenders {
        let mut lenders = Lenders::default();
        for (zone, hosts) in &self.zones {
            let homes = self.homes(hosts, organisation, rate);
            let names = homes.into_iter().map(|h| &h.name);
            let others = names.filter(|name| Some(*name) != self.host.as_ref());
            match () {
                () if Some(zone) == self.zone.as_ref() => lenders.near.extend(others.cloned()),
                () if self.region.contains(zone) => lenders.in_region.extend(others.cloned()),
                () => lenders.far.extend(others.cloned()),
            }
        }
        lenders
    }

    /// Returns whether a host of the own zone has no part of a rate itself.
    fn borrows_near(&self, host: &HostName, organisation: u64, rate: Rate) -> bool {
        let near = self.own_zone();
        near.iter().any(|h| h.name == *host)
            && !self
                .homes(near, organisation, rate)
                .iter()
                .any(|h| h.name == *host)
    }
}

/// Returns a host's rank among the homes of an organisation; the lowest ones are homes.
fn rank(host: u64, organisation: u64) -> u64 {
    xxh3_64_with_seed(&host.to_le_bytes(), organisation)
}

/// What becomes of a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Debit {
    /// It has its token.
    Paid,
    /// There is none; a loan may come shortly.
    Short,
    /// There is none, and nobody lent any lately.
    Spent,
}

/// The tokens of all organisations on one host.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    sharers: Sharers,
    tokens: HashMap<OrganisationName, Tokens>,
    /// Organisations that tokens may have to be asked for; all others have what they need.
    active: Vec<OrganisationName>,
}

/// Tokens that this host wants of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Thousandths of a request.
    pub amount: u64,
    /// Groups of hosts that may lend, the one whose turn it is first. The first
    /// live host of each group is asked.
    pub lenders: SmallVec<[Vec<HostName>; 2]>,
}

impl Quotas {
    /// Changes the hosts that share the rates. Before the first call this host
    /// has no part of any rate.
    pub fn set_sharers(&mut self, now: Instant, sharers: Sharers) {
        self.sharers = sharers;
        for tokens in self.tokens.values_mut() {
            let quota = self.sharers.part(tokens.hash, tokens.rate);
            tokens.own.set_quota(now, quota);
        }
    }

    /// Takes over the organisations' rates.
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
            let quota = self.sharers.part(hash, rate);
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
                    demand: DrainMeter::new(now),
                    asked_for: DrainMeter::new(now),
                    asked: None,
                    vain: 0,
                    vain_max: VAIN_MIN,
                    was_denied: false,
                    step: 0,
                    turn: 0,
                    hash,
                    is_active: false,
                },
            };
            self.tokens.insert(name.clone(), tokens);
        }
        let tokens = &self.tokens;
        self.active.retain(|name| tokens.contains_key(name));
    }

    /// Returns an organisation's tokens, which may have to be asked for from now on.
    fn active(&mut self, organisation: &OrganisationName) -> Option<&mut Tokens> {
        let tokens = self.tokens.get_mut(organisation)?;
        if !std::mem::replace(&mut tokens.is_active, true) {
            self.active.push(organisation.clone());
        }
        Some(tokens)
    }

    /// Counts a request that arrived.
    pub fn arrived(&mut self, now: Instant, organisation: &OrganisationName) {
        if let Some(tokens) = self.active(organisation) {
            tokens.demand.finished(now);
        }
    }

    /// Takes a request's token.
    pub fn debit(&mut self, now: Instant, organisation: &OrganisationName) -> Debit {
        let Some(tokens) = self.tokens.get_mut(organisation) else {
            return Debit::Paid;
        };
        tokens.lapse(now);
        if tokens.borrowed >= MILLI {
            tokens.borrowed -= MILLI;
            return Debit::Paid;
        }
        if tokens.own.debit(now, MILLI) {
            return Debit::Paid;
        }
        let lately = tokens.asked.is_some_and(|at| now < at + VAIN_FOR);
        match lately && tokens.vain >= tokens.vain_max {
            true => Debit::Spent,
            false => Debit::Short,
        }
    }

    /// Gives the token of a request back that did not run.
    pub fn refund(&mut self, now: Instant, organisation: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.own.deposit(now, MILLI);
        }
    }

    /// Describes a host's part of a rate, for logs.
    pub fn describe(&self, organisation: &OrganisationName) -> String {
        match self.tokens.get(organisation) {
            Some(t) => {
                let lenders = self.sharers.lenders(t.hash, t.rate);
                format!(
                    "{}m/s of {}/s, burst {}, {} other homes, {} of the zone",
                    t.own.quota().rate,
                    t.rate.per_second,
                    t.rate.burst,
                    lenders.len(),
                    lenders.near.len()
                )
            }
            None => "unlimited".to_owned(),
        }
    }

    /// Returns what to ask other hosts for now. `waiting` are the requests that
    /// wait for a token.
    pub fn asks(&mut self, now: Instant, waiting: &HashMap<OrganisationName, u64>) -> Vec<Want> {
        let mut asks = Vec::new();
        for name in std::mem::take(&mut self.active) {
            let Some(tokens) = self.tokens.get_mut(&name) else {
                continue;
            };
            let unpaid = waiting.get(&name).map_or(0, |n| n * MILLI);
            let need = tokens.need(now, unpaid);
            if need.missing > 0 && tokens.may_ask(now) {
                let lenders = self.sharers.lenders(tokens.hash, tokens.rate);
                let (all, close) = (lenders.len(), lenders.near.len() + lenders.in_region.len());
                // Those in other regions take long to answer, and one alone has few tokens.
                let count = match need.missing > MILLI || tokens.step % all.max(1) >= close {
                    true => 2,
                    false => 1,
                };
                tokens.vain_max = all.clamp(VAIN_MIN, VAIN_MAX);
                asks.push(Want {
                    organisation: name.clone(),
                    amount: need.missing,
                    lenders: lenders.next(tokens.step, tokens.turn, count),
                });
                tokens.vain += 1;
                tokens.step += count;
            }
            tokens.is_active = need.is_lasting;
            if need.is_lasting {
                self.active.push(name);
            }
        }
        asks
    }

    /// Takes tokens out for another host; returns how many. What hosts of the
    /// own zone without a share ask for counts as demand that a home borrows for.
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
        // Homes that borrowed for one another would chase the same tokens.
        let is_near = self
            .sharers
            .borrows_near(borrower, tokens.hash, tokens.rate);
        let Some(tokens) = self.active(organisation) else {
            return 0;
        };
        tokens.lapse(now);
        let kept = tokens.kept(now);
        let mut granted = 0;
        if is_near {
            for _ in 0..(wanted / MILLI).min(NOTED_MAX) {
                tokens.asked_for.finished(now);
            }
            granted = tokens.borrowed.min(wanted);
            tokens.borrowed -= granted;
        }
        let own = tokens.own.level(now).saturating_sub(kept);
        let own = own.min(wanted - granted);
        match tokens.own.debit(now, own) {
            true => granted + own,
            false => granted,
        }
    }

    /// Notes that a lender had nothing; the next one may be asked at once.
    pub fn denied(&mut self, organisation: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.was_denied = true;
        }
    }

    /// Takes in tokens that another host gave up.
    pub fn deposit(&mut self, now: Instant, organisation: &OrganisationName, granted: u64) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.lapse(now);
            tokens.borrowed = tokens.borrowed.saturating_add(granted);
            tokens.borrowed_until = now + BORROWED_FOR;
            tokens.vain = 0;
        }
    }
}

/// What an organisation's tokens fall short of.
struct Need {
    /// Thousandths of a request to ask for; 0 where there are enough.
    missing: u64,
    /// Whether more may be needed shortly without another request.
    is_lasting: bool,
}

impl Tokens {
    /// Returns what is missing, beside what waiting requests need.
    fn need(&mut self, now: Instant, unpaid: u64) -> Need {
        self.lapse(now);
        let kept = self.kept(now);
        let is_home = !self.own.quota().is_zero();
        let wanted = match is_home {
            // A home keeps what its zone needs.
            true => (kept + self.kept_for_others(now)).max(MILLI),
            // Tokens that many hosts keep for callers that come rarely would be lost to all.
            false if kept < MILLI => 0,
            false => kept,
        };
        let wanted = wanted.max(unpaid);
        let is_enough = self.own.level(now) + self.borrowed >= wanted;
        if is_enough && is_home {
            self.vain = 0;
        }
        Need {
            missing: if is_enough { 0 } else { wanted.max(MILLI) },
            is_lasting: !is_enough || wanted > MILLI,
        }
    }

    /// Notes that a lender is asked now; returns whether it may be: a moment after the last
    /// one, or once that one had nothing. Where nobody had anything, asking at once would go
    /// round and round.
    fn may_ask(&mut self, now: Instant) -> bool {
        let goes_on = std::mem::take(&mut self.was_denied) && self.vain < self.vain_max;
        if !goes_on && self.asked.is_some_and(|at| now < at + ASK_INTERVAL) {
            return false;
        }
        if self.asked.is_some_and(|at| now >= at + VAIN_FOR) {
            self.vain = 0;
            self.step = 0;
            self.turn += 1;
        }
        self.asked = Some(now);
        true
    }

    fn lapse(&mut self, now: Instant) {
        if self.borrowed_until <= now {
            self.borrowed = 0;
        }
    }

    /// Returns the tokens that other hosts are about to ask for.
    fn kept_for_others(&self, now: Instant) -> u64 {
        let requests = self.asked_for.rate_at(now) * KEPT_SPAN.as_secs_f64();
        (requests * MILLI as f64) as u64
    }

    /// Returns the tokens that the host's own callers are about to need.
    fn kept(&self, now: Instant) -> u64 {
        let requests = self.demand.rate_at(now) * KEPT_SPAN.as_secs_f64();
        (requests * MILLI as f64) as u64
    }
}

/// Returns one of `parts` even parts of a rate, in thousandths of a request.
fn part_of(rate: Rate, parts: usize) -> Quota {
    let part = |whole: f64| (whole.max(0.0) * MILLI as f64 / parts as f64) as u64;
    // A bucket that cannot hold one token would never let a request pass.
    Quota::new(part(rate.per_second), part(rate.burst).max(MILLI))
}
