//! The policy benchmark: a discrete-event simulation that compares the
//! production routing decisions with simple baseline policies.
//!
//! Processes, sockets and messages are not modelled. Small fakes (a link that
//! counts bytes, upstreams with cold caches, callers that cache look-ups, delayed
//! reports) call the same pure functions as production, with equally stale inputs.

pub mod choice;
pub mod deployment;
pub mod fakes;
pub mod flow;
pub mod planning;
pub mod report;
pub mod scenario;
pub mod setup;
pub mod tally;
pub mod world;

use std::{
    panic::resume_unwind,
    thread, //
};

use crate::policy::{
    deployment::Deployment,
    scenario::{
        Policy,
        Scenario, //
    },
    tally::Figures,
    world::World,
};

/// One simulation run: a deployment, a scenario and a routing policy.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Topology, capacities and load.
    pub deployment: &'static Deployment,
    /// The fault or change in demand that the run simulates.
    pub scenario: Scenario,
    /// How requests are routed.
    pub policy: Policy,
}

impl Run {
    /// Runs the simulation and returns its results, which depend only on `seed`.
    pub fn figures(self, seed: u64) -> Figures {
        World::new(self, seed).run()
    }
}

/// Executes `runs` on `threads` threads and returns the results in the order of `runs`. A panic of a
/// run is passed on.
pub fn run_all(runs: &[Run], seed: u64, threads: usize) -> Vec<(Run, Figures)> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let mut done: Vec<(usize, Figures)> = thread::scope(|scope| {
        let work = || {
            let mut done = Vec::new();
            loop {
                let i = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(run) = runs.get(i) else {
                    return done;
                };
                done.push((i, run.figures(seed)));
            }
        };
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let joined = workers
            .into_iter()
            .map(|w| w.join().unwrap_or_else(|panic| resume_unwind(panic)));
        joined.flatten().collect()
    });
    done.sort_by_key(|(i, _)| *i);
    done.into_iter().map(|(i, f)| (runs[i], f)).collect()
}
