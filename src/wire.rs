//! Header names and paths that callers, upstreams and other entry hosts see.

/// The path of the look-up on the callers' address.
pub const LOOKUP_PATH: &str = "/.cardamomroad/lookup";
/// Carries the caller's request id, and comes back with the answer.
pub const REQUEST_ID: &str = "x-cardamomroad-request-id";
/// Tells the upstream the organisation; a caller's own copy is removed.
pub const ORGANISATION: &str = "x-cardamomroad-organisation";
/// Tells the next hop how many milliseconds are left.
pub const DEADLINE_MS: &str = "x-cardamomroad-deadline-ms";
/// Tells the caller whether the request ran: `ran`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-cardamomroad-outcome";
/// Tells the caller the typed reason of a refusal.
pub const REASON: &str = "x-cardamomroad-reason";
/// Tells a gateway that the upstream refused the request before starting it.
pub const NOT_STARTED: &str = "x-cardamomroad-not-started";
/// Names the entry host that answered.
pub const SERVED_BY: &str = "x-cardamomroad-served-by";
/// Carries the caller's key, as an alternative to `authorization: Bearer`.
pub const KEY: &str = "x-cardamomroad-key";
/// Shows between entry hosts that the sender belongs to the fleet.
pub const FLEET: &str = "x-cardamomroad-fleet";
/// Tells the receiving entry host what to do with a request: `home` or `run`.
pub const FORWARD: &str = "x-cardamomroad-forward";
/// Names the region of the sending entry host.
pub const FROM_REGION: &str = "x-cardamomroad-from-region";
/// Names the route that the sending entry host matched.
pub const ROUTE: &str = "x-cardamomroad-route";
/// The path prefix of control messages between entry hosts.
pub const CONTROL_PREFIX: &str = "/.cardamomroad/control/";
/// The prefix of all headers of this system.
pub const HEADER_PREFIX: &str = "x-cardamomroad-";
/// Names the caller to the platform's object API, which counts each call under it.
pub const PLATFORM_CALLER: &str = "x-platform-caller";
