//! A limit on the log lines that requests write.

use std::{
    fmt::Display,
    sync::Mutex,
    time::Duration, //
};

use tokio::time::Instant;

/// The most lines of one kind that are written in a second.
const LINES_PER_SECOND: u32 = 50;
/// The window over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Span {
    since: Option<Instant>,
    written: u32,
    dropped: u64,
}

/// Joins values with commas, for one field of a log line.
pub fn listed(values: impl IntoIterator<Item: Display>) -> String {
    let texts: Vec<String> = values.into_iter().map(|v| v.to_string()).collect();
    texts.join(",")
}

/// Allows the first lines of each second and counts the dropped ones.
#[derive(Debug, Default)]
pub struct LineBudget {
    span: Mutex<Span>,
}

impl LineBudget {
    /// Returns whether a line may be written now. The first call in a new window
    /// logs how many lines were dropped before it.
    pub fn allows(&self, kind: &'static str) -> bool {
        let Ok(mut span) = self.span.lock() else {
            return false;
        };
        let now = Instant::now();
        let is_new = span.since.is_none_or(|since| now >= since + SPAN);
        if is_new {
            let dropped = std::mem::take(&mut span.dropped);
            if dropped > 0 {
                log::info!(event = "lines-dropped", kind, dropped; "");
            }
            span.since = Some(now);
            span.written = 0;
        }
        if span.written >= LINES_PER_SECOND {
            span.dropped += 1;
            return false;
        }
        span.written += 1;
        true
    }
}
