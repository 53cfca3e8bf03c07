//! Client of the platform's table service, object store and instance list.

mod client;
mod platform_error;

pub use self::client::PlatformClient;
pub use self::platform_error::PlatformError;
