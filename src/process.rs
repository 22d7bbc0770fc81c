//! What the daemons share: bound addresses, the number of a process, and the
//! signal to stop.

use std::{
    io,
    net::SocketAddr,
    time::SystemTime, //
};

use thiserror::Error;
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    signal::unix::{
        SignalKind,
        signal, //
    },
};

use crate::{
    membership::new_incarnation,
    util::id::Incarnation, //
};

/// An address could not be bound.
#[derive(Debug, Error)]
#[error(
    "cannot bind {address} for {role} ({cause}); stop the process that holds it or choose another"
)]
pub struct BindError {
    /// What the address is for.
    pub role: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// What failed.
    pub cause: io::Error,
}

/// Binds an address for connections.
///
/// # Errors
///
/// Fails where the address is taken or is none of this machine's.
pub async fn bind(role: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| BindError {
        role,
        address,
        cause,
    })
}

/// Binds an address for datagrams.
///
/// # Errors
///
/// Fails where the address is taken or is none of this machine's.
pub async fn bind_datagrams(
    role: &'static str,
    address: SocketAddr,
) -> Result<UdpSocket, BindError> {
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|cause| BindError {
        role,
        address,
        cause,
    })
}

/// Returns a number that is larger than that of an earlier process of this host,
/// unless the time of day stepped back in between.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let ms = u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    new_incarnation(ms, rand::random())
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails where a signal handler cannot be installed.
pub async fn wait_for_stop() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
