//! A log whose reader is slow or gone never makes its writer wait.

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

/// Lines of a flood; more than the writer keeps.
const FLOOD: usize = 10_000;

#[derive(Default)]
struct State {
    open: bool,
    received: Vec<u8>,
}

/// A reader that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Reader(Arc<(Mutex<State>, Condvar)>);

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, changed) = &*self.0;
        let state = state.lock().expect("the lock");
        let mut state = changed.wait_while(state, |s| !s.open).expect("the lock");
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
    let reader = Reader::default();
    let mut log = LogWriter::new(reader.clone()).expect("a writer");
    // Each call returns although nothing is read.
    for n in 0..FLOOD {
        log.write_all(format!("line {n}\n").as_bytes())
            .expect("written");
    }
    let (state, changed) = &*reader.0;
    state.lock().expect("the lock").open = true;
    changed.notify_all();
    let reports_loss =
        |s: &State| String::from_utf8_lossy(&s.received).contains("event=log-lines-lost lost=");
    let state = state.lock().expect("the lock");
    let state = changed
        .wait_while(state, |s| !reports_loss(s))
        .expect("the lock");
    let text = String::from_utf8_lossy(&state.received);
    assert!(
        text.starts_with("line 0\nline 1\n"),
        "the first lines were kept"
    );
}
