//! What an operator accepted: services, pools and their endpoints.

mod accepted;
mod generation;
mod rows;

pub use self::accepted::Configuration;
pub use self::accepted::Endpoint;
pub use self::accepted::Pool;
pub use self::accepted::Service;
pub use self::generation::Generation;
pub use self::rows::Head;
pub use self::rows::TABLE;
pub use self::rows::body_key;
pub use self::rows::head_key;
