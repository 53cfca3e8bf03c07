use rand::RngExt;
use rand_chacha::ChaCha8Rng;

pub const ENDPOINTS: usize = 15;
pub const ZONES: usize = 3;
/// Endpoints in a rack: the first ones of the first zone.
const RACK_ENDPOINTS: usize = 4;
pub const FAULT_START_MS: u64 = 5_000;
pub const FAULT_END_MS: u64 = 15_000;
const RESTART_INTERVAL_MS: u64 = 600;
const RESTART_DURATION_MS: u64 = 400;

/// Kind of fault at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Answers 500 after 2 ms.
    FailsFast,
    /// Accepts requests and never answers.
    Hangs,
    /// Takes ten times as long to answer.
    SlowTenfold,
    /// Breaks its connections and refuses new ones.
    Crashes,
    /// Crashes for 400 ms, one endpoint every 600 ms.
    Restarts,
    /// Cannot be reached: running requests hang and new connections time out.
    CutOff,
    /// Answers 500 after the usual time.
    FailsLate,
}

/// Endpoints that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    Endpoint,
    Rack,
    Zone,
    Service,
}

/// One fault, active from 5 to 15 s after the start.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub kind: FaultKind,
    pub scope: FaultScope,
}

/// How an endpoint responds to one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBehavior {
    Answers { status: u16, after_ms: u64 },
    NeverAnswers,
    Refuses,
    ConnectTimesOut,
}

pub fn zone_of(endpoint: usize) -> usize {
    endpoint / (ENDPOINTS / ZONES)
}

impl Fault {
    pub fn affects(self, endpoint: usize) -> bool {
        match self.scope {
            FaultScope::Endpoint => endpoint == 0,
            FaultScope::Rack => endpoint < RACK_ENDPOINTS,
            FaultScope::Zone => zone_of(endpoint) == 0,
            FaultScope::Service => true,
        }
    }

    pub fn is_active(now_ms: u64) -> bool {
        (FAULT_START_MS..FAULT_END_MS).contains(&now_ms)
    }

    /// Start and end of the fault at an endpoint, if the fault affects it.
    fn active_period_ms(self, endpoint: usize) -> Option<(u64, u64)> {
        let start_ms = FAULT_START_MS + RESTART_INTERVAL_MS * endpoint as u64;
        match self.kind {
            _ if !self.affects(endpoint) => None,
            FaultKind::Restarts => Some((start_ms, start_ms + RESTART_DURATION_MS)),
            _ => Some((FAULT_START_MS, FAULT_END_MS)),
        }
    }

    pub fn is_affected(self, endpoint: usize, now_ms: u64) -> bool {
        let active_period_ms = self.active_period_ms(endpoint);
        active_period_ms.is_some_and(|(start, end)| (start..end).contains(&now_ms))
    }

    /// Whether requests that are running at the endpoint break or hang at this
    /// time.
    pub fn interrupts(self, endpoint: usize, now_ms: u64) -> bool {
        let is_start = self
            .active_period_ms(endpoint)
            .is_some_and(|(start, _)| start == now_ms);
        let lets_finish = matches!(
            self.kind,
            FaultKind::FailsFast | FaultKind::FailsLate | FaultKind::SlowTenfold
        );
        is_start && !lets_finish
    }

    pub fn behavior(self, endpoint: usize, now_ms: u64, random: &mut ChaCha8Rng) -> SendBehavior {
        let after_ms = service_ms(random);
        let good = SendBehavior::Answers {
            status: 200,
            after_ms,
        };
        if !self.is_affected(endpoint, now_ms) {
            return good;
        }
        match self.kind {
            FaultKind::FailsFast => SendBehavior::Answers {
                status: 500,
                after_ms: 2,
            },
            FaultKind::FailsLate => SendBehavior::Answers {
                status: 500,
                after_ms,
            },
            FaultKind::SlowTenfold => SendBehavior::Answers {
                status: 200,
                after_ms: after_ms * 10,
            },
            FaultKind::Hangs => SendBehavior::NeverAnswers,
            FaultKind::Crashes | FaultKind::Restarts => SendBehavior::Refuses,
            FaultKind::CutOff => SendBehavior::ConnectTimesOut,
        }
    }
}

/// Service time of one request: nine of ten take 100 to 250 ms, one of ten takes
/// 400 to 800 ms.
fn service_ms(random: &mut ChaCha8Rng) -> u64 {
    if random.random_range(0..10) == 0 {
        random.random_range(400..800)
    } else {
        random.random_range(100..250)
    }
}
