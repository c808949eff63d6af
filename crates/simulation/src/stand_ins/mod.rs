//! Stand-ins for real processes: what real controllers on loopback talk to, and the processes themselves.

pub mod cloud_server;
pub mod deployment;
pub mod http_listener;
pub mod loopback_cluster;
pub mod loopback_users;
pub mod ports;
pub mod processes;
pub mod relay;
pub mod store_server;
pub mod worker;
