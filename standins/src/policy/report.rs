//! Writes benchmark results as Markdown tables, CSV and plots.

use std::{
    fmt::Write as _,
    fs,
    path::Path, //
};

use clap::ValueEnum;
use plotters::prelude::*;
use serde::Serialize;
use thiserror::Error;

use crate::policy::{
    Run,
    scenario::{
        Policy,
        Scenario, //
    },
    tally::{
        Figures,
        Miss, //
    },
};

/// The width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (1500, 1100);
/// The height of a panel's caption in pixels.
const CAPTION_HEIGHT: u32 = 18;
/// The fraction of a scenario's width that its bars fill.
const BARS_WIDTH_FRACTION: f64 = 0.8;
/// The bar colours, in the order of [`Policy`]'s variants.
const COLOURS: [RGBColor; 5] = [
    RGBColor(0x1b, 0x62, 0xa5),
    RGBColor(0xd9, 0x7b, 0x1a),
    RGBColor(0x6a, 0x9f, 0x3a),
    RGBColor(0xa4, 0x3a, 0x3a),
    RGBColor(0x88, 0x88, 0x88),
];

/// An error while writing a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file could not be written.
    #[error("cannot write {path:?}: {source}; choose a writable folder")]
    Write {
        /// Path of the file or folder.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The CSV could not be written.
    #[error("cannot write the CSV file: {0}")]
    Csv(#[from] csv::Error),
    /// The plot could not be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
}

/// The inputs that identify a set of results.
#[derive(Clone, Debug)]
pub struct Source {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Commit of the measured code, as given on the command line.
    pub commit: String,
}

/// The runs of one report with their results.
pub type Results = [(Run, Figures)];

#[derive(Serialize)]
struct Row<'a> {
    commit: &'a str,
    seed: u64,
    deployment: &'a str,
    scenario: String,
    policy: String,
    misses: String,
    short_p50_ms: f64,
    short_p99_ms: f64,
    upload_p50_ms: f64,
    upload_p99_ms: f64,
    link_peak: f64,
    drain_ratio: Option<f64>,
    worst_share: f64,
    wrongful_ppm: f64,
    wrongful_rate_ppm: f64,
    overloads: u64,
    over_rate: u64,
    lost: u64,
    requests: u64,
}

/// Returns the command-line name of a value.
pub fn name<T: ValueEnum>(value: T) -> String {
    let shown = value.to_possible_value();
    shown.map_or_else(String::new, |v| v.get_name().to_owned())
}

/// Returns the runs of [`Policy::Cardamomroad`] that violate a bound, with the violations.
pub fn failed_runs(results: &Results) -> Vec<(Run, Vec<Miss>)> {
    let own = results
        .iter()
        .filter(|(run, _)| run.policy == Policy::Cardamomroad);
    let misses = own.map(|(run, figures)| (*run, figures.misses(run.scenario)));
    misses.filter(|(_, misses)| !misses.is_empty()).collect()
}

/// Formats a Markdown table for each deployment.
pub fn tables(results: &Results) -> String {
    let mut text = String::new();
    let mut names: Vec<&str> = results.iter().map(|(r, _)| r.deployment.name).collect();
    names.dedup();
    for deployment in names {
        let _ = writeln!(text, "\n## {deployment}\n");
        text.push_str(TABLE_HEADER);
        let rows = results
            .iter()
            .filter(|(r, _)| r.deployment.name == deployment);
        for (run, f) in rows {
            text.push_str(&row(*run, f));
        }
    }
    text
}

const TABLE_HEADER: &str = "\
| scenario | policy | short p50/p99 ms | upload p50/p99 ms | link peak | drain | worst share | wrongful ppm (rate) | overloads | lost | missed |
| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |
";

fn row(run: Run, f: &Figures) -> String {
    let drain = f.drain_ratio.map_or("-".to_owned(), |r| format!("{r:.2}"));
    let misses: Vec<String> = f
        .misses(run.scenario)
        .iter()
        .map(|m| format!("{m:?}"))
        .collect();
    format!(
        "| {} | {} | {:.1} / {:.1} | {:.0} / {:.0} | {:.3} | {drain} | {:.3} | {:.0} ({:.0}) | {} | {} | {} |\n",
        name(run.scenario),
        name(run.policy),
        f.short_p50_ms,
        f.short_p99_ms,
        f.upload_p50_ms,
        f.upload_p99_ms,
        f.link_peak,
        f.worst_share,
        f.wrongful_ppm,
        f.wrongful_rate_ppm,
        f.overloads,
        f.lost,
        misses.join(" "),
    )
}

/// Writes `policy.md`, `policy.csv` and an SVG plot for each deployment to a folder.
pub fn write(folder: &Path, source: &Source, results: &Results) -> Result<(), ReportError> {
    let failed = |path: &Path| {
        let path = path.display().to_string();
        move |source| ReportError::Write { path, source }
    };
    fs::create_dir_all(folder).map_err(failed(folder))?;
    let path = folder.join("policy.md");
    let head = format!("Seed {}, commit {}.\n", source.seed, source.commit);
    fs::write(&path, head + &tables(results)).map_err(failed(&path))?;
    write_csv(&folder.join("policy.csv"), source, results)?;
    let mut names: Vec<&str> = results.iter().map(|(r, _)| r.deployment.name).collect();
    names.dedup();
    for deployment in names {
        let rows: Vec<&(Run, Figures)> = results
            .iter()
            .filter(|(r, _)| r.deployment.name == deployment)
            .collect();
        let path = folder.join(format!("policy-{deployment}.svg"));
        let caption = format!(
            "{deployment}, seed {}, commit {}",
            source.seed, source.commit
        );
        plot(&path, &caption, &rows).map_err(|e| ReportError::Plot(e.to_string()))?;
    }
    Ok(())
}

