//! An entry host on a platform that publishes configuration, upstreams and
//! evacuations itself.
//!
//! One actor, [`dispatcher::Dispatcher`], owns the host's state and decides
//! where each request goes. Tasks follow the platform's topics, exchange
//! messages with other hosts and forward requests. The platform's own headers,
//! URLs and store protocol are implemented behind [`dialect::Dialect`] and
//! [`topic::Source`].

pub mod answer_size;
pub mod caller_timeouts;
pub mod cold_pace;
pub mod concurrency_limit;
pub mod config_versions;
pub mod connection_limits;
pub mod datagram;
pub mod dialect;
pub mod directory;
pub mod dispatcher;
pub mod explain;
pub mod forward;
pub mod freshness;
pub mod incomplete_records;
pub mod log_limit;
pub mod machine_pace;
pub mod message;
pub mod metrics;
pub mod model;
pub mod object_recency;
pub mod peers;
pub mod placement;
pub mod queue_order;
pub mod quota;
pub mod region_balance;
pub mod relay;
pub mod remote_runs;
pub mod request_error;
pub mod rollback;
pub mod routing;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod store_era;
pub mod store_health;
pub mod tasks;
pub mod topic;
pub mod topic_watch;
pub mod upstreams;
pub mod zone_cache;
