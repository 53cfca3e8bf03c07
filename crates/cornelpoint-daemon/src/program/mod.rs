//! The programs: arguments, settings, logs, start, and a planned stop on a signal.

mod arguments;
mod exit;
mod gateway;
mod keeper;

pub use self::gateway::run_gateway;
pub use self::keeper::run_keeper;
