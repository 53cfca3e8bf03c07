//! The manager process, one per entry instance: it serves callers, schedules the
//! pools that it owns, and manages the machines if it owns the fleet.
//!
//! One thread runs the event loop, a second one writes the log. The library
//! `cornelpoint` makes the decisions; this crate does the I/O.

mod clock;
mod edge;
mod fleet_host;
mod http;
mod message;
mod metrics;
mod node;
mod pool_host;
mod run;
mod store;

pub use self::run::run;
