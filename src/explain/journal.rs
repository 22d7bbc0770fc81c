//! A bounded in-memory log of the latest decisions.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    explain::{
        Decision,
        Record, //
    },
    refusal::Reason,
    util::id::RequestId,
};

/// The latest records, up to a fixed capacity. The oldest one is dropped when it is full.
#[derive(Clone, Debug)]
pub struct Journal {
    capacity: usize,
    /// The sequence number of the oldest record held.
    first: u64,
    records: VecDeque<Record>,
    /// The sequence numbers of each request's records, oldest first.
    requests: HashMap<RequestId, Vec<u64>>,
    /// The count of refusals for each reason since the start, including dropped records.
    refusals: HashMap<Reason, u64>,
}

impl Journal {
    /// Returns an empty journal that holds up to `capacity` records, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            first: 0,
            records: VecDeque::with_capacity(capacity.max(1)),
            requests: HashMap::new(),
            refusals: HashMap::new(),
        }
    }

    /// Appends a record and drops the oldest one if the journal is full.
    pub fn push(&mut self, record: Record) {
        if self.records.len() == self.capacity {
            self.drop_oldest();
        }
        if let Decision::Refused { reason, .. } = &record.decision {
            *self.refusals.entry(*reason).or_default() += 1;
        }
        if let Some(request) = &record.request {
            let number = self.first + self.records.len() as u64;
            let numbers = self.requests.entry(request.clone()).or_default();
            numbers.push(number);
        }
        self.records.push_back(record);
    }

    /// Returns the records about a request, oldest first.
    pub fn request(&self, id: &RequestId) -> impl Iterator<Item = &Record> {
        let numbers = self.requests.get(id).map_or(&[][..], Vec::as_slice);
        numbers
            .iter()
            .filter_map(|n| self.records.get((n - self.first) as usize))
    }

    /// Returns the refusals held, oldest first.
    pub fn refusals(&self) -> impl Iterator<Item = &Record> {
        let refused = |record: &&Record| matches!(record.decision, Decision::Refused { .. });
        self.records.iter().filter(refused)
    }

    /// Returns how many requests were refused for a reason since the start.
    pub fn refusal_count(&self, reason: Reason) -> u64 {
        self.refusals.get(&reason).copied().unwrap_or_default()
    }

    /// Returns the planner's records held, oldest first.
    pub fn plan(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(|record| {
            let decision = &record.decision;
            matches!(
                decision,
                Decision::Planned { .. } | Decision::Steered(_) | Decision::Held { .. }
            )
        })
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.records.pop_front() else {
            return;
        };
        self.first += 1;
        let Some(id) = oldest.request else {
            return;
        };
        let Some(numbers) = self.requests.get_mut(&id) else {
            return;
        };
        numbers.retain(|&n| n >= self.first);
        if numbers.is_empty() {
            self.requests.remove(&id);
        }
    }
}
