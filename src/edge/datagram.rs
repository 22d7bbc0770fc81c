//! What entry hosts tell one another by datagrams.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    net::UdpSocket,
    sync::mpsc, //
};
use xtra::Address;

use super::{
    dispatcher::Dispatcher,
    message::Heard,
    upstreams::UpstreamKey, //
};
use crate::{
    post::post,
    quarantine::SuspectEntry,
    util::id::{
        HostName,
        Incarnation,
        OrganisationName,
        RegionName,
        ServiceName, //
    },
};

/// The longest message from host to host, in bytes.
const DATAGRAM_MAX: usize = 60 * 1024;

/// The state of a host that takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It knows the configuration and takes requests.
    Ready,
    /// It cannot serve requests with keys now.
    Stale,
    /// It is about to stop.
    Leaving,
}

/// Requests a second of a host's callers for one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offered {
    /// The service.
    pub service: ServiceName,
    /// The region in which alone they may run; `None` where they may run in any.
    pub bound_to: Option<RegionName>,
    /// Requests a second.
    pub rate: f32,
}

/// One message from host to host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub host: HostName,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// Grows with each message of a process.
    pub sequence: u64,
    /// The sender's state.
    pub state: HostState,
    /// Requests of the sender that run, by upstream.
    pub running: Vec<(UpstreamKey, u32)>,
    /// What its callers send.
    pub offered: Vec<Offered>,
    /// Tokens that it asks of the receiver, in thousandths of a request.
    pub wants: Vec<(OrganisationName, u64)>,
    /// Tokens that it hands to the receiver, in thousandths of a request.
    pub grants: Vec<(OrganisationName, u64)>,
    /// Requests that crashed upstreams.
    pub suspects: Vec<SuspectEntry>,
}

/// What happened at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunEvent {
    /// A request for this object was sent there.
    Started {
        /// The object's hash.
        object: u64,
    },
    /// It answered, after this many times the expected work.
    Answered {
        /// Parts of the expected work.
        slowness: f32,
    },
    /// A request ended there without a whole answer.
    Unanswered,
}

/// Tells at once how many requests of the sender run at one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningMessage {
    /// The sender.
    pub host: HostName,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// Grows with each message of a process.
    pub sequence: u64,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests of the sender that run there.
    pub running: u32,
    /// What happened.
    pub event: RunEvent,
}

/// Anything that hosts send one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// All that a host tells.
    State(PeerMessage),
    /// A change at one upstream.
    Running(RunningMessage),
}

/// A message to other hosts, and where it goes.
pub type Outgoing = (Vec<SocketAddr>, Datagram);

/// Sends a host's messages.
pub async fn send_messages(socket: Arc<UdpSocket>, mut outgoing: mpsc::Receiver<Outgoing>) {
    while let Some((to, msg)) = outgoing.recv().await {
        let bytes = match rmp_serde::to_vec(&msg) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(event = "message-unwritable", cause:% = e; "");
                continue;
            }
        };
        for address in to {
            if let Err(e) = socket.send_to(&bytes, address).await {
                log::debug!(event = "message-unsent", to:% = address, cause:% = e; "");
            }
        }
    }
}

/// Hands what other hosts send to the dispatcher.
pub async fn receive_messages(socket: Arc<UdpSocket>, dispatcher: Address<Dispatcher>) {
    let mut buf = vec![0; DATAGRAM_MAX];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                log::debug!(event = "receive-failed", cause:% = e; "");
                continue;
            }
        };
        match rmp_serde::from_slice::<Datagram>(&buf[..len]) {
            Ok(msg) => post(&dispatcher, Heard { msg }),
            Err(e) => log::info!(event = "message-unreadable", from:%, cause:% = e; ""),
        }
    }
}
