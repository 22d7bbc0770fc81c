//! A limit on the log lines that requests write.

use std::{
    fmt::Display,
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use tokio::time::Instant;

/// The most lines of one kind that are written in a second.
const LINES_PER_SECOND: u32 = 50;
/// The window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Window {
    started_at: Option<Instant>,
    written: u32,
    dropped: u64,
}

/// Joins values with commas, for one field of a log line.
pub fn comma_separated(values: impl IntoIterator<Item: Display>) -> String {
    let texts: Vec<String> = values.into_iter().map(|v| v.to_string()).collect();
    texts.join(",")
}

/// Allows the first lines of each second and counts the dropped ones.
#[derive(Debug, Default)]
pub struct LogRateLimit {
    window: Mutex<Window>,
}

impl LogRateLimit {
    /// Returns whether a line may be written now. The first call in a new window
    /// logs how many lines were dropped before it.
    pub fn allows(&self, kind: &'static str) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let is_new = window
            .started_at
            .is_none_or(|started_at| now >= started_at + WINDOW);
        if is_new {
            let dropped = std::mem::take(&mut window.dropped);
            if dropped > 0 {
                log::info!(event = "lines-dropped", kind, dropped; "");
            }
            window.started_at = Some(now);
            window.written = 0;
        }
        if window.written >= LINES_PER_SECOND {
            window.dropped += 1;
            return false;
        }
        window.written += 1;
        true
    }
}
