//! I/O that the actor requests.

use std::net::SocketAddr;

use crate::{
    adoption::Step,
    control::ControlRequest,
    util::id::HostName, //
};

/// An I/O operation to run outside the actor.
#[derive(Debug)]
pub enum IoTask {
    /// Send a control request and report its result as [`super::heartbeats::ControlResult`].
    Control {
        /// Name of the receiving host.
        to: HostName,
        /// The receiving host's address for other entry hosts.
        address: SocketAddr,
        /// The request to send.
        msg: ControlRequest,
    },
    /// Run a step of configuration adoption, such as a read of the store's head or a
    /// fetch.
    Adoption(Step),
    /// Read the platform's host list and report it as [`super::heartbeats::HostsRead`].
    ReadHosts,
    /// Query the health and load of upstreams and report each as
    /// [`super::loads::UpstreamReport`].
    CheckUpstreams(Vec<SocketAddr>),
}
