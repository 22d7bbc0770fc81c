//! Tests that a slow or missing reader of the log never blocks the writer.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Condvar,
        Mutex, //
    },
};

use cardamomroad::util::log_writer::LogWriter;

/// Lines written at once; more than the writer queues.
const LINES: usize = 10_000;

#[derive(Default)]
struct State {
    open: bool,
    received: Vec<u8>,
}

/// A sink that blocks until `open` is set.
#[derive(Clone, Default)]
struct BlockingSink(Arc<(Mutex<State>, Condvar)>);

impl Write for BlockingSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.0;
        let state = state.lock().expect("lock");
        let mut state = changed.wait_while(state, |s| !s.open).expect("lock");
        state.received.extend_from_slice(bytes);
        changed.notify_all();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_costs_lines_and_no_time() {
    let sink = BlockingSink::default();
    let mut log = LogWriter::new(sink.clone()).expect("a writer");
    // Each call returns although the sink accepts nothing.
    for n in 0..LINES {
        log.write_all(format!("line {n}\n").as_bytes())
            .expect("written");
    }
    let (state, changed) = &*sink.0;
    state.lock().expect("lock").open = true;
    changed.notify_all();
    let reports_loss =
        |s: &State| String::from_utf8_lossy(&s.received).contains("event=log-lines-lost lost=");
    let state = state.lock().expect("lock");
    let state = changed
        .wait_while(state, |s| !reports_loss(s))
        .expect("lock");
    let text = String::from_utf8_lossy(&state.received);
    assert!(
        text.starts_with("line 0\nline 1\n"),
        "the first lines must be kept"
    );
}
