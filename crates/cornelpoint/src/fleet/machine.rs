use crate::job::Resources;

/// A machine as the platform lists it. Its worker's life is shorter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name; lasts as long as the machine.
    pub name: String,
    /// Pool that it serves or moves to.
    pub pool: String,
    /// Whether it can be ordered about.
    pub state: MachineState,
    /// Availability zone.
    pub zone: String,
    /// Its kind, its rack and others.
    pub labels: Vec<String>,
    /// What it can hold.
    pub capacity: Resources,
    /// Worker that it runs; `None` while it is off.
    pub worker: Option<String>,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Serves its pool.
    Up,
    /// Is on its way to another pool.
    Moving,
    /// Is being maintained.
    Maintenance,
    /// Is gone or broken.
    Down,
}

/// How the platform answered an order for a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineAnswer {
    /// Done, now or before.
    Done,
    /// A higher fencing token was used for the machine.
    Fence,
    /// It is not up, or leaves.
    Busy,
    /// It is not in the wave.
    NotOfWave,
    /// No such machine, or one that does not fit the pool.
    Impossible,
    /// The platform takes no more orders now; nothing was done.
    Later,
    /// It may have been done.
    NoAnswer,
}
