use crate::endpoint::FaultRule;
use crate::platform::PlatformFaults;
use crate::relay::RelayFaults;

/// An action of the fault driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Sets the fault rules of an endpoint; an empty list clears them.
    Endpoint {
        /// Index of the endpoint among the targets.
        index: usize,
        /// Rules to set.
        rules: Vec<FaultRule>,
    },
    /// Makes an endpoint leave or return.
    Leaving {
        /// Index of the endpoint among the targets.
        index: usize,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Sets the faults of the platform.
    Platform {
        /// Faults to set.
        faults: PlatformFaults,
    },
    /// Sets the faults of a relay.
    Relay {
        /// Index of the relay among the targets.
        index: usize,
        /// Faults to set.
        faults: RelayFaults,
    },
}

/// An action and the time at which it is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time since the start of the plan.
    pub at_ms: u64,
    /// Action to carry out.
    pub action: FaultAction,
}
