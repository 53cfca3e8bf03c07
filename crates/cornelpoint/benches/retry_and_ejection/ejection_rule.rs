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

const PAUSE_MS: u64 = 10_000;
const FAILURES_IN_A_ROW: u32 = 5;
const RATE_WINDOW_MS: u64 = 10_000;
const RATE_SAMPLES: usize = 10;

/// The rules that are compared.
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
            Self::Outcomes => "outcomes (ours)",
        }
    }
}

/// One gateway's view of the endpoints, under one rule.
pub enum EjectionRule {
    None,
    Simple(SimpleRule),
    Outcomes(Box<EndpointHealth>),
}

/// Failures in a row or the share of successes, with a fixed pause.
pub struct SimpleRule {
    by_rate: bool,
    endpoints: Vec<SimpleRecord>,
}

#[derive(Clone, Default)]
struct SimpleRecord {
    in_a_row: u32,
    outcomes: VecDeque<(u64, bool)>,
    until_ms: u64,
}

impl EjectionRule {
    pub fn new(name: RuleName) -> Self {
        let simple = |by_rate| {
            Self::Simple(SimpleRule {
                by_rate,
                endpoints: vec![SimpleRecord::default(); ENDPOINTS],
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

    pub fn verdict(&self, number: usize, now_ms: u64) -> Verdict {
        match self {
            Self::Simple(rule) if rule.endpoints[number].until_ms > now_ms => Verdict::Avoid,
            Self::None | Self::Simple(_) => Verdict::Take,
            Self::Outcomes(health) => health.verdict(&id(number), now_ms),
        }
    }

    pub fn start(&mut self, number: usize, now_ms: u64) {
        if let Self::Outcomes(health) = self {
            match health.verdict(&id(number), now_ms) {
                Verdict::Trial => health.start_trial(&id(number), now_ms),
                Verdict::Take | Verdict::Avoid => health.record_start(&id(number), now_ms),
            }
        }
    }

    pub fn review(&mut self, now_ms: u64) {
        if let Self::Outcomes(health) = self {
            health.review(now_ms);
        }
    }

    pub fn end(&mut self, number: usize, outcome: Outcome, started_ms: u64, now_ms: u64) {
        match self {
            Self::None => {}
            Self::Simple(rule) => rule.end(number, outcome, now_ms),
            Self::Outcomes(health) => health.record(&id(number), outcome, started_ms, now_ms),
        }
    }
}

impl SimpleRule {
    fn end(&mut self, number: usize, outcome: Outcome, now_ms: u64) {
        let ejected = self.endpoints.iter().filter(|e| e.until_ms > now_ms);
        let has_room = ejected.count() < ENDPOINTS / 2;
        let record = &mut self.endpoints[number];
        let is_good = outcome == Outcome::Succeeded;
        record.in_a_row = if is_good { 0 } else { record.in_a_row + 1 };
        record.outcomes.push_back((now_ms, is_good));
        record
            .outcomes
            .retain(|(at, _)| at + RATE_WINDOW_MS > now_ms);
        let good = record.outcomes.iter().filter(|(_, good)| *good).count();
        let total = record.outcomes.len();
        let is_bad = if self.by_rate {
            total >= RATE_SAMPLES && good * 100 < total * 85
        } else {
            record.in_a_row >= FAILURES_IN_A_ROW
        };
        if is_bad && has_room {
            *record = SimpleRecord {
                until_ms: now_ms + PAUSE_MS,
                ..SimpleRecord::default()
            };
        }
    }
}

fn id(number: usize) -> InstanceId {
    InstanceId::try_from(format!("e{number}")).expect("a name")
}

fn endpoint(number: usize) -> Endpoint {
    let zone = format!("z{}", zone_of(number));
    Endpoint {
        instance: id(number),
        availability_zone: AvailabilityZone::try_from(zone).expect("a name"),
        rack: Rack::try_from("r1").expect("a name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        slots: 8,
        connections: 64,
    }
}
