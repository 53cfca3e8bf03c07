//! A TCP relay between two sides, which can cut, refuse, delay and heal.

mod direction;
mod link;
mod relay_faults;
mod relay_stand_in;
mod shared;

pub use self::direction::Direction;
pub use self::relay_faults::Cut;
pub use self::relay_faults::RelayFaults;
pub use self::relay_stand_in::Relay;
