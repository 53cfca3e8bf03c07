use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fault_kind::FaultKind;
use super::planned_fault::FaultAction;
use super::planned_fault::PlannedFault;
use crate::endpoint::EndpointFault;
use crate::endpoint::FaultRule;
use crate::endpoint::FaultScope;
use crate::platform::PlatformFaults;
use crate::relay::Cut;
use crate::relay::RelayFaults;

/// Mean time between the starts of two faults.
const MEAN_GAP_MS: u64 = 250;

/// Upper bound of a fault's duration (exclusive).
const MAX_FAULT_MS: u64 = 1500;

/// Minimum duration of a fault, unless the plan ends earlier.
const MIN_FAULT_MS: u64 = 200;

/// What a plan may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanScope<'a> {
    /// Kinds of faults to draw from.
    pub kinds: &'a [FaultKind],
    /// Number of endpoints among the targets.
    pub endpoints: usize,
    /// Number of relays among the targets.
    pub relays: usize,
    /// Duration of the plan; all faults have ended by then.
    pub duration_ms: u64,
}

/// A schedule of faults; equal seeds give equal schedules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Actions ordered by time.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws a schedule from a seed.
    ///
    /// ```
    /// use cornelpoint_standin::fault_plan::FaultKind;
    /// use cornelpoint_standin::fault_plan::FaultPlan;
    /// use cornelpoint_standin::fault_plan::PlanScope;
    ///
    /// let scope = PlanScope {
    ///     kinds: &[FaultKind::EndpointHang],
    ///     endpoints: 3,
    ///     relays: 0,
    ///     duration_ms: 5000,
    /// };
    /// assert_eq!(FaultPlan::from_seed(7, scope), FaultPlan::from_seed(7, scope));
    /// ```
    #[must_use]
    pub fn from_seed(seed: u64, scope: PlanScope<'_>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let kinds: Vec<_> = scope
            .kinds
            .iter()
            .filter(|k| is_available(**k, scope))
            .collect();
        let mut faults = Vec::new();
        let mut at_ms = 0;
        while !kinds.is_empty() {
            at_ms += random.random_range(0..2 * MEAN_GAP_MS);
            if at_ms >= scope.duration_ms {
                break;
            }
            let kind = *kinds[random.random_range(0..kinds.len())];
            let fault_duration_ms = random.random_range(MIN_FAULT_MS..MAX_FAULT_MS);
            let end_ms = (at_ms + fault_duration_ms).min(scope.duration_ms);
            let [begin, end] = draw(kind, scope, &mut random);
            faults.push(PlannedFault {
                at_ms,
                action: begin,
            });
            faults.push(PlannedFault {
                at_ms: end_ms,
                action: end,
            });
        }
        faults.sort_by_key(|fault| fault.at_ms);
        Self { faults }
    }
}

fn is_available(kind: FaultKind, scope: PlanScope<'_>) -> bool {
    if kind.is_of_relay() {
        return scope.relays > 0;
    }
    kind.is_of_platform() || scope.endpoints > 0
}

/// Draws the actions that start and end a fault.
fn draw(kind: FaultKind, scope: PlanScope<'_>, random: &mut ChaCha8Rng) -> [FaultAction; 2] {
    if kind.is_of_platform() {
        return [platform_faults(kind), PlatformFaults::default()]
            .map(|faults| FaultAction::Platform { faults });
    }
    if kind.is_of_relay() {
        let index = random.random_range(0..scope.relays);
        return [relay_faults(kind, random), RelayFaults::default()]
            .map(|faults| FaultAction::Relay { index, faults });
    }
    let index = random.random_range(0..scope.endpoints);
    if kind == FaultKind::EndpointLeaving {
        return [true, false].map(|leaving| FaultAction::Leaving { index, leaving });
    }
    [endpoint_rules(kind, random), Vec::new()].map(|rules| FaultAction::Endpoint { index, rules })
}

fn platform_faults(kind: FaultKind) -> PlatformFaults {
    let mut faults = PlatformFaults::default();
    match kind {
        FaultKind::PlatformDown => faults.down = true,
        FaultKind::PlatformSlow => faults.slow_ms = 300,
        FaultKind::PlatformLostAnswer => faults.lose_answer_percent = 50,
        _ => faults.instance_list_frozen = true,
    }
    faults
}

fn relay_faults(kind: FaultKind, random: &mut ChaCha8Rng) -> RelayFaults {
    let mut faults = RelayFaults::default();
    match kind {
        FaultKind::RelayRefusal => faults.refuse = true,
        FaultKind::RelayDelay => faults.delay_ms = random.random_range(5..100),
        _ => {
            let cuts = [Cut::Both, Cut::ToTarget, Cut::FromTarget];
            faults.cut = cuts[random.random_range(0..cuts.len())];
        }
    }
    faults
}

fn endpoint_rules(kind: FaultKind, random: &mut ChaCha8Rng) -> Vec<FaultRule> {
    let fault = match kind {
        FaultKind::EndpointFailure => EndpointFault::FailFast,
        FaultKind::EndpointHang => EndpointFault::Hang,
        FaultKind::EndpointSlow => EndpointFault::Slow { factor: 20 },
        FaultKind::EndpointRefusal => EndpointFault::RefuseConnections,
        FaultKind::ConnectionClosed => closed(random),
        FaultKind::SlowAnswer => slow_answer(random),
        FaultKind::EndpointFreeze => EndpointFault::Freeze { freeze_ms: 300 },
        _ => bad_answer(random),
    };
    let scopes = [
        FaultScope::UntilCleared,
        FaultScope::Share { percent: 50 },
        FaultScope::Next { requests: 3 },
    ];
    let scope = scopes[random.random_range(0..scopes.len())];
    vec![FaultRule { fault, scope }]
}

fn closed(random: &mut ChaCha8Rng) -> EndpointFault {
    match random.random_range(0..3) {
        0 => EndpointFault::CloseBeforeRun,
        1 => EndpointFault::CloseAfterRun,
        _ => EndpointFault::CloseIdle {
            after_ms: random.random_range(1..20),
        },
    }
}

fn slow_answer(random: &mut ChaCha8Rng) -> EndpointFault {
    match random.random_range(0..2) {
        0 => EndpointFault::Drip {
            pause_ms: random.random_range(1..10),
        },
        _ => EndpointFault::LateAnswer {
            late_ms: random.random_range(50..1000),
        },
    }
}

fn bad_answer(random: &mut ChaCha8Rng) -> EndpointFault {
    match random.random_range(0..8) {
        0 => EndpointFault::CutAnswer {
            after_bytes: random.random_range(0..300),
        },
        1 => EndpointFault::LengthTooLarge { excess_bytes: 5 },
        2 => EndpointFault::LengthTooSmall { excess_bytes: 5 },
        3 => EndpointFault::AnswerTwice,
        4 => EndpointFault::StaleAnswerFirst,
        5 => EndpointFault::WrongAnswer,
        6 => EndpointFault::Garbage,
        _ => EndpointFault::HugeHeaders {
            header_bytes: 200_000,
        },
    }
}
