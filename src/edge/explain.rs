//! The explanation of where a request would go, as a host replies it, and its text form.
//!
//! Names in the reply are plain text, since it may contain names of the platform that the project's
//! own name types reject in text formats.

mod text;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::model::Route;

/// What a host would do with a request now, and the data that it would decide on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The host that was asked.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The matched route; absent if none matches.
    pub route: Option<RouteInfo>,
    /// The organisation of the key; absent if the request needs no key.
    pub organisation: Option<String>,
    /// What would happen to the request.
    pub decision: Decision,
    /// The organisation's tokens on this host; absent without a rate limit.
    pub rate_limit: Option<RateLimit>,
    /// Where the request would look for a slot; absent if it is refused before that.
    pub target: Option<Target>,
    /// The data that the decision rests on.
    pub inputs: Inputs,
    /// What the query left open, and what was assumed.
    pub notes: Vec<String>,
}

/// The settings of a matched route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteInfo {
    /// The path prefix.
    pub prefix: String,
    /// The service that the request goes to; absent if the request may run in no region.
    pub service: Option<String>,
    /// Whether the request may be sent again after its upstream was lost.
    pub idempotent: bool,
    /// Maximum number of attempts.
    pub tries: u32,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u32,
    /// Target latency, in milliseconds.
    pub latency_target_ms: u64,
    /// Time limit, in milliseconds.
    pub timeout_ms: u64,
    /// Regions in which the request may run; empty if it may run in all.
    pub regions: Vec<String>,
}

impl RouteInfo {
    /// Returns the settings that the route itself determines.
    pub fn new(route: &Route) -> Self {
        Self {
            prefix: String::from_utf8_lossy(&route.prefix).into_owned(),
            service: None,
            idempotent: route.idempotent,
            tries: route.tries,
            priority: route.priority.0,
            latency_target_ms: millis(route.latency_target),
            timeout_ms: millis(route.timeout),
            regions: route.regions.iter().map(ToString::to_string).collect(),
        }
    }
}

/// What would happen to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Decision {
    /// It would be sent to this upstream at once.
    Upstream {
        /// Id of the upstream.
        id: String,
        /// Its address.
        address: String,
        /// Its zone.
        zone: String,
    },
    /// It would wait.
    Wait {
        /// What it would wait for.
        reason: WaitReason,
        /// For how long at most, in milliseconds.
        at_most_ms: u64,
    },
    /// Another host schedules the upstreams and would be asked for a slot.
    Claim {
        /// The host that decides.
        scheduler: String,
        /// What this host would do by its own, less complete data.
        local_view: Box<Decision>,
    },
    /// It would be refused and would not run.
    Refused {
        /// The reason, as in the metrics and in `request-ended` lines.
        reason: String,
        /// The status that the caller would get.
        status: u16,
        /// The shortest time after which the caller would be told to retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

/// What a request would wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// A token of its organisation, from another host.
    Token,
    /// A slot on an upstream that suits its object.
    Slot,
}

/// An organisation's tokens on a host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Whether a request would get a token at once.
    pub has_token: bool,
    /// Whether recent requests to other hosts for tokens brought none.
    pub is_exhausted: bool,
    /// Tokens of this host's own share.
    pub tokens: f64,
    /// Tokens borrowed from other hosts.
    pub borrowed: f64,
    /// This host's share of the rate, in requests per second.
    pub share_per_second: f64,
    /// The rate over all hosts, in requests per second.
    pub rate_per_second: f64,
}

/// Where a request would look for a slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The region.
    pub region: String,
    /// Whether it is another region than the shares name, since that one has no slot.
    pub is_overflow: bool,
    /// The object's position among the shares, from 0 to 1.
    pub position: f64,
    /// The part of the service's requests that runs in each region.
    pub shares: BTreeMap<String, f64>,
    /// The scheduling domain; absent if no domain has upstreams.
    pub domain: Option<String>,
    /// The host that schedules the domain; absent if none can be asked.
    pub scheduler: Option<String>,
    /// Requests that wait on this host for a slot of the service.
    pub waiting: usize,
}

/// The data that a decision rests on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inputs {
    /// Version of the configuration in force; absent before the first one.
    pub configuration: Option<u64>,
    /// Whether it is the one that the platform published last.
    pub is_configuration_current: bool,
    /// Time since the read that last confirmed its keys was sent, in milliseconds.
    pub configuration_confirmed_ms_ago: Option<u64>,
    /// Whether requests with keys may run.
    pub is_fresh: bool,
    /// Time since the list of upstreams was last read, from the store or a relay, in milliseconds.
    pub upstreams_read_ms_ago: Option<u64>,
    /// Zones whose upstreams get no new requests.
    pub evacuated_zones: Vec<String>,
    /// Number of upstreams that may be considered; `upstreams` lists the first of them.
    pub upstream_count: usize,
    /// The upstreams that may be considered.
    pub upstreams: Vec<UpstreamInput>,
}

/// What a host knows about one upstream. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamInput {
    /// Id of the upstream.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Registered slots.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Requests of this host that run there.
    pub running: u32,
    /// Requests of other hosts that run there, as far as they are known here.
    pub remote_running: u32,
    /// Age of its last load report; absent if it never sent one.
    pub report_age_ms: Option<u64>,
    /// Whether it may get requests: it is ready, and neither replaced, suspended nor full.
    pub is_usable: bool,
    /// How long it still wants no requests from this host.
    pub paused_ms: Option<u64>,
    /// How long it is still cold.
    pub cold_ms: Option<u64>,
    /// Its time for a request relative to the expected time.
    pub slowness: f64,
    /// Age of the last sample of its slowness.
    pub slowness_age_ms: u64,
    /// Position of the object among those that it handled last; absent if it is not one of them.
    pub object_position: Option<usize>,
}

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
