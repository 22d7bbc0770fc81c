//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub service: String,
    pub server: String,
    pub id: String,
    pub path: String,
}

/// The record; clones share its state.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Vec<Run>)>>, Instant);

impl Record {
    /// Starts a record in a file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self(
            Arc::new(Mutex::new((file, Vec::new()))),
            Instant::now(),
        ))
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.1.elapsed().as_secs_f64();
        let mut state = self.0.lock().expect("no panic holds the lock");
        writeln!(state.0, "{seconds:8.3} s  {text}").expect("the record is written");
    }

    /// Adds a request that a server has begun to run.
    pub fn ran(&self, service: &str, server: &str, id: &str, path: &str) {
        self.line(&format!("{server} ({service}) runs {id} {path}"));
        let run = Run {
            service: service.to_owned(),
            server: server.to_owned(),
            id: id.to_owned(),
            path: path.to_owned(),
        };
        self.0.lock().expect("no panic holds the lock").1.push(run);
    }

    /// Returns all requests that servers have begun to run.
    pub fn runs(&self) -> Vec<Run> {
        self.0.lock().expect("no panic holds the lock").1.clone()
    }
}
