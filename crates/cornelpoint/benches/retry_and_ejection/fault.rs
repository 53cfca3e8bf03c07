use rand::RngExt;
use rand_chacha::ChaCha8Rng;

pub const ENDPOINTS: usize = 15;
pub const ZONES: usize = 3;
/// Endpoints in a rack; the first of a zone stand in one rack.
const RACK: usize = 4;
pub const FAULT_START_MS: u64 = 5_000;
pub const FAULT_END_MS: u64 = 15_000;
const RESTART_EVERY_MS: u64 = 600;
const RESTART_MS: u64 = 400;

/// What goes wrong at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Answers 500 after 2 ms.
    FailsFast,
    /// Takes requests and never answers.
    Hangs,
    /// Takes ten times as long.
    SlowTenfold,
    /// Breaks its connections, then refuses new ones.
    Crashes,
    /// Crashes for 400 ms, one endpoint every 600 ms.
    Restarts,
    /// Can't be reached: what runs hangs, connecting times out.
    CutOff,
    /// Answers 500 after the usual time.
    FailsLate,
}

/// Which endpoints it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    Endpoint,
    Rack,
    Zone,
    Service,
}

/// One fault, from five to fifteen seconds after the start.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub kind: Kind,
    pub extent: Extent,
}

/// How a send goes at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    Answers { status: u16, after_ms: u64 },
    Silent,
    Refuses,
    ConnectTimesOut,
}

pub fn zone_of(endpoint: usize) -> usize {
    endpoint / (ENDPOINTS / ZONES)
}

impl Fault {
    pub fn strikes(self, endpoint: usize) -> bool {
        match self.extent {
            Extent::Endpoint => endpoint == 0,
            Extent::Rack => endpoint < RACK,
            Extent::Zone => zone_of(endpoint) == 0,
            Extent::Service => true,
        }
    }

    pub fn is_on(now_ms: u64) -> bool {
        (FAULT_START_MS..FAULT_END_MS).contains(&now_ms)
    }

    /// When it strikes an endpoint, if it does.
    fn times_ms(self, endpoint: usize) -> Option<(u64, u64)> {
        let start_ms = FAULT_START_MS + RESTART_EVERY_MS * endpoint as u64;
        match self.kind {
            _ if !self.strikes(endpoint) => None,
            Kind::Restarts => Some((start_ms, start_ms + RESTART_MS)),
            _ => Some((FAULT_START_MS, FAULT_END_MS)),
        }
    }

    pub fn is_struck(self, endpoint: usize, now_ms: u64) -> bool {
        let times_ms = self.times_ms(endpoint);
        times_ms.is_some_and(|(start, end)| (start..end).contains(&now_ms))
    }

    /// Whether it ends or silences what runs at the endpoint at this time.
    pub fn interrupts(self, endpoint: usize, now_ms: u64) -> bool {
        let is_start = self
            .times_ms(endpoint)
            .is_some_and(|(start, _)| start == now_ms);
        let lets_finish = matches!(
            self.kind,
            Kind::FailsFast | Kind::FailsLate | Kind::SlowTenfold
        );
        is_start && !lets_finish
    }

    pub fn course(self, endpoint: usize, now_ms: u64, random: &mut ChaCha8Rng) -> Course {
        let after_ms = service_ms(random);
        let good = Course::Answers {
            status: 200,
            after_ms,
        };
        if !self.is_struck(endpoint, now_ms) {
            return good;
        }
        match self.kind {
            Kind::FailsFast => Course::Answers {
                status: 500,
                after_ms: 2,
            },
            Kind::FailsLate => Course::Answers {
                status: 500,
                after_ms,
            },
            Kind::SlowTenfold => Course::Answers {
                status: 200,
                after_ms: after_ms * 10,
            },
            Kind::Hangs => Course::Silent,
            Kind::Crashes | Kind::Restarts => Course::Refuses,
            Kind::CutOff => Course::ConnectTimesOut,
        }
    }
}

/// Nine of ten take 100 to 250 ms, one takes 400 to 800 ms.
fn service_ms(random: &mut ChaCha8Rng) -> u64 {
    if random.random_range(0..10) == 0 {
        random.random_range(400..800)
    } else {
        random.random_range(100..250)
    }
}
