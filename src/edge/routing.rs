//! Finds the route and the organisation of a request.

use super::model::{
    Configuration,
    Organisation,
    Route, //
};
use crate::util::id::KeyDigest;

/// Reason why no route or no organisation was found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route of the host name has a prefix of the path.
    Unknown,
    /// The route requires an API key, and the request has none or an unknown one.
    Key,
    /// The route or the key may belong to a part of the configuration that could not be decoded.
    Undecided,
}

/// The route of a request and the organisation that sent it.
#[derive(Clone, Copy, Debug)]
pub struct Routed<'a> {
    /// Route with the longest matching prefix.
    pub route: &'a Route,
    /// Organisation of the key; `None` on open routes, or if no organisation is configured.
    pub organisation: Option<&'a Organisation>,
}

/// Returns the route with the longest matching prefix, and the organisation of the key.
///
/// # Errors
///
/// Fails if no route matches, if the route requires a key and `key` is missing or unknown, or if
/// this cannot be decided.
pub fn find<'a>(
    cfg: &'a Configuration,
    host: &[u8],
    path: &[u8],
    key: Option<&[u8]>,
) -> Result<Routed<'a>, NoRoute> {
    let not_found = |cause| match cfg.unreadable_parts {
        0 => cause,
        _ => NoRoute::Undecided,
    };
    let routes = cfg.routes.get(host).map_or(&[][..], Vec::as_slice);
    let is_prefix = |r: &&Route| path.starts_with(&r.prefix);
    let route = routes
        .iter()
        .filter(is_prefix)
        .max_by_key(|r| r.prefix.len())
        .ok_or_else(|| not_found(NoRoute::Unknown))?;
    if route.services.is_empty() {
        return Err(NoRoute::Undecided);
    }
    if !cfg.requires_keys {
        return Ok(Routed {
            route,
            organisation: None,
        });
    }
    let index = key.and_then(|key| cfg.keys.get(&KeyDigest::of(key)));
    let organisation = index.and_then(|&i| cfg.organisations.get(i));
    match (organisation, route.open) {
        (_, true) => Ok(Routed {
            route,
            organisation: None,
        }),
        (Some(_), false) => Ok(Routed {
            route,
            organisation,
        }),
        (None, false) if key.is_none() => Err(NoRoute::Key),
        (None, false) => Err(not_found(NoRoute::Key)),
    }
}

/// Returns the host name in a `Host` header, without the port.
pub fn host_name(header: &[u8]) -> &[u8] {
    match header.iter().rposition(|&b| b == b':') {
        Some(colon) if header[colon + 1..].iter().all(u8::is_ascii_digit) => &header[..colon],
        _ => header,
    }
}