fn write_csv(path: &Path, source: &Source, results: &Results) -> Result<(), ReportError> {
    let mut out = csv::Writer::from_path(path)?;
    for (run, f) in results {
        let misses = f.misses(run.scenario);
        let misses: Vec<String> = misses.iter().map(|m| format!("{m:?}")).collect();
        out.serialize(Row {
            commit: &source.commit,
            seed: source.seed,
            deployment: run.deployment.name,
            scenario: name(run.scenario),
            policy: name(run.policy),
            misses: misses.join(" "),
            short_p50_ms: f.short_p50_ms,
            short_p99_ms: f.short_p99_ms,
            upload_p50_ms: f.upload_p50_ms,
            upload_p99_ms: f.upload_p99_ms,
            link_peak: f.link_peak,
            drain_ratio: f.drain_ratio,
            worst_share: f.worst_share,
            wrongful_ppm: f.wrongful_ppm,
            wrongful_rate_ppm: f.wrongful_rate_ppm,
            overloads: f.overloads,
            over_rate: f.over_rate,
            lost: f.lost,
            requests: f.requests,
        })?;
    }
    out.flush().map_err(csv::Error::from)?;
    Ok(())
}

/// One panel of a plot, which shows one metric of all runs. The axis is
/// logarithmic for values that span several orders of magnitude.
struct Panel {
    caption: &'static str,
    value: fn(&Figures) -> f64,
    logarithmic: bool,
}

const PANELS: [Panel; 4] = [
    Panel {
        caption: "added latency of short requests, p99, ms (log)",
        value: |f| f.short_p99_ms,
        logarithmic: true,
    },
    Panel {
        caption: "busiest link minute over the cap",
        value: |f| f.link_peak,
        logarithmic: false,
    },
    Panel {
        caption: "worst-served organisation's part of its entitlement",
        value: |f| f.worst_share,
        logarithmic: false,
    },
    Panel {
        caption: "refused inside the rate, of a million (log)",
        value: |f| f.wrongful_ppm,
        logarithmic: true,
    },
];

fn plot(
    path: &Path,
    caption: &str,
    rows: &[&(Run, Figures)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(caption, ("sans-serif", 24))?;
    let (legend, rest) = root.split_vertically(CAPTION_HEIGHT * 2);
    for (i, policy) in Policy::value_variants().iter().enumerate() {
        let x = 20 + 200 * i32::try_from(i)?;
        legend.draw(&Rectangle::new(
            [(x, 10), (x + 14, 24)],
            COLOURS[i].filled(),
        ))?;
        legend.draw(&Text::new(name(*policy), (x + 20, 10), ("sans-serif", 16)))?;
    }
    for (area, panel) in rest.split_evenly((PANELS.len(), 1)).iter().zip(&PANELS) {
        draw_panel(area, panel, rows)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel<B: DrawingBackend>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    panel: &Panel,
    rows: &[&(Run, Figures)],
) -> Result<(), Box<dyn std::error::Error>>
where
    B::ErrorType: 'static,
{
    let scaled = |f: &Figures| match panel.logarithmic {
        true => ((panel.value)(f) + 1.0).log10(),
        false => (panel.value)(f),
    };
    let most = rows.iter().map(|(_, f)| scaled(f)).fold(1.0, f64::max);
    let mut scenarios: Vec<Scenario> = rows.iter().map(|(r, _)| r.scenario).collect();
    scenarios.dedup();
    let mut chart = ChartBuilder::on(area)
        .caption(panel.caption, ("sans-serif", CAPTION_HEIGHT))
        .x_label_area_size(24)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..most * 1.05)?;
    let label = |x: &f64| match x.fract() < 1e-9 {
        true => scenarios
            .get(*x as usize)
            .map_or(String::new(), |s| name(*s)),
        false => String::new(),
    };
    let value = |y: &f64| match panel.logarithmic {
        true => format!("{:.0}", 10_f64.powf(*y) - 1.0),
        false => format!("{y:.2}"),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scenarios.len() + 1)
        .x_label_formatter(&label)
        .y_label_formatter(&value)
        .draw()?;
    let policies = Policy::value_variants();
    let width = BARS_WIDTH_FRACTION / policies.len() as f64;
    for (run, f) in rows {
        let at = scenarios.iter().position(|s| *s == run.scenario);
        let bar = policies.iter().position(|p| *p == run.policy);
        let (Some(at), Some(bar)) = (at, bar) else {
            continue;
        };
        let x = at as f64 + 0.1 + bar as f64 * width;
        let corners = [(x, 0.0), (x + width, scaled(f))];
        chart.draw_series([Rectangle::new(corners, COLOURS[bar].filled())])?;
    }
    Ok(())
}
