//! Runs one case of the review. Each case starts the system's own processes, a store, servers and
//! clients on loopback addresses, and exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

mod cases;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::{env, fs, path::Path, process::ExitCode};

use record::Record;

/// How a case ended.
pub enum Outcome {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{folder}/record.txt: {e}");
            return ExitCode::from(2);
        }
    };
    let temporary = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let result = fs::create_dir_all(&temporary)
        .and_then(|()| cases::run(&case, &temporary, with_trouble, &record));
    if env::var("KEEP").is_err() {
        fs::remove_dir_all(&temporary).ok();
    }
    let (text, code) = match result {
        Ok(Outcome::Held(text)) => (format!("HELD: {text}"), 0),
        Ok(Outcome::Broken(text)) => (format!("BROKEN: {text}"), 1),
        Err(e) => (format!("NOT RUN: {e}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
