//! Stand-in executables: arguments, settings file, logs and signals.

mod arguments;
mod endpoints_settings;
mod logger;
mod program_error;
mod run_endpoints;
mod run_platform;
mod settings_file;
mod signals;

pub use self::endpoints_settings::EndpointsSettings;
pub use self::program_error::ProgramError;
pub use self::run_endpoints::run_endpoints;
pub use self::run_platform::run_platform;
