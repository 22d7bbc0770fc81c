//! Checks that the library's own policy meets the bounds of the policy benchmark
//! in every scenario of both deployments. `cardamomroad-policy` prints the results.

use std::process::Command;

use cardamomroad_standins::policy::{
    Run,
    deployment::{
        Deployment,
        SKYGLASS,
        THANH, //
    },
    scenario::{
        Policy,
        Scenario, //
    },
};

const SEED: u64 = 1;

fn check(deployment: &'static Deployment, scenario: Scenario) {
    let run = Run {
        deployment,
        scenario,
        policy: Policy::Cardamomroad,
    };
    let figures = run.figures(SEED);
    let misses = figures.misses(scenario);
    assert!(misses.is_empty(), "{misses:?}: {figures:?}");
}

macro_rules! bounds {
    ($($thanh:ident, $skyglass:ident: $scenario:ident;)*) => {$(
        #[test]
        fn $thanh() {
            check(&THANH, Scenario::$scenario);
        }

        #[test]
        fn $skyglass() {
            check(&SKYGLASS, Scenario::$scenario);
        }
    )*};
}

bounds! {
    thanh_steady, skyglass_steady: Steady;
    thanh_flood, skyglass_flood: Flood;
    thanh_region_lost, skyglass_region_lost: RegionLost;
    thanh_drain, skyglass_drain: Drain;
    thanh_cold_shift, skyglass_cold_shift: ColdShift;
    thanh_measurements_stop, skyglass_measurements_stop: MeasurementsStop;
    thanh_false_reports, skyglass_false_reports: FalseReports;
    thanh_store_out, skyglass_store_out: StoreOut;
    thanh_zone_cut, skyglass_zone_cut: ZoneCut;
    thanh_skew, skyglass_skew: Skew;
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let run = Run {
        deployment: &THANH,
        scenario: Scenario::Drain,
        policy: Policy::Cardamomroad,
    };
    assert_eq!(run.figures(2), run.figures(2));
}

/// Runs `cardamomroad-policy` with the arguments and returns its exit code and error output.
fn run_program(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_cardamomroad-policy"))
        .args(args)
        .output()
        .expect("program starts");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), errors)
}

/// A run that tests nothing must not look like one that passed.
#[test]
fn a_benchmark_that_would_run_nothing_is_rejected() {
    let (code, errors) = run_program(&["--deployment", "nowhere"]);
    assert_eq!(code, Some(2), "{errors}");
    assert!(
        errors.contains("nowhere") && errors.contains(THANH.name),
        "{errors}"
    );
    let (code, errors) = run_program(&["--threads", "0"]);
    assert_eq!(code, Some(2), "{errors}");
    assert!(errors.contains("--threads"), "{errors}");
}
