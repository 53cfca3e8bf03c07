use std::sync::Mutex;

use cornelpoint::platform::InstanceState;
use cornelpoint::platform::ListedInstance;

use super::planned_fault::FaultAction;
use crate::endpoint::EndpointStandIn;
use crate::history::Recorder;
use crate::lock::lock;
use crate::platform::PlatformFaults;
use crate::platform::PlatformStandIn;
use crate::relay::Relay;

/// Stand-ins that a plan acts on.
#[derive(Debug, Default)]
pub struct Targets {
    /// Endpoint stand-ins.
    pub endpoints: Vec<EndpointStandIn>,
    /// Entries of the endpoints in the platform's instance list, in the same
    /// order; empty if they are not listed.
    pub listed: Mutex<Vec<ListedInstance>>,
    /// Platform stand-in.
    pub platform: Option<PlatformStandIn>,
    /// Relays between the processes under test.
    pub relays: Vec<Relay>,
}

impl Targets {
    /// Carries out an action; records in the history when an endpoint leaves or
    /// returns.
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

    /// Clears all faults.
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
            self.list(index, InstanceState::Leaving);
        } else {
            recorder.returned(&instance);
            self.list(index, InstanceState::Live);
        }
        endpoint.set_leaving(leaving);
    }

    /// Updates an endpoint's entry in the instance list; a return counts as a
    /// restart and increments the epoch.
    fn list(&self, index: usize, state: InstanceState) {
        let mut listed = lock(&self.listed);
        let (Some(entry), Some(platform)) = (listed.get_mut(index), &self.platform) else {
            return;
        };
        let restarted = entry.state == InstanceState::Leaving && state == InstanceState::Live;
        entry.epoch += u64::from(restarted);
        entry.state = state;
        platform.list_instance(entry.clone());
    }
}
