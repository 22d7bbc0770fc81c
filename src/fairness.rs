//! Weighted max-min division between organisations, in whole units.
//!
//! [`divide`] gives every claim the most that can be had without taking from a
//! claim that has less for its weight. [`Slots`] applies it request by request.

use std::collections::BTreeMap;

use crate::util::id::OrganisationName;

/// One claim on a capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The most units that the claim can use.
    pub demand: u64,
    /// Its weight; zero counts as one.
    pub weight: u32,
}

impl Claim {
    /// Returns a claim.
    pub const fn new(demand: u64, weight: u32) -> Self {
        Self { demand, weight }
    }

    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Divides a capacity between claims by weighted max-min.
///
/// The parts sum to the smaller of the capacity and the whole demand, and no
/// part exceeds its demand. Fractions are rounded down, and the units left over
/// go one each to the claims with the largest fractions, earlier ones first.
pub fn divide(capacity: u64, claims: &[Claim]) -> Vec<u64> {
    let mut shares = vec![0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len()).collect();
    // A claim is filled in order of its demand for each unit of weight.
    order.sort_by(|&a, &b| {
        let left = u128::from(claims[a].demand) * claims[b].weight();
        let right = u128::from(claims[b].demand) * claims[a].weight();
        left.cmp(&right).then(a.cmp(&b))
    });
    let mut left = u128::from(capacity);
    let mut weights: u128 = claims.iter().map(Claim::weight).sum();
    for (filled, &i) in order.iter().enumerate() {
        let claim = &claims[i];
        if u128::from(claim.demand) * weights > left * claim.weight() {
            divide_remainder(left, weights, &order[filled..], claims, &mut shares);
            return shares;
        }
        shares[i] = claim.demand;
        left -= u128::from(claim.demand);
        weights -= claim.weight();
    }
    shares
}

/// Divides what is left between claims that all want more than their part.
fn divide_remainder(
    left: u128,
    weights: u128,
    open: &[usize],
    claims: &[Claim],
    shares: &mut [u64],
) {
    let mut remainder = left;
    let mut fractions: Vec<(u128, usize)> = Vec::with_capacity(open.len());
    for &i in open {
        let scaled = left * claims[i].weight();
        let share = scaled / weights;
        // The part is below the claim's demand, which fits.
        shares[i] = u64::try_from(share).unwrap_or(claims[i].demand);
        remainder -= share;
        fractions.push((scaled % weights, i));
    }
    fractions.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
    for &(_, i) in fractions
        .iter()
        .take(usize::try_from(remainder).unwrap_or(usize::MAX))
    {
        shares[i] += 1;
    }
}

/// What one organisation does at a pool of slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    in_flight: u64,
    waiting: u64,
    weight: u32,
}

/// The slots of one pool, given to organisations by weighted max-min.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    capacity: u64,
    in_flight: u64,
    waiting: u64,
    usages: BTreeMap<OrganisationName, Usage>,
}

impl Slots {
    /// Returns a pool with this many slots.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Changes the number of slots; requests in flight stay.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Records that a request waits for a slot.
    pub fn wait(&mut self, name: &OrganisationName, weight: u32) {
        let entry = self.usages.entry(name.clone()).or_default();
        entry.weight = weight;
        entry.waiting += 1;
        self.waiting += 1;
    }

    /// Records that a waiting request gave up.
    pub fn cancel_wait(&mut self, name: &OrganisationName) {
        let Some(entry) = self.usages.get_mut(name).filter(|u| u.waiting > 0) else {
            return;
        };
        entry.waiting -= 1;
        self.waiting -= 1;
        self.forget_idle(name);
    }

    /// Starts a waiting request of an organisation if a slot is free and no
    /// other waiting organisation is further below its part. Costs one pass
    /// over the organisations that wait or run.
    pub fn start(&mut self, name: &OrganisationName) -> bool {
        if self.in_flight >= self.capacity || !self.may_start(name) {
            return false;
        }
        let Some(entry) = self.usages.get_mut(name).filter(|u| u.waiting > 0) else {
            return false;
        };
        entry.waiting -= 1;
        entry.in_flight += 1;
        self.waiting -= 1;
        self.in_flight += 1;
        true
    }

    /// Returns the organisation whose waiting request may start next.
    pub fn next(&self) -> Option<&OrganisationName> {
        if self.in_flight >= self.capacity {
            return None;
        }
        let waiting = self.usages.iter().filter(|(_, u)| u.waiting > 0);
        let least = waiting.min_by(|a, b| compare_usage(a.1, b.1));
        least.map(|(name, _)| name)
    }

    /// Records that a request ended.
    pub fn finish(&mut self, name: &OrganisationName) {
        let Some(entry) = self.usages.get_mut(name).filter(|u| u.in_flight > 0) else {
            return;
        };
        entry.in_flight -= 1;
        self.in_flight -= 1;
        self.forget_idle(name);
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the requests of one organisation in flight.
    pub fn running(&self, name: &OrganisationName) -> u64 {
        self.usages.get(name).map_or(0, |u| u.in_flight)
    }

    /// Returns the waiting requests.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Returns each organisation's part of the slots at its present demand.
    pub fn shares(&self) -> Vec<(OrganisationName, u64)> {
        let demand = |u: &Usage| Claim::new(u.in_flight + u.waiting, u.weight);
        let claims: Vec<Claim> = self.usages.values().map(demand).collect();
        let shares = divide(self.capacity, &claims);
        self.usages.keys().cloned().zip(shares).collect()
    }

    fn may_start(&self, name: &OrganisationName) -> bool {
        let Some(own) = self.usages.get(name) else {
            return false;
        };
        for (other, entry) in &self.usages {
            if other == name || entry.waiting == 0 {
                continue;
            }
            if compare_usage(entry, own).is_lt() {
                return false;
            }
        }
        true
    }

    fn forget_idle(&mut self, name: &OrganisationName) {
        if self
            .usages
            .get(name)
            .is_some_and(|u| u.in_flight + u.waiting == 0)
        {
            self.usages.remove(name);
        }
    }
}

/// Compares the slots for each unit of weight that two organisations would
/// have after one more start.
fn compare_usage(a: &Usage, b: &Usage) -> std::cmp::Ordering {
    let left = u128::from(a.in_flight + 1) * u128::from(b.weight.max(1));
    let right = u128::from(b.in_flight + 1) * u128::from(a.weight.max(1));
    left.cmp(&right)
}
