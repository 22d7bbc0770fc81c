//! Organisations' rates, divided evenly among the hosts, with loans of tokens.
//!
//! A host that runs short asks another one for tokens. Tokens that are granted
//! leave the lender's bucket before the message does, so that a lost message
//! loses tokens and never doubles them. Borrowed tokens lapse soon.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::model::Rate;
use crate::{
    bucket::{
        Bucket,
        Quota, //
    },
    retry::DrainMeter,
    util::id::OrganisationName,
};

/// Thousandths in a request.
const MILLI: u64 = 1000;
/// How long borrowed tokens may be spent.
const BORROWED_FOR: Duration = Duration::from_millis(2000);
/// The span of its own demand for which a host keeps tokens.
const KEPT_SPAN: Duration = Duration::from_millis(400);
/// The time between two asks for the same organisation.
const ASK_INTERVAL: Duration = Duration::from_millis(60);
/// The time after which an ask that brought nothing shows that there is nothing to lend.
const FRUITLESS_AFTER: Duration = Duration::from_millis(250);

/// One organisation's tokens on this host, in thousandths of a request.
#[derive(Clone, Debug)]
struct Tokens {
    rate: Rate,
    own: Bucket,
    borrowed: u64,
    borrowed_until: Instant,
    /// Requests a second, the refused ones among them.
    demand: DrainMeter,
    asked: Option<Instant>,
    /// Since when asks bring nothing.
    fruitless: Option<Instant>,
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
#[derive(Clone, Debug)]
pub struct Quotas {
    hosts: u32,
    tokens: HashMap<OrganisationName, Tokens>,
}

impl Quotas {
    /// Returns the quotas of a fleet of so many hosts, with empty buckets.
    pub fn new(hosts: u32) -> Self {
        Self {
            hosts: hosts.max(1),
            tokens: HashMap::new(),
        }
    }

    /// Changes the number of hosts that share the rates.
    pub fn set_hosts(&mut self, now: Instant, hosts: u32) {
        if hosts.max(1) == self.hosts {
            return;
        }
        self.hosts = hosts.max(1);
        for tokens in self.tokens.values_mut() {
            tokens
                .own
                .set_quota(now, own_quota(tokens.rate, self.hosts));
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
            let quota = own_quota(rate, self.hosts);
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
                    asked: None,
                    fruitless: None,
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
        let fruitless = |since| now.saturating_duration_since(since) >= FRUITLESS_AFTER;
        match tokens.fruitless.is_some_and(fruitless) {
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
                "1/{} of {}/s, burst {}",
                self.hosts, t.rate.per_second, t.rate.burst
            ),
            None => "unlimited".to_owned(),
        }
    }

    /// Returns what to ask other hosts for now, in thousandths of a request.
    pub fn asks(&mut self, now: Instant) -> Vec<(OrganisationName, u64)> {
        let mut asks = Vec::new();
        for (name, tokens) in &mut self.tokens {
            tokens.lapse(now);
            let kept = tokens.kept(now);
            if tokens.own.level(now) + tokens.borrowed >= kept.max(MILLI) {
                tokens.fruitless = None;
                continue;
            }
            if tokens.asked.is_some_and(|at| now < at + ASK_INTERVAL) {
                continue;
            }
            tokens.asked = Some(now);
            tokens.fruitless.get_or_insert(now);
            asks.push((name.clone(), kept.max(MILLI)));
        }
        asks
    }

    /// Takes tokens out for another host; returns how many.
    pub fn lend(&mut self, now: Instant, organisation: &OrganisationName, wanted: u64) -> u64 {
        let Some(tokens) = self.tokens.get_mut(organisation) else {
            return 0;
        };
        let kept = tokens.kept(now);
        let granted = tokens.own.level(now).saturating_sub(kept).min(wanted);
        match tokens.own.debit(now, granted) {
            true => granted,
            false => 0,
        }
    }

    /// Takes in tokens that another host gave up.
    pub fn deposit(&mut self, now: Instant, organisation: &OrganisationName, granted: u64) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.lapse(now);
            tokens.borrowed = tokens.borrowed.saturating_add(granted);
            tokens.borrowed_until = now + BORROWED_FOR;
            tokens.fruitless = None;
        }
    }
}

impl Tokens {
    fn lapse(&mut self, now: Instant) {
        if self.borrowed_until <= now {
            self.borrowed = 0;
        }
    }

    /// Returns the tokens that the host's own callers are about to need.
    fn kept(&self, now: Instant) -> u64 {
        let requests = self.demand.rate_at(now) * KEPT_SPAN.as_secs_f64();
        (requests * MILLI as f64) as u64
    }
}

/// Returns one host's part of a rate, in thousandths of a request.
fn own_quota(rate: Rate, hosts: u32) -> Quota {
    let part = |whole: f64| (whole.max(0.0) * MILLI as f64 / f64::from(hosts)) as u64;
    // A bucket that cannot hold one token would never let a request pass.
    Quota::new(part(rate.per_second), part(rate.burst).max(MILLI))
}
