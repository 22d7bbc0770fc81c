//! Validated settings of the entry host daemon.

use std::{
    fmt,
    net::SocketAddr,
    str::FromStr, //
};

use hyper::Uri;

use crate::{
    cli::EntryArguments,
    error::{
        OptionError,
        OptionErrors, //
    },
    util::id::{
        HostName,
        ZoneName, //
    },
};

/// Minimum length of the fleet secret.
const SECRET_MIN_BYTES: usize = 16;

/// Shared secret by which entry hosts authenticate to each other.
///
/// Its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetSecret(String);

impl FleetSecret {
    /// Returns the secret in clear text; send it to entry hosts only.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetSecret(..)")
    }
}

/// The settings of `cardamomroad-entry`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryOptions {
    /// Host name, unique in the fleet.
    pub name: HostName,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Listening address for callers; port 0 picks a free port.
    pub callers: SocketAddr,
    /// Listening address for other entry hosts; port 0 picks a free port.
    pub peers: SocketAddr,
    /// Listening address for operators; port 0 picks a free port.
    pub operators: SocketAddr,
    /// Address of the platform's object API; its port is never 0.
    pub store: SocketAddr,
    /// Shared secret of the fleet's entry hosts.
    pub fleet_secret: FleetSecret,
    /// Peer addresses to contact at startup; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// HTTP URL of the OTLP collector; spans are not exported if absent.
    pub collector: Option<String>,
}

impl EntryOptions {
    /// Validates all settings and reports every error at once.
    pub fn new(args: &EntryArguments) -> Result<Self, OptionErrors> {
        let mut errors = Vec::new();
        let name = parse_required("--name", &args.name, &mut errors);
        let zone = parse_required("--zone", &args.zone, &mut errors);
        let callers = parse_required("--callers", &args.callers, &mut errors);
        let peers = parse_required("--peers", &args.peers, &mut errors);
        let operators = parse_required("--operators", &args.operators, &mut errors);
        let store = parse_required("--store", &args.store, &mut errors);
        let fleet_secret = parse_secret(&args.fleet_secret, &mut errors);
        let seeds = seeds(&args.seeds, &mut errors);
        let collector = collector(&args.collector, &mut errors);
        let listeners = [
            ("--callers", callers),
            ("--peers", peers),
            ("--operators", operators),
        ];
        check_distinct(&listeners, &mut errors);
        check_not_listener("--store", store, &listeners, &mut errors);
        let complete = (name, zone, callers, peers, operators, store, fleet_secret);
        let (
            Some(name),
            Some(zone),
            Some(callers),
            Some(peers),
            Some(operators),
            Some(store),
            Some(fleet_secret),
        ) = complete
        else {
            return Err(OptionErrors(errors));
        };
        if !errors.is_empty() {
            return Err(OptionErrors(errors));
        }
        Ok(Self {
            name,
            zone,
            callers,
            peers,
            operators,
            store,
            fleet_secret,
            seeds,
            collector,
        })
    }
}

/// Parses a mandatory setting; records an error and returns `None` if it is missing or malformed.
fn parse_required<T>(
    flag: &'static str,
    text: &Option<String>,
    errors: &mut Vec<OptionError>,
) -> Option<T>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let Some(text) = text else {
        errors.push(OptionError::Missing {
            flag,
            variable: variable(flag),
        });
        return None;
    };
    parse_value(flag, text, errors)
}

/// Parses a setting; records an error and returns `None` if it is malformed.
fn parse_value<T>(flag: &'static str, text: &str, errors: &mut Vec<OptionError>) -> Option<T>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    match text.trim().parse() {
        Ok(value) => Some(value),
        Err(e) => {
            errors.push(OptionError::Malformed {
                flag,
                variable: variable(flag),
                value: text.to_owned(),
                cause: e.to_string(),
                remedy: remedy(flag),
            });
            None
        }
    }
}

fn parse_secret(text: &Option<String>, errors: &mut Vec<OptionError>) -> Option<FleetSecret> {
    let flag = "--fleet-secret";
    let text: String = parse_required(flag, text, errors)?;
    if text.len() < SECRET_MIN_BYTES {
        errors.push(OptionError::SecretTooShort {
            bytes: text.len(),
            min_bytes: SECRET_MIN_BYTES,
        });
        return None;
    }
    if !text.bytes().all(|b| b.is_ascii_graphic()) {
        errors.push(OptionError::SecretNotPrintable);
        return None;
    }
    Some(FleetSecret(text))
}

fn seeds(text: &Option<String>, errors: &mut Vec<OptionError>) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for seed in text.as_deref().unwrap_or_default().split(',') {
        if seed.trim().is_empty() {
            continue;
        }
        seeds.extend(parse_value::<SocketAddr>("--seeds", seed, errors));
    }
    seeds
}

fn collector(text: &Option<String>, errors: &mut Vec<OptionError>) -> Option<String> {
    let flag = "--collector";
    let uri: Uri = parse_value(flag, text.as_deref()?, errors)?;
    if uri.scheme_str() == Some("http") && uri.host().is_some() {
        return Some(uri.to_string());
    }
    errors.push(OptionError::Malformed {
        flag,
        variable: variable(flag),
        value: uri.to_string(),
        cause: "it is not an http address".to_owned(),
        remedy: remedy(flag),
    });
    None
}

/// Records an error for each two listeners with the same address.
///
/// Port 0 is exempt, since each listener then gets a free port of its own.
fn check_distinct(listeners: &[(&'static str, Option<SocketAddr>)], errors: &mut Vec<OptionError>) {
    for (i, &(flag, address)) in listeners.iter().enumerate() {
        let Some(address) = address.filter(|address| address.port() != 0) else {
            continue;
        };
        for &(other, other_address) in &listeners[..i] {
            if other_address == Some(address) {
                errors.push(OptionError::SharedAddress {
                    flag,
                    other,
                    address,
                });
            }
        }
    }
}

/// Records an error if a remote address has port 0 or is one of this process's listeners.
fn check_not_listener(
    flag: &'static str,
    address: Option<SocketAddr>,
    listeners: &[(&'static str, Option<SocketAddr>)],
    errors: &mut Vec<OptionError>,
) {
    let Some(address) = address else {
        return;
    };
    if address.port() == 0 {
        errors.push(OptionError::Malformed {
            flag,
            variable: variable(flag),
            value: address.to_string(),
            cause: "port 0 cannot be reached".to_owned(),
            remedy: remedy(flag),
        });
    }
    for &(other, listener) in listeners {
        if listener == Some(address) && address.port() != 0 {
            errors.push(OptionError::SharedAddress {
                flag,
                other,
                address,
            });
        }
    }
}

/// Returns the name of the environment variable that corresponds to a flag.
fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_");
    format!("CARDAMOMROAD_{}", name.to_uppercase())
}

/// Returns the hint appended to the error of a malformed flag.
fn remedy(flag: &str) -> &'static str {
    match flag {
        "--name" => "use the host's name, for example bac-a-1",
        "--zone" => "use a zone of the configuration, for example bac-a",
        "--seeds" => "use addresses of peers, for example 10.0.0.1:8002,10.0.0.2:8002",
        "--store" => "use the object API's address, for example 10.0.0.9:7000",
        "--collector" => "use the collector's address, for example http://10.0.0.8:4318",
        _ => "use an address, for example 10.0.0.1:8001",
    }
}
