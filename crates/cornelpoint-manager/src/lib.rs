//! The process of every entry instance: the callers' edge, the schedulers of
//! the pools that it owns, and the machines where it owns the fleet.
//!
//! One thread runs one event loop; a second one writes logs. Decisions are the
//! library's; this crate carries them out.

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
