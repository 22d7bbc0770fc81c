//! A non-blocking log writer that drops lines when the output is too slow.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            SyncSender,
            sync_channel, //
        },
    },
    thread,
};

/// Maximum lines queued for a slow reader; further ones are dropped.
const QUEUE_MAX: usize = 2048;
/// Maximum queued lines added to a line that is being written.
const BATCH_MAX: usize = 64;

/// Queues lines for a thread that writes them; drops them while the queue is full.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `sink`.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn new<W: Write + Send + 'static>(sink: W) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUE_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let drop_counter = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(sink, &queued, &drop_counter))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(mut sink: W, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    for mut batch in lines {
        for line in lines.try_iter().take(BATCH_MAX) {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("event=log-lines-lost lost={lost}\n").as_bytes());
        }
        // The output is closed and there is nowhere else to report it.
        if sink.write_all(&batch).and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
