//! The policy benchmark: the production decisions under virtual time, against
//! simple ways to steer.
//!
//! No process, socket or message is modelled. Small fakes (a link that counts
//! bytes, slots with a cold start, callers that cache, reports that lag) drive
//! the same pure functions that production calls, with inputs as old as there.

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

use std::thread;

use crate::policy::{
    deployment::Deployment,
    scenario::{
        Policy,
        Scenario, //
    },
    tally::Figures,
    world::World,
};

/// One run: a deployment in a scenario under a policy.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The deployment.
    pub deployment: &'static Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The way to steer.
    pub policy: Policy,
}

impl Run {
    /// Runs to the end and returns the figures; the same seed gives the same ones.
    pub fn figures(self, seed: u64) -> Figures {
        World::new(self, seed).run()
    }
}

/// Runs all of `runs` on `threads` threads, in order of their place in the list.
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
        let joined = workers.into_iter().filter_map(|w| w.join().ok());
        joined.flatten().collect()
    });
    done.sort_by_key(|(i, _)| *i);
    done.into_iter().map(|(i, f)| (runs[i], f)).collect()
}
