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
    util::id::OrganisationName,
};

/// Thousandths in a request.
const MILLI: u64 = 1000;
/// How long borrowed tokens may be spent.
const BORROWED_FOR: Duration = Duration::from_millis(800);
/// The part of its bucket that a lender keeps, one in this many.
const KEPT_PART: u64 = 4;

/// One organisation's tokens on this host, in thousandths of a request.
#[derive(Clone, Debug)]
struct Tokens {
    rate: Rate,
    own: Bucket,
    borrowed: u64,
    borrowed_until: Instant,
    missing: u64,
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
                    missing: 0,
                },
            };
            self.tokens.insert(name.clone(), tokens);
        }
    }

    /// Takes a request's token; returns whether it may run.
    pub fn debit(&mut self, now: Instant, organisation: &OrganisationName) -> bool {
        let Some(tokens) = self.tokens.get_mut(organisation) else {
            return true;
        };
        tokens.lapse(now);
        if tokens.borrowed >= MILLI {
            tokens.borrowed -= MILLI;
            return true;
        }
        if tokens.own.debit(now, MILLI) {
            return true;
        }
        tokens.missing = tokens.missing.saturating_add(MILLI);
        false
    }

    /// Gives the token of a request back that did not run.
    pub fn refund(&mut self, now: Instant, organisation: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(organisation) {
            tokens.own.deposit(now, MILLI);
        }
    }

    /// Returns what this host misses, in thousandths of a request, and forgets it.
    pub fn take_missing(&mut self) -> Vec<(OrganisationName, u64)> {
        let mut missing = Vec::new();
        for (name, tokens) in &mut self.tokens {
            if tokens.missing > 0 {
                missing.push((name.clone(), std::mem::take(&mut tokens.missing)));
            }
        }
        missing
    }

    /// Takes tokens out for another host; returns how many.
    pub fn lend(&mut self, now: Instant, organisation: &OrganisationName, wanted: u64) -> u64 {
        let Some(tokens) = self.tokens.get_mut(organisation) else {
            return 0;
        };
        let kept = tokens.own.quota().burst / KEPT_PART;
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
        }
    }
}

impl Tokens {
    fn lapse(&mut self, now: Instant) {
        if self.borrowed_until <= now {
            self.borrowed = 0;
        }
    }
}

/// Returns one host's part of a rate, in thousandths of a request.
fn own_quota(rate: Rate, hosts: u32) -> Quota {
    let part = |whole: f64| (whole.max(0.0) * MILLI as f64 / f64::from(hosts)) as u64;
    // A bucket that cannot hold one token would never let a request pass.
    Quota::new(part(rate.per_second), part(rate.burst).max(MILLI))
}
