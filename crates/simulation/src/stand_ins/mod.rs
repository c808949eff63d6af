//! Real controller processes on loopback, and stand-ins for the store, the cloud, the workers and the users that
//! they talk to.

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
