//! What an operator accepted: services, pools and their endpoints.

mod accepted;
mod generation;

pub use self::accepted::Configuration;
pub use self::accepted::Endpoint;
pub use self::accepted::Pool;
pub use self::accepted::Service;
pub use self::generation::Generation;
