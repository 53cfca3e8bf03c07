//! The gateway: a reverse proxy that forwards callers' requests to endpoints.
//!
//! Each caller's connection has a thread that sends the request and waits for
//! the answer. One thread makes the dispatch decisions, one polls a keeper for
//! updates, and one per keeper exchanges slots with that keeper.

mod decision_handle;
mod decision_loop;
mod event;
mod forwarded_request;
mod gateway_builder;
mod gateway_dump;
mod gateway_error;
mod gauges;
mod keeper_sync;
mod pause_detector;
mod request_claim;
mod request_handler;
mod request_options;
mod routes;
mod running;
mod send_history;
mod serving_state;
mod slot_exchanger;

pub use self::gateway_dump::GatewayDump;
pub use self::gateway_error::GatewayError;
pub use self::running::Gateway;
