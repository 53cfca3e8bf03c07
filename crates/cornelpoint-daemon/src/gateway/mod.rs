//! The gateway: callers' requests go in, endpoints' answers come out.
//!
//! Each caller's connection has a thread that sends the request and waits for
//! the answer. One thread owns the decisions; one asks a keeper for news; one
//! for each keeper exchanges slots with it.

mod admission;
mod decision_loop;
mod decisions;
mod event;
mod gateway_dump;
mod gateway_error;
mod gauges;
mod handler;
mod news;
mod outgoing;
mod pages;
mod parts;
mod pause_watch;
mod request_claim;
mod request_plan;
mod running;
mod sends;
mod slot_exchanger;

pub use self::gateway_dump::GatewayDump;
pub use self::gateway_error::GatewayError;
pub use self::running::Gateway;
