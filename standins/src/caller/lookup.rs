//! The client of the look-up API.

use std::net::SocketAddr;

use cardamomroad::wire;
use serde::{
    Deserialize,
    Serialize, //
};

use super::Options;
use crate::{
    error::StandinError,
    http::get_json, //
};

/// The answer of the look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The configuration generation from which the answer was made.
    pub generation: u64,
    /// How long it may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// The hosts to use, in order of preference.
    pub hosts: Vec<LookupHost>,
}

/// One host of a look-up answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupHost {
    /// The name of the host.
    pub host: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The address on which the host serves callers.
    pub address: SocketAddr,
    /// The weight of the host in the random choice between hosts.
    pub weight: u32,
    /// The incarnation of the host's process.
    pub incarnation: u64,
    /// The host's clock reading at the time of the answer, used in request ids.
    pub stamp: u64,
}

impl LookupHost {
    /// Returns a request id issued for this host, with the given nonce.
    pub fn request_id(&self, nonce: &str) -> String {
        format!("{}/{}/{}/{nonce}", self.host, self.incarnation, self.stamp)
    }
}

/// Fetches the look-up answer from the first entry host that gives one.
pub(super) async fn fetch(options: &Options) -> Result<LookupAnswer, StandinError> {
    let path = format!("{}?service={}", wire::LOOKUP_PATH, options.service);
    let mut last_error = StandinError::Call {
        target: path.clone(),
        cause: "no entry host is configured".to_owned(),
    };
    for entry in &options.entries {
        let answer = tokio::time::timeout(options.timeout, get_json(*entry, &path)).await;
        match answer {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(e)) => last_error = e,
            Err(_) => {
                last_error = StandinError::Call {
                    target: format!("{entry}{path}"),
                    cause: "timeout".to_owned(),
                };
            }
        }
    }
    Err(last_error)
}

/// Returns the hosts of both lists without duplicates, those with the fewest attempts first.
pub(super) fn least_tried_first(
    new: &[LookupHost],
    old: &[LookupHost],
    tried: &[SocketAddr],
) -> Vec<LookupHost> {
    let mut hosts: Vec<LookupHost> = Vec::new();
    for host in new.iter().chain(old) {
        if hosts.iter().any(|h| h.address == host.address) {
            continue;
        }
        hosts.push(host.clone());
    }
    hosts.sort_by_key(|h| tried.iter().filter(|t| **t == h.address).count());
    hosts
}
