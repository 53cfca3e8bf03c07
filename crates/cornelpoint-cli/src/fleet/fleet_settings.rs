use cornelpoint::deployment::Deployment;
use cornelpoint_standin::endpoint::ServiceTime;

/// Settings of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// Deployment whose size and configuration the fleet has.
    pub deployment: Deployment,
    /// Distribution of the time that a request runs at an endpoint.
    pub service_time: ServiceTime,
    /// Staleness of the platform's list of instances, in milliseconds.
    pub instance_list_lag_ms: u64,
    /// Seed of the random generators of the stand-ins.
    pub seed: u64,
}

impl FleetSettings {
    /// Creates settings of a deployment's fleet whose requests run for a fixed time.
    #[must_use]
    pub fn new(deployment: Deployment, work_ms: u64) -> Self {
        Self {
            deployment,
            service_time: ServiceTime::Fixed { work_ms },
            instance_list_lag_ms: 2_000,
            seed: 1,
        }
    }

    /// Returns the current number of entry instances of the deployment, as its requirements state.
    #[must_use]
    pub fn entries(&self) -> usize {
        match self.deployment {
            Deployment::Futopalya => 8,
            Deployment::Kandy => 9,
        }
    }
}
