//! Attributes of a request: its method, whether it ran, and why it was rejected.

mod method;
mod refusal;
mod run_state;

pub use self::method::Method;
pub use self::method::UnknownMethod;
pub use self::refusal::Refusal;
pub use self::run_state::RunState;
