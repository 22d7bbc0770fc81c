//! The cases.

mod earlier_claim;
mod longer_grace;
mod lost_tail;
mod slow_reader;
mod unread_answers;
mod withdrawn_key;

use std::{io, path::Path};

use crate::{Outcome, record::Record};

/// Runs the case with this name; `folder` is for temporary files.
pub fn run(case: &str, folder: &Path, with_trouble: bool, record: &Record) -> io::Result<Outcome> {
    match case {
        "earlier-claim" => earlier_claim::run(folder, with_trouble, record),
        "longer-grace" => longer_grace::run(folder, with_trouble, record),
        "lost-tail" => lost_tail::run(folder, with_trouble, record),
        "slow-reader" => slow_reader::run(folder, with_trouble, record),
        "unread-answers" => unread_answers::run(folder, with_trouble, record),
        "withdrawn-key" => withdrawn_key::run(folder, with_trouble, record),
        _ => Err(io::Error::other(format!("no case {case}"))),
    }
}

/// Returns a configuration with one service and one public route for each name.
fn configuration(version: u32, routes: &[(&str, &str)], timeout: &str) -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":390,\
             \"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\",\"cold_per_s\":7.0}}"
        )
    };
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout\":\"{timeout}\",\"target_latency\":\"1500ms\",\"priority\":1,\
             \"service\":\"{name}\",\"max_attempts\":2,\"public\":true,\
             \"session_affinity\":false,\"allowed_regions\":[]}}"
        )
    };
    let services: Vec<String> = routes.iter().map(|(name, _)| service(name)).collect();
    let paths: Vec<String> = routes
        .iter()
        .map(|(name, kind)| route(name, kind))
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":1000000,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\
         \"tenants\":[],\"virtual_hosts\":[{{\"host\":\"shop.example\",\"paths\":[{}]}}]}}",
        services.join(","),
        paths.join(",")
    )
}

/// Sleeps for some milliseconds.
fn pause(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}
