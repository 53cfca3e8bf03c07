//! Messages between manager processes.

mod configuration;
mod heartbeat;
mod request;

pub(crate) use self::configuration::ConfigurationRequest;
pub(crate) use self::configuration::ConfigurationResponse;
pub(crate) use self::heartbeat::Heartbeat;
pub(crate) use self::heartbeat::OwnedPool;
pub(crate) use self::request::MAX_COUNT_AGE_MS;
pub(crate) use self::request::PoolRequest;
pub(crate) use self::request::PoolResponse;
