//! A whole deployment in one process over loopback TCP: the platform's and
//! the endpoints' stand-ins, keepers and gateways.

mod entry;
mod fleet_error;
mod fleet_settings;
mod running;
mod starting;

pub use self::entry::Entry;
pub use self::fleet_error::FleetError;
pub use self::fleet_settings::FleetSettings;
pub use self::running::Fleet;
