//! Timeouts of sockets that are rarely set anew.

mod cached_timeout;

pub use self::cached_timeout::CachedTimeout;
