use std::collections::VecDeque;
use std::net::SocketAddr;

use cornelpoint::configuration::Endpoint;
use cornelpoint::ejection::EndpointHealth;
use cornelpoint::ejection::Outcome;
use cornelpoint::ejection::Verdict;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::Rack;

use super::fault::ENDPOINTS;
use super::fault::zone_of;

const EJECTION_PAUSE_MS: u64 = 10_000;
const FAILURES_IN_A_ROW: u32 = 5;
const SUCCESS_RATE_WINDOW_MS: u64 = 10_000;
const MIN_SUCCESS_RATE_SAMPLES: usize = 10;

/// Ejection rules that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleName {
    None,
    Consecutive,
    SuccessRate,
    Outcomes,
}

impl RuleName {
    pub const ALL: [Self; 4] = [
        Self::None,
        Self::Consecutive,
        Self::SuccessRate,
        Self::Outcomes,
    ];

    pub fn title(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Consecutive => "5 failures in a row",
            Self::SuccessRate => "success rate",
            Self::Outcomes => "outcomes (cornelpoint)",
        }
    }
}

/// Health of the endpoints as one gateway sees it under one rule.
pub enum EjectionRule {
    None,
    Simple(SimpleRule),
    Outcomes(Box<EndpointHealth>),
}

/// Ejects after consecutive failures or by the share of successes, for a fixed
/// pause.
pub struct SimpleRule {
    by_success_rate: bool,
    endpoints: Vec<EndpointRecord>,
}

#[derive(Clone, Default)]
struct EndpointRecord {
    in_a_row: u32,
    outcomes: VecDeque<(u64, bool)>,
    until_ms: u64,
}

impl EjectionRule {
    pub fn new(name: RuleName) -> Self {
        let simple = |by_success_rate| {
            Self::Simple(SimpleRule {
                by_success_rate,
                endpoints: vec![EndpointRecord::default(); ENDPOINTS],
            })
        };
        match name {
            RuleName::None => Self::None,
            RuleName::Consecutive => simple(false),
            RuleName::SuccessRate => simple(true),
            RuleName::Outcomes => {
                let mut health = EndpointHealth::new();
                let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(endpoint).collect();
                health.set_endpoints(&endpoints);
                Self::Outcomes(Box::new(health))
            }
        }
    }

    pub fn verdict(&self, index: usize, now_ms: u64) -> Verdict {
        match self {
            Self::Simple(rule) if rule.endpoints[index].until_ms > now_ms => Verdict::Avoid,
            Self::None | Self::Simple(_) => Verdict::Take,
            Self::Outcomes(health) => health.verdict(&id(index), now_ms),
        }
    }

    pub fn start(&mut self, index: usize, now_ms: u64) {
        if let Self::Outcomes(health) = self {
            match health.verdict(&id(index), now_ms) {
                Verdict::Trial => health.start_trial(&id(index), now_ms),
                Verdict::Take | Verdict::Avoid => health.record_start(&id(index), now_ms),
            }
        }
    }

    pub fn review(&mut self, now_ms: u64) {
        if let Self::Outcomes(health) = self {
            health.review(now_ms);
        }
    }

    pub fn end(&mut self, index: usize, outcome: Outcome, started_ms: u64, now_ms: u64) {
        match self {
            Self::None => {}
            Self::Simple(rule) => rule.end(index, outcome, now_ms),
            Self::Outcomes(health) => health.record(&id(index), outcome, started_ms, now_ms),
        }
    }
}

impl SimpleRule {
    fn end(&mut self, index: usize, outcome: Outcome, now_ms: u64) {
        let ejected = self.endpoints.iter().filter(|e| e.until_ms > now_ms);
        let has_room = ejected.count() < ENDPOINTS / 2;
        let record = &mut self.endpoints[index];
        let is_good = outcome == Outcome::Succeeded;
        record.in_a_row = if is_good { 0 } else { record.in_a_row + 1 };
        record.outcomes.push_back((now_ms, is_good));
        record
            .outcomes
            .retain(|(at, _)| at + SUCCESS_RATE_WINDOW_MS > now_ms);
        let good = record.outcomes.iter().filter(|(_, good)| *good).count();
        let total = record.outcomes.len();
        let is_bad = if self.by_success_rate {
            total >= MIN_SUCCESS_RATE_SAMPLES && good * 100 < total * 85
        } else {
            record.in_a_row >= FAILURES_IN_A_ROW
        };
        if is_bad && has_room {
            *record = EndpointRecord {
                until_ms: now_ms + EJECTION_PAUSE_MS,
                ..EndpointRecord::default()
            };
        }
    }
}

fn id(index: usize) -> InstanceId {
    InstanceId::try_from(format!("e{index}")).expect("valid instance name")
}

fn endpoint(index: usize) -> Endpoint {
    let zone = format!("z{}", zone_of(index));
    Endpoint {
        instance: id(index),
        availability_zone: AvailabilityZone::try_from(zone).expect("valid zone name"),
        rack: Rack::try_from("r1").expect("valid rack name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 8,
        connections: 64,
    }
}
