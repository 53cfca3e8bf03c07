use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::fault::EndpointFault;
use super::fault::FaultRule;
use super::fault::FaultScope;

/// Fault rules in force; the first rule that applies wins.
#[derive(Debug, Default)]
pub(super) struct FaultRules {
    rules: Vec<FaultRule>,
}

impl FaultRules {
    pub(super) fn set(&mut self, rules: Vec<FaultRule>) {
        self.rules = rules;
    }

    /// Whether the listener must be closed, so that the operating system
    /// refuses connections.
    pub(super) fn refuses_all(&self) -> bool {
        self.rules.iter().any(|rule| {
            rule.fault == EndpointFault::RefuseConnections && rule.scope == FaultScope::UntilCleared
        })
    }

    /// Returns whether a fault refuses a new connection.
    pub(super) fn select_connection_fault(&mut self, random: &mut ChaCha8Rng) -> bool {
        self.select(random, |fault| *fault == EndpointFault::RefuseConnections)
            .is_some()
    }

    /// Selects the fault for a request.
    pub(super) fn select_request_fault(
        &mut self,
        random: &mut ChaCha8Rng,
    ) -> Option<EndpointFault> {
        self.select(random, |fault| *fault != EndpointFault::RefuseConnections)
    }

    fn select(
        &mut self,
        random: &mut ChaCha8Rng,
        applies: impl Fn(&EndpointFault) -> bool,
    ) -> Option<EndpointFault> {
        let selected = self
            .rules
            .iter_mut()
            .filter(|rule| applies(&rule.fault))
            .find_map(|rule| scope_applies(&mut rule.scope, random).then(|| rule.fault.clone()));
        self.rules
            .retain(|rule| rule.scope != FaultScope::Next { requests: 0 });
        selected
    }
}

fn scope_applies(scope: &mut FaultScope, random: &mut ChaCha8Rng) -> bool {
    match scope {
        FaultScope::Next { requests: 0 } => false,
        FaultScope::Next { requests } => {
            *requests -= 1;
            true
        }
        FaultScope::Share { percent } => random.random_range(0..100) < *percent,
        FaultScope::UntilCleared => true,
    }
}
