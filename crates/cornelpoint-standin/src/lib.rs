//! Stand-ins for the endpoints, the platform and the network around
//! cornelpoint, with fault injection, and a checker of recorded histories.

pub mod caller;
pub mod clock;
pub mod crowd;
pub mod endpoint;
pub mod fault_plan;
pub mod history;
pub mod platform;
pub mod program;
pub mod relay;

mod lock;
mod reopening_listener;
mod start_error;

pub use self::start_error::StartError;
