//! HTTP header names and paths used between callers, entry hosts, upstreams and the platform.

/// Path of look-ups on the callers' address.
pub const LOOKUP_PATH: &str = "/.cardamomroad/lookup";
/// Request id chosen by the caller; the answer repeats it.
pub const REQUEST_ID: &str = "x-cardamomroad-request-id";
/// Organisation of the caller, set for the upstream; a value sent by the caller is removed.
pub const ORGANISATION: &str = "x-cardamomroad-organisation";
/// Milliseconds left until the request's deadline, set for the next hop.
pub const DEADLINE_MS: &str = "x-cardamomroad-deadline-ms";
/// Whether an upstream ran the request: `ran`, `not-run` or `unknown`; set on answers.
pub const OUTCOME: &str = "x-cardamomroad-outcome";
/// Machine-readable reason of a refusal; set on answers.
pub const REASON: &str = "x-cardamomroad-reason";
/// Set by an upstream that refused a request before starting it.
pub const NOT_STARTED: &str = "x-cardamomroad-not-started";
/// Name of the entry host that answered.
pub const SERVED_BY: &str = "x-cardamomroad-served-by";
/// Key of the caller, as an alternative to `authorization: Bearer`.
pub const KEY: &str = "x-cardamomroad-key";
/// Fleet secret, by which entry hosts authenticate to each other.
pub const FLEET_SECRET: &str = "x-cardamomroad-fleet";
/// What the receiving entry host does with a forwarded request: `home` or `run`.
pub const FORWARD: &str = "x-cardamomroad-forward";
/// Region of the sending entry host.
pub const FROM_REGION: &str = "x-cardamomroad-from-region";
/// Route that the sending entry host matched.
pub const ROUTE: &str = "x-cardamomroad-route";
/// Path prefix of control messages between entry hosts.
pub const CONTROL_PREFIX: &str = "/.cardamomroad/control/";
/// Prefix of all headers defined by this project.
pub const HEADER_PREFIX: &str = "x-cardamomroad-";
/// Caller name sent to the platform's object API, which counts calls by it.
pub const PLATFORM_CALLER: &str = "x-platform-caller";
