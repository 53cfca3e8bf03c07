//! Logs: short sentences, each with the prefix of the part that says it.
//!
//! Records pass a bounded queue to one thread that writes them; what does not
//! fit is dropped and counted, so that a log that can't be written slows no
//! request.

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
