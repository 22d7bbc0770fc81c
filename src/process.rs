//! Process set-up shared by the daemons: bound sockets, incarnation numbers and stop signals.

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

/// A failure to bind an address.
#[derive(Debug, Error)]
#[error(
    "cannot bind {address} for {role} ({cause}); stop the process that uses it or choose another address"
)]
pub struct BindError {
    /// Use of the address, such as `callers`; shown in the message.
    pub role: &'static str,
    /// Address that was requested.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub cause: io::Error,
}

/// Binds a TCP listener.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub async fn bind_tcp(role: &'static str, address: SocketAddr) -> Result<TcpListener, BindError> {
    let result = TcpListener::bind(address).await;
    result.map_err(|cause| BindError {
        role,
        address,
        cause,
    })
}

/// Binds a UDP socket.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub async fn bind_udp(role: &'static str, address: SocketAddr) -> Result<UdpSocket, BindError> {
    let result = UdpSocket::bind(address).await;
    result.map_err(|cause| BindError {
        role,
        address,
        cause,
    })
}

/// Returns an incarnation number for this process, based on the wall clock.
///
/// It is larger than that of any earlier process of this host, unless the wall clock was set back
/// in between.
pub fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let ms = u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(u64::MAX);
    new_incarnation(ms, rand::random())
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
