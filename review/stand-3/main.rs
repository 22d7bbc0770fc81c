//! Runs one case of the review: `stand CASE`, in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

#![allow(dead_code, reason = "each case uses only some of the items")]

mod cases;
mod host;
mod http;
mod server;
mod store;

use std::{fs, process::exit, time::Instant};

/// The record of a run, written to `record.txt` in the case's folder.
pub struct Record {
    path: String,
    start: Instant,
    text: String,
}

impl Record {
    pub fn note(&mut self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        self.text.push_str(&format!("{at:8.3} s  {text}\n"));
        let _ = fs::write(&self.path, &self.text);
    }
}

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let path = std::env::var("RECORD").unwrap_or_else(|_| format!("review/{case}/record.txt"));
    let mut record = Record {
        path,
        start: Instant::now(),
        text: String::new(),
    };
    record.note(&format!("case {case}, with the disruption: {trouble}"));
    let outcome = cases::run(&case, trouble, &mut record);
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "THE RULE WAS BROKEN"),
        Outcome::CouldNotRun => (2, "the case could not run"),
    };
    record.note(text);
    println!("{text}");
    exit(code);
}
