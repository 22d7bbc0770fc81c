//! Organisations' rates, divided among their home hosts, with loans of tokens.
//!
//! An even split over all hosts would be dust. Each zone has an even part of a
//! rate, which a few homes of the zone hold, as many as make a useful share;
//! all hosts compute them alike from the registered hosts. Another host asks a
//! home of its zone for tokens, and a home asks those of other zones.
//!
//! A host that runs short asks another one for tokens. Tokens that are granted
//! leave the lender's bucket before the message does, so that a lost message
//! loses tokens and never doubles them. Borrowed tokens lapse soon.

use std::{
    collections::{
        BTreeMap,
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
/// Asks in a row that bring nothing, after which there is nothing to lend.
const VAIN_MAX: u32 = 3;
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
    vain: u32,
    /// Other hosts that hold a share, those of the own zone first.
    lenders: Lenders,
}

/// Where tokens can be borrowed.
#[derive(Clone, Debug, Default)]
struct Lenders {
    /// Homes in the own zone.
    near: Vec<HostName>,
    /// Homes in other zones.
    far: Vec<HostName>,
}

impl Lenders {
    /// Returns whom to ask: a home asks other homes; others ask the homes of
    /// their zone, and those of other zones once these had nothing.
    fn to_ask(&self, is_home: bool, vain: u32) -> SmallVec<[Vec<HostName>; 2]> {
        let mut groups = SmallVec::new();
        if !self.near.is_empty() {
            groups.push(self.near.clone());
        }
        if is_home || self.near.is_empty() || vain > 1 {
            groups.push(self.far.clone());
        }
        groups
    }
}

/// The hosts that share the rates.
#[derive(Clone, Debug, Default)]
pub struct Sharers {
    /// The own host.
    pub host: Option<HostName>,
    /// Its zone.
    pub zone: Option<ZoneName>,
    /// All registered hosts by zone, the own one among them.
    pub zones: BTreeMap<ZoneName, Vec<HostName>>,
}

impl Sharers {
    /// Returns an organisation's homes in one zone.
    fn homes(&self, zone: &ZoneName, organisation: &OrganisationName, rate: Rate) -> Vec<HostName> {
        let mut hosts = self.zones.get(zone).cloned().unwrap_or_default();
        let rank = |host: &HostName| {
            let seed = xxh3_64(organisation.as_str().as_bytes());
            xxh3_64_with_seed(host.as_str().as_bytes(), seed)
        };
        hosts.sort_by_key(rank);
        let of_zone = rate.per_second / self.zones.len().max(1) as f64;
        let homes = (of_zone / SHARE_MIN) as usize;
        hosts.truncate(homes.max(1));
        hosts
    }

    /// Returns the own part of a rate, and who else holds parts of it.
    fn divide(&self, organisation: &OrganisationName, rate: Rate) -> (Quota, Lenders) {
        let mut lenders = Lenders::default();
        let mut own = Quota::default();
        for zone in self.zones.keys() {
            let mut homes = self.homes(zone, organisation, rate);
            if Some(zone) != self.zone.as_ref() {
                lenders.far.extend(homes);
                continue;
            }
            let parts = self.zones.len() * homes.len().max(1);
            if homes.iter().any(|h| Some(h) == self.host.as_ref()) {
                own = part_of(rate, parts);
            }
            homes.retain(|h| Some(h) != self.host.as_ref());
            lenders.near = homes;
        }
        (own, lenders)
    }
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
        for (name, tokens) in &mut self.tokens {
            let (quota, lenders) = self.sharers.divide(name, tokens.rate);
            tokens.own.set_quota(now, quota);
            tokens.lenders = lenders;
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
            let (quota, lenders) = self.sharers.divide(name, rate);
            let tokens = match old.remove(name) {
                Some(mut tokens) => {
                    tokens.own.set_quota(now, quota);
                    tokens.rate = rate;
                    tokens.lenders = lenders;
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
                    lenders,
                },
            };
            self.tokens.insert(name.clone(), tokens);
        }
    }

    /// Counts a request that arrived.
    pub fn arrived(&mut self, now: Instant, organisation: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
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
        match lately && tokens.vain >= VAIN_MAX {
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
            Some(t) => format!(
                "{}m/s of {}/s, burst {}, {} homes near and {} far",
                t.own.quota().rate,
                t.rate.per_second,
                t.rate.burst,
                t.lenders.near.len(),
                t.lenders.far.len()
            ),
            None => "unlimited".to_owned(),
        }
    }

    /// Returns what to ask other hosts for now. `waiting` are the requests that
    /// wait for a token.
    pub fn asks(&mut self, now: Instant, waiting: &HashMap<OrganisationName, u64>) -> Vec<Want> {
        let mut asks = Vec::new();
        for (name, tokens) in &mut self.tokens {
            tokens.lapse(now);
            let kept = tokens.kept(now);
            let is_home = !tokens.own.quota().is_zero();
            let wanted = match is_home {
                // A home keeps what its zone needs.
                true => (kept + tokens.kept_for_others(now)).max(MILLI),
                // Tokens that many hosts keep for callers that come rarely would be lost to all.
                false if kept < MILLI => 0,
                false => kept,
            };
            let unpaid = waiting.get(name).map_or(0, |n| n * MILLI);
            let missing = wanted.max(unpaid);
            if tokens.own.level(now) + tokens.borrowed >= missing {
                if is_home {
                    tokens.vain = 0;
                }
                continue;
            }
            if tokens.asked.is_some_and(|at| now < at + ASK_INTERVAL) {
                continue;
            }
            if tokens.asked.is_some_and(|at| now >= at + VAIN_FOR) {
                tokens.vain = 0;
            }
            tokens.asked = Some(now);
            tokens.vain += 1;
            // Each home is asked in its turn, before its bucket runs over.
            for lenders in [&mut tokens.lenders.near, &mut tokens.lenders.far] {
                if !lenders.is_empty() {
                    lenders.rotate_left(1);
                }
            }
            asks.push(Want {
                organisation: name.clone(),
                amount: missing.max(MILLI),
                lenders: tokens.lenders.to_ask(is_home, tokens.vain),
            });
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
        let Some(tokens) = self.tokens.get_mut(organisation) else {
            return 0;
        };
        tokens.lapse(now);
        let zone = self.sharers.zone.as_ref();
        let zone = zone.and_then(|zone| self.sharers.zones.get(zone));
        // Homes that borrowed for one another would chase the same tokens.
        let is_near = zone.is_some_and(|hosts| hosts.contains(borrower))
            && !tokens.lenders.near.contains(borrower);
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

impl Tokens {
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
