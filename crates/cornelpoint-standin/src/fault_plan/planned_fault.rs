use crate::endpoint::FaultRule;
use crate::platform::PlatformFaults;
use crate::relay::RelayFaults;

/// What a driver does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// Sets the fault rules of an endpoint; none clears them.
    Endpoint {
        /// Place of the endpoint among the targets.
        index: usize,
        /// The rules.
        rules: Vec<FaultRule>,
    },
    /// Begins or ends the leaving of an endpoint.
    Leaving {
        /// Place of the endpoint among the targets.
        index: usize,
        /// Whether it leaves.
        leaving: bool,
    },
    /// Sets the faults of the platform.
    Platform {
        /// The faults.
        faults: PlatformFaults,
    },
    /// Sets the faults of a relay.
    Relay {
        /// Place of the relay among the targets.
        index: usize,
        /// The faults.
        faults: RelayFaults,
    },
}

/// An action at its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time from the start of the plan.
    pub at_ms: u64,
    /// What is done.
    pub action: FaultAction,
}
