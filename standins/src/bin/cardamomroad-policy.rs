//! Runs the policy benchmark and writes the results as tables, CSV and plots.

use std::{
    num::NonZeroUsize,
    path::PathBuf,
    process::ExitCode,
    thread, //
};

use cardamomroad_standins::policy::{
    Run,
    deployment::{
        Deployment,
        SKYGLASS,
        THANH, //
    },
    report::{
        self,
        Source, //
    },
    run_all,
    scenario::{
        Policy,
        Scenario, //
    }, //
};
use clap::{
    Parser,
    ValueEnum,
    builder::PossibleValuesParser, //
};
use eyre::Result;

/// Compares the library's routing decisions with simple policies, in virtual time.
///
/// Exits with status 1 if the library's own policy violates a bound.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// Seed of all random numbers; the same seed gives the same figures.
    #[arg(long, env = "CARDAMOMROAD_SEED", default_value_t = 1)]
    seed: u64,
    /// Scenario to run; may be repeated. Runs all by default.
    #[arg(long, value_enum)]
    scenario: Vec<Scenario>,
    /// Policy to run; may be repeated. Runs all by default.
    #[arg(long, value_enum)]
    policy: Vec<Policy>,
    /// Deployment to run. Runs both by default.
    #[arg(long, value_parser = PossibleValuesParser::new([THANH.name, SKYGLASS.name]))]
    deployment: Option<String>,
    /// Folder for policy.md, policy.csv and the plots.
    #[arg(long, env = "CARDAMOMROAD_OUT")]
    out: Option<PathBuf>,
    /// Commit hash to print in the report.
    #[arg(long, env = "CARDAMOMROAD_COMMIT", default_value = "unknown")]
    commit: String,
    /// Number of threads; by default one per core.
    #[arg(long, env = "CARDAMOMROAD_THREADS")]
    threads: Option<NonZeroUsize>,
}

impl Cli {
    fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for deployment in [&THANH, &SKYGLASS] {
            if !self.wants(deployment) {
                continue;
            }
            for &scenario in chosen(&self.scenario) {
                for &policy in chosen(&self.policy) {
                    runs.push(Run {
                        deployment,
                        scenario,
                        policy,
                    });
                }
            }
        }
        runs
    }

    fn wants(&self, deployment: &Deployment) -> bool {
        let named = self.deployment.as_deref();
        named.is_none_or(|name| name == deployment.name)
    }
}

/// Returns the values given on the command line, or all values if there are none.
fn chosen<T: ValueEnum>(named: &[T]) -> &[T] {
    match named.is_empty() {
        true => T::value_variants(),
        false => named,
    }
}

fn run(cli: &Cli) -> Result<ExitCode> {
    let cores = thread::available_parallelism().unwrap_or(NonZeroUsize::MIN);
    let threads = cli.threads.unwrap_or(cores);
    let results = run_all(&cli.runs(), cli.seed, threads.get());
    print!("{}", report::tables(&results));
    if let Some(folder) = &cli.out {
        let source = Source {
            seed: cli.seed,
            commit: cli.commit.clone(),
        };
        report::write(folder, &source, &results)?;
    }
    let failed_runs = report::failed_runs(&results);
    for (run, misses) in &failed_runs {
        let scenario = report::name(run.scenario);
        println!("red: {} {scenario}: {misses:?}", run.deployment.name);
    }
    Ok(match failed_runs.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(2)
        }
    }
}
