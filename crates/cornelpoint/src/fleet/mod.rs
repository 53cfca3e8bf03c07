//! Machines: which pool each serves and when each is maintained.
//!
//! One process owns all machines at a time, so that no two give orders to the
//! same one. Pools' owners report what they need and can spare, and empty the
//! machines that are to leave; only empty ones are ordered away.

mod fleet_manager;
mod machine;
mod moves;
mod pool_report;
mod settings;
mod shares;
mod wave;

pub use self::fleet_manager::FleetAction;
pub use self::fleet_manager::FleetManager;
pub use self::machine::Machine;
pub use self::machine::MachineAnswer;
pub use self::machine::MachineState;
pub use self::pool_report::PoolReport;
pub use self::settings::FleetSettings;
pub use self::wave::WaveOrder;
