//! Graceful shutdown: signals raise a flag that threads check or wait for.

mod shutdown_error;
mod shutdown_flag;

pub use self::shutdown_error::ShutdownError;
pub use self::shutdown_flag::ShutdownFlag;
