//! Tests that the chart files are valid and that the parser rejects invalid charts.

use cardamomroad::chart::{
    Chart,
    ChartError,
    drain,
    host,
    lease,
    upstream, //
};
use serde::Deserialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    On,
    Off,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Event {
    Up,
    Down,
}

fn parse(transitions: &[(&str, &str, &str)], finals: &str) -> Result<(), ChartError> {
    let mut text = format!("name = \"switch\"\ninitial = \"off\"\nfinal = [{finals}]\n");
    for (from, event, to) in transitions {
        text +=
            &format!("[[transition]]\nfrom = [\"{from}\"]\nevent = \"{event}\"\nto = \"{to}\"\n");
    }
    let states = [State::On, State::Off];
    Chart::parse(&text, &states, &[Event::Up, Event::Down]).map(|_| ())
}

#[test]
fn all_files_parse() {
    Chart::parse(
        upstream::CHART,
        &upstream::UpstreamState::ALL,
        &upstream::UpstreamEvent::ALL,
    )
    .expect("upstream");
    Chart::parse(host::CHART, &host::HostState::ALL, &host::HostEvent::ALL).expect("host");
    Chart::parse(
        drain::CHART,
        &drain::DrainState::ALL,
        &drain::DrainEvent::ALL,
    )
    .expect("drain");
    Chart::parse(
        lease::CHART,
        &lease::LeaseState::ALL,
        &lease::LeaseEvent::ALL,
    )
    .expect("lease");
}

#[test]
fn faulty_charts_are_refused() {
    let up = ("off", "up", "on");
    let down = ("on", "down", "off");
    assert_eq!(parse(&[up, down], ""), Ok(()));
    assert!(matches!(parse(&[up], ""), Err(ChartError::Unused { .. })));
    assert!(matches!(
        parse(&[("off", "up", "off"), down], ""),
        Err(ChartError::Unreachable { .. })
    ));
    assert!(matches!(
        parse(&[up, down, ("off", "up", "off")], ""),
        Err(ChartError::Ambiguous { .. })
    ));
    assert!(matches!(
        parse(&[up, ("off", "down", "off")], ""),
        Err(ChartError::Final { .. })
    ));
    assert!(matches!(
        parse(&[up, ("on", "sideways", "off")], ""),
        Err(ChartError::Syntax(_))
    ));
}

#[test]
fn a_leaving_upstream_gets_no_work_until_the_drain_is_cancelled() {
    use upstream::{
        UpstreamEvent as E,
        UpstreamState as S, //
    };
    let chart = upstream::chart();
    let mut state = chart.initial();
    assert!(chart.step(&mut state, E::Warmed));
    assert!(chart.step(&mut state, E::DrainStarted));
    for event in [E::Warmed, E::Restarted, E::Answered, E::Failed] {
        assert!(!chart.step(&mut state, event), "{event:?}");
        assert_eq!(state, S::Draining);
    }
    assert!(chart.step(&mut state, E::DrainCancelled));
    assert_eq!(state, S::Cold);
}
