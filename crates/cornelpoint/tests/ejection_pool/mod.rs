//! A pool of endpoints driven by test scripts.

use std::net::SocketAddr;

use cornelpoint::configuration::Endpoint;
use cornelpoint::ejection::EndpointHealth;
use cornelpoint::ejection::Outcome;
use cornelpoint::ejection::Verdict;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::Rack;
use cornelpoint::platform::InstanceState;
use expect_test::Expect;

/// Health of the endpoints `e1`, `e2` and so on, with a virtual clock.
pub struct PoolScript {
    health: EndpointHealth,
    endpoints: Vec<InstanceId>,
    now_ms: u64,
}

impl PoolScript {
    /// Creates one endpoint for each zone listed.
    pub fn new(zones: &[&str]) -> Self {
        let endpoints: Vec<Endpoint> = (1..).zip(zones).map(endpoint).collect();
        let mut health = EndpointHealth::new();
        health.set_endpoints(&endpoints);
        Self {
            health,
            endpoints: endpoints.into_iter().map(|e| e.instance).collect(),
            now_ms: 10_000,
        }
    }

    /// Advances the time, with a review every 10 ms.
    pub fn advance(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms = (self.now_ms + 10).min(end_ms);
            self.health.review(self.now_ms);
        }
    }

    /// Runs `count` successful requests on every endpoint.
    pub fn run_all(&mut self, count: u32, latency_ms: u64) {
        for instance in self.endpoints.clone() {
            self.finish(instance.as_str(), Outcome::Succeeded, latency_ms, count);
        }
    }

    /// Runs `count` requests one after another, all with this outcome.
    pub fn finish(&mut self, name: &str, outcome: Outcome, latency_ms: u64, count: u32) {
        for _ in 0..count {
            self.start(name, 1);
            let started_ms = self.now_ms;
            self.now_ms += latency_ms;
            self.record(name, outcome, started_ms);
        }
    }

    /// Ends a request that started `age_ms` ago.
    pub fn finish_started(&mut self, name: &str, outcome: Outcome, age_ms: u64) {
        self.record(name, outcome, self.now_ms - age_ms);
    }

    /// Starts requests without ending them.
    pub fn start(&mut self, name: &str, count: u32) {
        for _ in 0..count {
            self.health.record_start(&id(name), self.now_ms);
        }
    }

    /// Starts a trial without ending it.
    pub fn start_trial(&mut self, name: &str) {
        assert_eq!(self.health.verdict(&id(name), self.now_ms), Verdict::Trial);
        self.health.start_trial(&id(name), self.now_ms);
    }

    /// Runs a trial to its end.
    pub fn trial(&mut self, name: &str, outcome: Outcome, latency_ms: u64) {
        self.start_trial(name);
        let started_ms = self.now_ms;
        self.now_ms += latency_ms;
        self.record(name, outcome, started_ms);
    }

    /// Applies an observed state of an endpoint.
    pub fn observe(&mut self, name: &str, epoch: u64, state: InstanceState) {
        self.health.observe(&id(name), epoch, state);
    }

    /// Compares the verdicts on all endpoints, and the service fault, with the
    /// expected ones.
    pub fn expect(&self, step: &str, expected: &Expect) {
        let verdicts = self.endpoints.iter().map(|instance| {
            let verdict = match self.health.verdict(instance, self.now_ms) {
                Verdict::Take => "take",
                Verdict::Trial => "trial",
                Verdict::Avoid => "avoid",
            };
            format!("{instance} {verdict}")
        });
        let mut line = verdicts.collect::<Vec<String>>().join(", ");
        if let Some(fault) = self.health.service_fault() {
            let found = format!("{} of {}", fault.failing, fault.endpoints);
            line = format!("{line}; service at fault, {found}");
        }
        println!("{step}: {line}");
        expected.assert_eq(&line);
    }

    fn record(&mut self, name: &str, outcome: Outcome, started_ms: u64) {
        self.health
            .record(&id(name), outcome, started_ms, self.now_ms);
    }
}

fn id(name: &str) -> InstanceId {
    InstanceId::try_from(name).expect("valid instance name")
}

fn endpoint((number, zone): (u16, &&str)) -> Endpoint {
    Endpoint {
        instance: id(&format!("e{number}")),
        availability_zone: AvailabilityZone::try_from(*zone).expect("valid zone name"),
        rack: Rack::try_from("r1").expect("valid rack name"),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        slots: 8,
        connections: 64,
    }
}
