//! Assignment of machines to pools, and their maintenance in waves.
//!
//! One process owns all machines at a time, so that no two processes give
//! orders for the same machine. The owners of the pools report what they need
//! and can spare, and vacate the workers of machines that are to leave. Only
//! vacated machines are moved or taken down.

mod fleet_manager;
mod machine;
mod moves;
mod pool_demand;
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
