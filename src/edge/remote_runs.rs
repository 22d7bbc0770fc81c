//! Requests that other hosts run on upstreams, tracked by the scheduler of those upstreams.
//!
//! A run is one attempt of a request on an upstream. It is identified by its host and a number that
//! the host assigned, so a duplicate message counts once. After a lost message the count is too
//! high or too low until the host next sends the full list of its runs.

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;

use super::{
    datagram::RunId,
    upstreams::UpstreamKey, //
};
use crate::{
    quarantine::UpstreamStart,
    util::id::{
        HostName,
        Incarnation, //
    },
};

/// How long a granted run may be missing from its host's list of runs, since the grant may still be
/// in transit: twice the longest latency between regions.
const GRANT_TRANSIT_MAX: Duration = Duration::from_millis(400);

/// One attempt of a request on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// The upstream that serves the request.
    pub upstream: UpstreamKey,
    /// The start of the upstream when the run began; `None` if it is not known.
    pub start: Option<UpstreamStart>,
    /// Hash of the request's route; `None` if the run is known only from its host's list of runs.
    pub route: Option<u64>,
    /// Position of the request's object in the upstream's most-recently-used list when the run
    /// began, or `None` if it was not in the list.
    pub list_index: Option<usize>,
    /// When this host first learned of the run.
    pub since: Instant,
}

/// An upstream and the change in its number of runs.
pub type RunChange = (UpstreamKey, i64);

/// The runs of one host.
#[derive(Clone, Debug, Default)]
struct HostRuns {
    incarnation: Incarnation,
    last_message: Option<Instant>,
    runs: HashMap<RunId, Run>,
}

/// The runs of all other hosts.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    hosts: HashMap<HostName, HostRuns>,
}

impl Runs {
    /// Returns a host's runs, after removing those of an earlier process of the host.
    fn host_runs(
        &mut self,
        now: Instant,
        host: &HostName,
        incarnation: Incarnation,
        changes: &mut Vec<RunChange>,
    ) -> &mut HostRuns {
        let runs = self.hosts.entry(host.clone()).or_default();
        runs.last_message = Some(now);
        if runs.incarnation != incarnation {
            runs.incarnation = incarnation;
            changes.extend(runs.runs.drain().map(|(_, run)| (run.upstream, -1)));
        }
        runs
    }

    /// Records a run and returns the changes in the upstreams' numbers of runs.
    pub fn start(
        &mut self,
        host: &HostName,
        incarnation: Incarnation,
        id: RunId,
        run: Run,
    ) -> Vec<RunChange> {
        let mut changes = Vec::new();
        let runs = self.host_runs(run.since, host, incarnation, &mut changes);
        changes.push((run.upstream, 1));
        if let Some(previous) = runs.runs.insert(id, run) {
            changes.push((previous.upstream, -1));
        }
        changes
    }

    /// Removes a run of a process that has ended; returns `None` if it was not known.
    pub fn finish(&mut self, host: &HostName, incarnation: Incarnation, id: RunId) -> Option<Run> {
        let runs = self.hosts.get_mut(host)?;
        if runs.incarnation != incarnation {
            return None;
        }
        runs.runs.remove(&id)
    }

    /// Removes the runs of a host's earlier processes, and returns the changes in the upstreams'
    /// numbers of runs.
    pub fn forget_earlier(
        &mut self,
        now: Instant,
        host: &HostName,
        incarnation: Incarnation,
    ) -> Vec<RunChange> {
        let mut changes = Vec::new();
        self.host_runs(now, host, incarnation, &mut changes);
        changes
    }

    /// Replaces a host's runs by its full list, except for runs granted only recently. Returns the
    /// changes in the upstreams' numbers of runs.
    pub fn reconcile(
        &mut self,
        now: Instant,
        host: &HostName,
        incarnation: Incarnation,
        held: &[(RunId, UpstreamKey)],
    ) -> Vec<RunChange> {
        let mut changes = Vec::new();
        let runs = &mut self.host_runs(now, host, incarnation, &mut changes).runs;
        runs.retain(|id, run| {
            let is_recent = now.saturating_duration_since(run.since) < GRANT_TRANSIT_MAX;
            let is_kept = is_recent || held.iter().any(|(held, _)| held == id);
            if !is_kept {
                changes.push((run.upstream, -1));
            }
            is_kept
        });
        for &(id, upstream) in held {
            runs.entry(id).or_insert_with(|| {
                changes.push((upstream, 1));
                Run {
                    upstream,
                    start: None,
                    route: None,
                    list_index: None,
                    since: now,
                }
            });
        }
        changes
    }

    /// Removes the runs of hosts from which no message has arrived since `earliest`.
    pub fn expire(&mut self, earliest: Option<Instant>) {
        self.hosts
            .retain(|_, runs| runs.last_message.is_none_or(|at| Some(at) >= earliest));
    }

    /// Returns the number of runs on each upstream.
    pub fn by_upstream(&self) -> HashMap<UpstreamKey, u32> {
        let mut counts = HashMap::new();
        for run in self.hosts.values().flat_map(|h| h.runs.values()) {
            *counts.entry(run.upstream).or_default() += 1;
        }
        counts
    }
}
