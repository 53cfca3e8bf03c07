use super::planned_fault::FaultAction;
use crate::endpoint::EndpointStandIn;
use crate::history::Recorder;
use crate::platform::PlatformFaults;
use crate::platform::PlatformStandIn;
use crate::relay::Relay;

/// What a plan strikes.
#[derive(Debug, Default)]
pub struct Targets {
    /// Endpoints.
    pub endpoints: Vec<EndpointStandIn>,
    /// The platform.
    pub platform: Option<PlatformStandIn>,
    /// Relays.
    pub relays: Vec<Relay>,
}

impl Targets {
    /// Does what a plan says; signs of leaving go into the history.
    pub fn apply(&self, action: &FaultAction, recorder: &Recorder) {
        match action {
            FaultAction::Endpoint { index, rules } => {
                self.endpoints[*index].set_faults(rules.clone());
            }
            FaultAction::Leaving { index, leaving } => {
                self.set_leaving(*index, *leaving, recorder);
            }
            FaultAction::Platform { faults } => {
                if let Some(platform) = &self.platform {
                    platform.set_faults(faults.clone());
                }
            }
            FaultAction::Relay { index, faults } => self.relays[*index].set_faults(*faults),
        }
    }

    /// Takes all faults away.
    pub fn clear(&self) {
        for endpoint in &self.endpoints {
            endpoint.set_faults(Vec::new());
        }
        if let Some(platform) = &self.platform {
            platform.set_faults(PlatformFaults::default());
        }
        for relay in &self.relays {
            relay.heal();
        }
    }

    fn set_leaving(&self, index: usize, leaving: bool, recorder: &Recorder) {
        let endpoint = &self.endpoints[index];
        let instance = endpoint.dump().instance;
        if leaving {
            recorder.leaving(&instance);
        } else {
            recorder.returned(&instance);
        }
        endpoint.set_leaving(leaving);
    }
}
