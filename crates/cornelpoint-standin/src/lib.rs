//! Stand-ins for the systems around cornelpoint, with faults on request.

pub mod clock;
pub mod endpoint;
pub mod platform;
pub mod program;

mod lock;
mod start_error;

pub use self::start_error::StartError;
