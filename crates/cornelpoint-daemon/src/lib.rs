//! The edges of the daemons: settings, HTTP, threads, logs and metrics.

pub mod caller_edge;
pub mod endpoint_client;
