//! What the actor wants done by I/O.

use std::net::SocketAddr;

use crate::{
    adoption::Step,
    control::ControlRequest,
    util::id::HostName, //
};

/// One piece of I/O.
#[derive(Debug)]
pub enum Errand {
    /// Send a control request, and report by [`super::news::Answered`].
    Control {
        /// The host.
        to: HostName,
        /// Its address for other entry hosts.
        address: SocketAddr,
        /// The request.
        msg: ControlRequest,
    },
    /// Do what the choice of generation asks for.
    Adoption(Step),
    /// Read the platform's list of hosts, and report by [`super::news::Listed`].
    List,
    /// Ask upstreams for their health and load, and report by [`super::loads::Reported`].
    Health(Vec<SocketAddr>),
}
