use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::fault::EndpointFault;
use super::fault::FaultRule;
use super::fault::FaultScope;

/// Fault rules in force; the first that strikes decides.
#[derive(Debug, Default)]
pub(super) struct FaultRules {
    rules: Vec<FaultRule>,
}

impl FaultRules {
    pub(super) fn set(&mut self, rules: Vec<FaultRule>) {
        self.rules = rules;
    }

    /// Whether the operating system is to refuse connections.
    pub(super) fn refuses_all(&self) -> bool {
        self.rules.iter().any(|rule| {
            rule.fault == EndpointFault::RefuseConnections && rule.scope == FaultScope::UntilCleared
        })
    }

    /// Fault that strikes a new connection.
    pub(super) fn strike_connection(&mut self, random: &mut ChaCha8Rng) -> bool {
        self.strike(random, |fault| *fault == EndpointFault::RefuseConnections)
            .is_some()
    }

    /// Fault that strikes a request.
    pub(super) fn strike_request(&mut self, random: &mut ChaCha8Rng) -> Option<EndpointFault> {
        self.strike(random, |fault| *fault != EndpointFault::RefuseConnections)
    }

    fn strike(
        &mut self,
        random: &mut ChaCha8Rng,
        applies: impl Fn(&EndpointFault) -> bool,
    ) -> Option<EndpointFault> {
        let struck = self
            .rules
            .iter_mut()
            .filter(|rule| applies(&rule.fault))
            .find_map(|rule| strikes(&mut rule.scope, random).then(|| rule.fault.clone()));
        self.rules
            .retain(|rule| rule.scope != FaultScope::Next { requests: 0 });
        struck
    }
}

fn strikes(scope: &mut FaultScope, random: &mut ChaCha8Rng) -> bool {
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
