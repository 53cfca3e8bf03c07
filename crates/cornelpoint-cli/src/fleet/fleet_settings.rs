use cornelpoint::deployment::Deployment;
use cornelpoint_standin::endpoint::ServiceTime;

/// What a fleet is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// The deployment whose size and configuration it has.
    pub deployment: Deployment,
    /// How long a request runs at an endpoint.
    pub service_time: ServiceTime,
    /// Age of the platform's list of instances, in milliseconds.
    pub instance_list_lag_ms: u64,
    /// Seed of the stand-ins.
    pub seed: u64,
}

impl FleetSettings {
    /// A fleet of a deployment's size whose requests run for a fixed time.
    #[must_use]
    pub fn new(deployment: Deployment, work_ms: u64) -> Self {
        Self {
            deployment,
            service_time: ServiceTime::Fixed { work_ms },
            instance_list_lag_ms: 2_000,
            seed: 1,
        }
    }

    /// Entry instances of the deployment (the brief, sizes of today).
    #[must_use]
    pub fn entries(&self) -> usize {
        match self.deployment {
            Deployment::Futopalya => 8,
            Deployment::Kandy => 9,
        }
    }
}
