//! Helpers shared by the stand-in programs: listeners and stop signals.

use std::net::SocketAddr;

use tokio::{
    net::TcpListener,
    signal::unix::{
        SignalKind,
        signal, //
    },
};

use crate::error::StandinError;

/// Binds a TCP listener; port 0 picks a free port.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StandinError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StandinError::Bind { address, cause })
}

/// Returns the address that a listener is bound to.
pub fn local_address(listener: &TcpListener) -> Result<SocketAddr, StandinError> {
    listener.local_addr().map_err(|cause| StandinError::Io {
        what: "reading the bound address".to_owned(),
        cause,
    })
}

/// Waits for SIGTERM or SIGINT.
pub async fn stop_signal() -> Result<(), StandinError> {
    let signal_error = |cause| StandinError::Io {
        what: "installing a signal handler".to_owned(),
        cause,
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
