//! The results as a table and as CSV.

use std::{
    path::Path,
    time::Duration, //
};

use hdrhistogram::Histogram;

use crate::error::StandinError;

/// Nanoseconds in a microsecond.
const NS_PER_US: f64 = 1000.0;
/// The headings of table and CSV.
const HEADINGS: [&str; 9] = [
    "target",
    "connections",
    "answered",
    "refused",
    "per second",
    "p50 us",
    "p99 us",
    "max us",
    "gateway cpu us",
];

/// The result of one measurement.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// The latencies of successful answers, in nanoseconds.
    pub latency_ns: Histogram<u64>,
    /// The answers that were no success.
    pub refused: u64,
    /// How long it took.
    pub elapsed: Duration,
}

impl Measurement {
    pub(super) fn new(digits: u8) -> Self {
        Self {
            latency_ns: Histogram::new(digits).expect("valid digits"),
            refused: 0,
            elapsed: Duration::ZERO,
        }
    }

    pub(super) fn add(&mut self, latency_ns: &Histogram<u64>, refused: u64) {
        self.refused += refused;
        // Both histograms grow as far as values need.
        let _ = self.latency_ns.add(latency_ns);
    }

    /// Returns the answers a second.
    pub fn per_second(&self) -> f64 {
        self.latency_ns.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns a quantile of the latency in microseconds.
    pub fn latency_us(&self, quantile: f64) -> f64 {
        self.latency_ns.value_at_quantile(quantile) as f64 / NS_PER_US
    }
}

/// One line of the results.
#[derive(Clone, Debug)]
pub struct Row {
    /// What was measured.
    pub name: String,
    /// The connections that requests were sent on.
    pub connections: usize,
    /// The processor time that the gateway's process spent meanwhile.
    pub gateway_cpu: Duration,
    /// The result.
    pub measurement: Measurement,
}

impl Row {
    fn cells(&self) -> [String; 9] {
        let m = &self.measurement;
        let answers = (m.latency_ns.len() + m.refused).max(1);
        let cpu_us = self.gateway_cpu.as_secs_f64() * 1e6 / answers as f64;
        [
            self.name.clone(),
            self.connections.to_string(),
            m.latency_ns.len().to_string(),
            m.refused.to_string(),
            format!("{:.0}", m.per_second()),
            format!("{:.1}", m.latency_us(0.5)),
            format!("{:.1}", m.latency_us(0.99)),
            format!("{:.1}", m.latency_ns.max() as f64 / NS_PER_US),
            format!("{cpu_us:.1}"),
        ]
    }
}

/// Prints the rows, and what the gateway adds to the direct call.
pub fn print_table(rows: &[Row]) {
    print_line(&HEADINGS.map(str::to_owned));
    for row in rows {
        print_line(&row.cells());
    }
    for pair in rows.windows(2) {
        let [direct, gateway] = pair else {
            continue;
        };
        if !direct.name.starts_with("direct") {
            continue;
        }
        let added = |q| gateway.measurement.latency_us(q) - direct.measurement.latency_us(q);
        println!(
            "added by {} at {} connections: p50 {:.1} us, p99 {:.1} us",
            gateway.name,
            gateway.connections,
            added(0.5),
            added(0.99)
        );
    }
}

fn print_line(cells: &[String; 9]) {
    print!("{:<24}", cells[0]);
    for cell in &cells[1..] {
        print!("{cell:>15}");
    }
    println!();
}

/// Writes the rows as CSV.
pub fn write_csv(rows: &[Row], path: &Path) -> Result<(), StandinError> {
    let failed = |e: csv::Error| StandinError::Io {
        what: format!("writing {}", path.display()),
        cause: std::io::Error::other(e),
    };
    let mut writer = csv::Writer::from_path(path).map_err(failed)?;
    writer.write_record(HEADINGS).map_err(failed)?;
    for row in rows {
        writer.write_record(row.cells()).map_err(failed)?;
    }
    writer.flush().map_err(|cause| StandinError::Io {
        what: format!("writing {}", path.display()),
        cause,
    })
}
