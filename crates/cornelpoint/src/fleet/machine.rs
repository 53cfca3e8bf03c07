use crate::job::Resources;

/// A machine as the platform lists it. It outlives its worker's incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name, the same for as long as the machine exists.
    pub name: String,
    /// Pool that the machine serves or is moving to.
    pub pool: String,
    /// State; only a machine that is up takes orders.
    pub state: MachineState,
    /// Availability zone.
    pub zone: String,
    /// Labels, such as the machine's kind and rack.
    pub labels: Vec<String>,
    /// Total resources.
    pub capacity: Resources,
    /// Worker that runs on the machine; `None` while the machine is off.
    pub worker: Option<String>,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// The machine serves its pool.
    Up,
    /// The machine is moving to another pool.
    Moving,
    /// The machine is under maintenance.
    Maintenance,
    /// The machine is unavailable: removed, broken or still starting.
    Down,
}

/// The platform's answer to an order for a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineAnswer {
    /// The order is carried out, now or by an earlier attempt.
    Done,
    /// An order with a higher fencing token was given for the machine.
    Fence,
    /// The machine is not up, or is leaving.
    Busy,
    /// The machine is not in the wave.
    NotOfWave,
    /// The machine does not exist or does not fit the pool.
    Impossible,
    /// The platform accepts no orders at the moment; nothing was done.
    Later,
    /// There was no usable answer; the order may have been carried out.
    NoAnswer,
}
