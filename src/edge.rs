//! An entry host on a platform that publishes configuration, upstreams and
//! evacuations itself.
//!
//! One actor, [`dispatcher::Dispatcher`], owns the host's state and decides
//! where each request goes. Tasks follow the platform's topics, exchange
//! messages with other hosts and forward requests. The platform's own headers,
//! URLs and store protocol are implemented behind [`dialect::Dialect`] and
//! [`topic::Source`].

pub mod answer;
pub mod cold;
pub mod datagram;
pub mod dialect;
pub mod directory;
pub mod dispatcher;
pub mod follow;
pub mod forward;
pub mod freshness;
pub mod lines;
pub mod message;
pub mod metrics;
pub mod model;
pub mod peers;
pub mod placement;
pub mod quota;
pub mod relay;
pub mod routing;
pub mod runs;
pub mod serve;
pub mod settings;
pub mod spill;
pub mod topic;
pub mod upstreams;
pub mod waiting;
pub mod warmth;
