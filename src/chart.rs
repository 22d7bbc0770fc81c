//! Interpreter for state charts defined in TOML files.
//!
//! The states and events of a chart are enums, so parsing fails on a name that
//! the code does not know. [`Chart::parse`] also refuses a chart with an
//! unreachable state, an unused event or two targets for one state and event.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use thiserror::Error;

pub mod drain;
pub mod host;
pub mod lease;
pub mod upstream;

/// An error in a chart file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ChartError {
    /// The file is not a valid chart, or names an unknown state or event.
    #[error("the chart does not parse: {0}")]
    Syntax(String),
    /// The initial state does not lead to this state.
    #[error("chart {chart:?}: state {state} is unreachable; add a transition or drop the state")]
    Unreachable {
        /// The name given in the chart file.
        chart: String,
        /// The unreachable state.
        state: String,
    },
    /// No transition has the event.
    #[error("chart {chart:?}: event {event} is unused; add a transition or drop the event")]
    Unused {
        /// The name given in the chart file.
        chart: String,
        /// The unused event.
        event: String,
    },
    /// A state has two transitions for the same event.
    #[error("chart {chart:?}: state {state} takes event {event} twice; keep one transition")]
    Ambiguous {
        /// The name given in the chart file.
        chart: String,
        /// The state with two transitions.
        state: String,
        /// The event of both transitions.
        event: String,
    },
    /// A state that is not final has no outgoing transition, or a final one has.
    #[error("chart {chart:?}: state {state} must be either final or have a transition")]
    Final {
        /// The name given in the chart file.
        chart: String,
        /// The state whose transitions contradict `final`.
        state: String,
    },
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile<S, E> {
    name: String,
    initial: S,
    #[serde(rename = "final")]
    finals: Vec<S>,
    #[serde(rename = "transition")]
    transitions: Vec<Transition<S, E>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition<S, E> {
    from: Vec<S>,
    event: E,
    to: S,
}

/// A checked state chart over states `S` and events `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    name: String,
    initial: S,
    finals: Vec<S>,
    edges: Vec<(S, E, S)>,
}

impl<S, E> Chart<S, E>
where
    S: Copy + Ord + std::fmt::Debug + DeserializeOwned,
    E: Copy + Ord + std::fmt::Debug + DeserializeOwned,
{
    /// Parses a chart and checks it against all states and events of its enums.
    pub fn parse(text: &str, states: &[S], events: &[E]) -> Result<Self, ChartError> {
        let file: ChartFile<S, E> =
            toml::from_str(text).map_err(|e| ChartError::Syntax(e.to_string()))?;
        let mut edges = Vec::new();
        for t in &file.transitions {
            for &from in &t.from {
                edges.push((from, t.event, t.to));
            }
        }
        let chart = Self {
            name: file.name,
            initial: file.initial,
            finals: file.finals,
            edges,
        };
        chart.check_events(events)?;
        chart.check_edges()?;
        chart.check_states(states)?;
        Ok(chart)
    }

    /// Returns the name given in the chart file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether the state is final, that is, has no outgoing transition.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// Returns the state after an event, or `None` if the state has no transition for it.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        for &(from, accepted, to) in &self.edges {
            if from == state && accepted == event {
                return Some(to);
            }
        }
        None
    }

    /// Applies an event to `state`; returns whether the state has a transition for it.
    pub fn step(&self, state: &mut S, event: E) -> bool {
        let Some(to) = self.next(*state, event) else {
            return false;
        };
        *state = to;
        true
    }

    fn check_events(&self, events: &[E]) -> Result<(), ChartError> {
        for event in events {
            if self.edges.iter().any(|(_, e, _)| e == event) {
                continue;
            }
            return Err(ChartError::Unused {
                chart: self.name.clone(),
                event: format!("{event:?}"),
            });
        }
        Ok(())
    }

    fn check_edges(&self) -> Result<(), ChartError> {
        let mut seen = BTreeSet::new();
        for &(from, event, _) in &self.edges {
            if seen.insert((from, event)) {
                continue;
            }
            return Err(ChartError::Ambiguous {
                chart: self.name.clone(),
                state: format!("{from:?}"),
                event: format!("{event:?}"),
            });
        }
        Ok(())
    }

    fn check_states(&self, states: &[S]) -> Result<(), ChartError> {
        let reachable = self.reachable();
        for &state in states {
            let (chart, name) = (self.name.clone(), format!("{state:?}"));
            if !reachable.contains(&state) {
                return Err(ChartError::Unreachable { chart, state: name });
            }
            let has_exit = self.edges.iter().any(|&(from, _, _)| from == state);
            if has_exit == self.is_final(state) {
                return Err(ChartError::Final { chart, state: name });
            }
        }
        Ok(())
    }

    fn reachable(&self) -> BTreeSet<S> {
        let mut reachable = BTreeSet::from([self.initial]);
        let mut queue = vec![self.initial];
        while let Some(state) = queue.pop() {
            for &(from, _, to) in &self.edges {
                if from == state && reachable.insert(to) {
                    queue.push(to);
                }
            }
        }
        reachable
    }
}
