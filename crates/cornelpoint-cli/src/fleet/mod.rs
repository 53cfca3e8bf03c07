//! A whole deployment in one process, connected over loopback TCP: stand-ins
//! for the platform and the endpoints, keepers and gateways.

mod entry;
mod fleet_error;
mod fleet_settings;
mod running;
mod starting;

pub use self::entry::Entry;
pub use self::fleet_error::FleetError;
pub use self::fleet_settings::FleetSettings;
pub use self::running::Fleet;
