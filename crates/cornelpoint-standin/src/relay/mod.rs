//! TCP relay that can discard data, refuse connections and delay data.

mod direction;
mod relay_faults;
mod relay_stand_in;
mod relayed_connection;
mod shared;

pub use self::direction::Direction;
pub use self::relay_faults::Cut;
pub use self::relay_faults::RelayFaults;
pub use self::relay_stand_in::Relay;
