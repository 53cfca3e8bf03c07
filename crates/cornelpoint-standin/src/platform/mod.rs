//! Stand-in for the platform: table service, object store and instance list.
//!
//! State is in memory. Besides the paths of [`cornelpoint::platform`] the
//! server has control paths, with bodies in JSON: `POST /instances` lists an
//! instance, `POST /faults` sets [`PlatformFaults`], `GET /dump` shows a
//! [`PlatformDump`], `GET /health` answers 200 while the platform is up.

mod api;
mod dump;
mod faults;
mod lagging_list;
mod rate_meter;
mod settings;
mod stand_in;
mod state;
mod store;

pub use self::dump::PlatformDump;
pub use self::faults::PlatformFaults;
pub use self::settings::PlatformSettings;
pub use self::stand_in::PlatformStandIn;
