//! The look-up as a caller sees it.

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
    /// The generation that it was made by.
    pub generation: u64,
    /// How long it may be cached, in milliseconds.
    pub ttl_ms: u64,
    /// The hosts, best first.
    pub hosts: Vec<LookupHost>,
}

/// One host of a look-up answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupHost {
    /// Its name.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Its address for callers.
    pub address: SocketAddr,
    /// Its weight.
    pub weight: u32,
    /// Its process's incarnation.
    pub incarnation: u64,
    /// Its own clock.
    pub stamp: u64,
}

impl LookupHost {
    /// Returns the request id that names this host, with a nonce.
    pub fn request_id(&self, nonce: &str) -> String {
        format!("{}/{}/{}/{nonce}", self.host, self.incarnation, self.stamp)
    }
}

/// Asks the entry hosts in turn until one answers.
pub(super) async fn ask(options: &Options) -> Result<LookupAnswer, StandinError> {
    let path = format!("{}?service={}", wire::LOOKUP_PATH, options.service);
    let mut last = StandinError::Call {
        target: path.clone(),
        cause: "no entry host is known".to_owned(),
    };
    for entry in &options.entries {
        let answer = tokio::time::timeout(options.timeout, get_json(*entry, &path)).await;
        match answer {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(e)) => last = e,
            Err(_) => {
                last = StandinError::Call {
                    target: format!("{entry}{path}"),
                    cause: "timeout".to_owned(),
                };
            }
        }
    }
    Err(last)
}

/// Returns the hosts to go on with, new and old ones, the least tried first.
pub(super) fn untried_first(
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
