//! Weighted max-min fairness between organisations, in whole units.
//!
//! [`divide`] maximises each claim's share without reducing the share of a claim
//! that has less relative to its weight. [`Slots`] approximates the same division
//! one request at a time.

use std::collections::BTreeMap;

use crate::util::id::OrganisationName;

/// One claim on a capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The maximum number of units that the claim can use.
    pub demand: u64,
    /// The weight of the claim; 0 counts as 1.
    pub weight: u32,
}

impl Claim {
    /// Creates a claim on up to `demand` units.
    pub const fn new(demand: u64, weight: u32) -> Self {
        Self { demand, weight }
    }

    fn weight(&self) -> u128 {
        u128::from(self.weight.max(1))
    }
}

/// Divides a capacity between claims by weighted max-min fairness.
///
/// The shares add up to the smaller of the capacity and the total demand, and no
/// share exceeds its demand. Shares are rounded down, and the remaining units go
/// one each to the claims with the largest fractional parts, earlier ones first.
pub fn divide(capacity: u64, claims: &[Claim]) -> Vec<u64> {
    let mut shares = vec![0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len()).collect();
    // Claims are filled in ascending order of demand per unit of weight.
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

/// Divides the remaining capacity between claims that all demand more than their share.
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
        // The share is below the claim's demand, so it fits into 64 bits.
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

/// One organisation's running and waiting requests, and its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    in_flight: u64,
    waiting: u64,
    weight: u32,
}

/// The slots of one pool, allotted to organisations by weighted max-min fairness.
#[derive(Clone, Debug, Default)]
pub struct Slots {
    capacity: u64,
    in_flight: u64,
    waiting: u64,
    usages: BTreeMap<OrganisationName, Usage>,
}

impl Slots {
    /// Creates a pool of `capacity` slots, all free.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Changes the number of slots. Requests in flight keep theirs, even above the new number.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Records that a request of an organisation waits for a slot, and the organisation's weight.
    pub fn wait(&mut self, name: &OrganisationName, weight: u32) {
        let entry = self.usages.entry(name.clone()).or_default();
        entry.weight = weight;
        entry.waiting += 1;
        self.waiting += 1;
    }

    /// Records that a waiting request was cancelled or expired.
    pub fn cancel_wait(&mut self, name: &OrganisationName) {
        let Some(entry) = self.usages.get_mut(name).filter(|u| u.waiting > 0) else {
            return;
        };
        entry.waiting -= 1;
        self.waiting -= 1;
        self.forget_idle(name);
    }

    /// Starts a waiting request of an organisation if a slot is free and no
    /// other waiting organisation is further below its share. Takes time linear
    /// in the number of organisations with waiting or running requests.
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

    /// Returns the organisation whose waiting request may start next; `None` if no slot
    /// is free or no request waits.
    pub fn next(&self) -> Option<&OrganisationName> {
        if self.in_flight >= self.capacity {
            return None;
        }
        let waiting = self.usages.iter().filter(|(_, u)| u.waiting > 0);
        let least = waiting.min_by(|a, b| compare_usage(a.1, b.1));
        least.map(|(name, _)| name)
    }

    /// Records that a running request of an organisation ended.
    pub fn finish(&mut self, name: &OrganisationName) {
        let Some(entry) = self.usages.get_mut(name).filter(|u| u.in_flight > 0) else {
            return;
        };
        entry.in_flight -= 1;
        self.in_flight -= 1;
        self.forget_idle(name);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Returns the number of one organisation's requests in flight.
    pub fn running(&self, name: &OrganisationName) -> u64 {
        self.usages.get(name).map_or(0, |u| u.in_flight)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Returns each organisation's share of the slots at its current demand.
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

/// Compares the slots per unit of weight that two organisations would use
/// after starting one more request.
fn compare_usage(a: &Usage, b: &Usage) -> std::cmp::Ordering {
    let left = u128::from(a.in_flight + 1) * u128::from(b.weight.max(1));
    let right = u128::from(b.in_flight + 1) * u128::from(a.weight.max(1));
    left.cmp(&right)
}
