//! Input and output of the daemons: settings, HTTP, threads, logs and metrics.
//!
//! The `cornelpoint` library holds the decision logic; this crate connects it to
//! sockets and clocks.

pub mod caller_edge;
pub mod claim_store;
pub mod clock;
pub mod control;
pub mod endpoint_client;
pub mod gateway;
mod http_agent;
pub mod keeper;
pub mod log;
pub mod message;
pub mod metrics;
pub mod platform_client;
pub mod program;
pub mod settings;
pub mod shutdown;
pub mod socket_timeout;
