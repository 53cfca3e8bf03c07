//! The daemons' programs: arguments, settings, logs, start, and graceful shutdown
//! on a signal.

mod arguments;
mod exit;
mod gateway;
mod keeper;

pub use self::gateway::run_gateway;
pub use self::keeper::run_keeper;
