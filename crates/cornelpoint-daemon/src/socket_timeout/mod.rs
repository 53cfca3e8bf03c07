//! Socket timeouts that are set with few system calls.

mod cached_timeout;

pub use self::cached_timeout::CachedTimeout;
