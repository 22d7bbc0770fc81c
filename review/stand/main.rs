//! Stand-ins of the platform, its servers and its clients, and the review's cases.
//!
//! Only the standard library is used. `stand CASE DIR` runs a case and writes `DIR/record.txt`;
//! `stand server ...` is one server process, which the cases start.

mod cases;
mod fleet;
mod http;
mod json;
mod server;
mod store;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("server") => server::main(&args[1..]),
        Some(case) if args.len() == 2 => exit(cases::main(case, &args[1])),
        _ => {
            eprintln!("usage: stand CASE DIR");
            exit(2);
        }
    }
}
