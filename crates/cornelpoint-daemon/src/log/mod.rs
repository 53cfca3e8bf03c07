//! Logs: short sentences, each prefixed with the name of the component.
//!
//! Records pass through a bounded queue to one writer thread. Records that do not
//! fit are dropped and counted, so that a blocked log output delays no request.

mod bounded_drain;
mod component;
mod component_drain;
mod log_settings;
mod root_log;

pub use self::component::Component;
pub use self::log_settings::LogFormat;
pub use self::log_settings::LogLevel;
pub use self::log_settings::LogSettings;
pub use self::root_log::RootLog;
