use std::collections::BTreeMap;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Endpoint;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Pool;
use cornelpoint::configuration::Service;
use cornelpoint::dispatch::DispatchAction;
use cornelpoint::dispatch::Dispatcher;
use cornelpoint::dispatch::DispatcherSettings;
use cornelpoint::dispatch::ExchangeResult;
use cornelpoint::dispatch::NewRequest;
use cornelpoint::dispatch::RequestAction;
use cornelpoint::dispatch::SendReport;
use cornelpoint::membership::Member;
use cornelpoint::membership::MemberStatus;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::PoolName;
use cornelpoint::name::Rack;
use cornelpoint::name::ServiceName;
use cornelpoint::name::TemplateName;
use cornelpoint::name::WorkspaceName;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::replication::Update;
use cornelpoint::request::Method;
use cornelpoint::request::Refusal;
use cornelpoint::retry::SendResult;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderEndpoint;
use cornelpoint::slots::HolderSettings;

const MAX_DEADLINE_MS: u64 = 60_000;
/// Time at which the holder no longer adopts and lends all slots.
const START_MS: u64 = 2_000;

/// A gateway with one availability zone, and the holder of its slots.
pub struct Gateway {
    dispatcher: Dispatcher,
    holder: Holder,
    now_ms: u64,
    holder_unresponsive_until_ms: u64,
    running: BTreeMap<u64, String>,
    sent: Vec<(u64, String)>,
    answered: Vec<u64>,
    rejected: Vec<(u64, Refusal)>,
    next_id: u64,
}

impl Gateway {
    pub fn new(endpoints: &[&str]) -> Self {
        let mut replicated = ReplicatedState::default();
        replicated.apply(Update {
            configuration: Some(configuration(endpoints)),
            marks: Vec::new(),
        });
        let mut dispatcher = Dispatcher::new(DispatcherSettings {
            gateway: name("entry-1"),
            incarnation: 1,
            availability_zone: zone(),
        });
        dispatcher.configure(replicated.configuration().unwrap(), &replicated, START_MS);
        dispatcher.set_members(&[member()]);
        let mut holder = Holder::new(HolderSettings::for_max_deadline(MAX_DEADLINE_MS), 1, 0);
        let holder_endpoints: Vec<HolderEndpoint> =
            endpoints.iter().map(|e| holder_endpoint(e)).collect();
        holder.set_endpoints(&holder_endpoints, 0);
        Self {
            dispatcher,
            holder,
            now_ms: START_MS,
            holder_unresponsive_until_ms: 0,
            running: BTreeMap::new(),
            sent: Vec::new(),
            answered: Vec::new(),
            rejected: Vec::new(),
            next_id: 100_000,
        }
    }

    pub fn sent(&self) -> Vec<(u64, &str)> {
        self.sent
            .iter()
            .map(|(id, endpoint)| (*id, endpoint.as_str()))
            .collect()
    }

    pub fn answered(&self) -> &[u64] {
        &self.answered
    }

    pub fn rejected(&self) -> &[(u64, Refusal)] {
        &self.rejected
    }

    pub fn enqueue(&mut self, id: u64, deadline_in_ms: u64, idempotent: bool) {
        let request = NewRequest {
            id,
            service: ServiceName::try_from("quoting").unwrap(),
            deadline_ms: self.now_ms + deadline_in_ms,
            body_bytes: 10,
            idempotent,
        };
        if let Err(refusal) = self.dispatcher.enqueue(request, self.now_ms) {
            self.rejected.push((id, refusal));
        }
    }

    /// Advances the time in steps of one millisecond.
    pub fn advance_ms(&mut self, length_ms: u64) {
        for _ in 0..length_ms {
            self.now_ms += 1;
            self.exchange();
            for RequestAction { id, action } in self.dispatcher.dispatch(self.now_ms) {
                self.handle_action(id, action);
            }
        }
    }

    pub fn complete(&mut self, id: u64, result: SendResult) {
        self.report(id, result, false);
    }

    /// Starts `count` requests and leaves them running.
    pub fn fill(&mut self, count: u64, deadline_in_ms: u64) {
        for id in 1..=count {
            self.enqueue(id, deadline_in_ms, true);
        }
        self.advance_ms(20);
        assert_eq!(self.running.len() as u64, count);
    }

    /// Runs `count` requests successfully, one after another.
    pub fn serve(&mut self, count: u64, work_ms: u64) {
        for _ in 0..count {
            let id = self.serve_one(SendResult::Answered { status: 200 }, work_ms, None);
            assert!(self.answered.contains(&id));
        }
    }

    /// Runs 40 requests, of which those at `endpoint` fail, so that it is
    /// ejected.
    pub fn fail_until_avoided(&mut self, endpoint: &str) {
        for _ in 0..40 {
            self.serve_one(SendResult::Answered { status: 200 }, 10, Some(endpoint));
        }
        self.advance_ms(100);
    }

    pub fn announce_leaving(&mut self, endpoint: &str) {
        loop {
            self.next_id += 1;
            let id = self.next_id;
            self.enqueue(id, 1_000, true);
            self.advance_ms(10);
            if self.running.get(&id).is_some_and(|at| at == endpoint) {
                self.report(id, SendResult::NotStarted, true);
                self.advance_ms(10);
                self.report(id, SendResult::Answered { status: 200 }, false);
                return;
            }
            self.report(id, SendResult::Answered { status: 200 }, false);
        }
    }

    pub fn make_holder_unresponsive(&mut self, length_ms: u64) {
        self.holder_unresponsive_until_ms = self.now_ms + length_ms;
    }

    fn serve_one(&mut self, result: SendResult, work_ms: u64, failing: Option<&str>) -> u64 {
        self.next_id += 1;
        let id = self.next_id;
        self.enqueue(id, 5_000, false);
        self.advance_ms(work_ms.max(5));
        let failed = self.running.get(&id).map(String::as_str) == failing;
        if failed && failing.is_some() {
            self.report(id, SendResult::Answered { status: 500 }, false);
        } else {
            self.report(id, result, false);
        }
        id
    }

    fn report(&mut self, id: u64, result: SendResult, leaving: bool) {
        self.running.remove(&id);
        let report = SendReport {
            result,
            leaving,
            refused: false,
            unreachable: false,
        };
        if let Some(action) = self.dispatcher.complete(id, report, self.now_ms) {
            self.handle_action(id, action);
        }
    }

    fn exchange(&mut self) {
        for exchange in self.dispatcher.exchanges_due(self.now_ms) {
            let request = exchange.request;
            let responds = self.now_ms >= self.holder_unresponsive_until_ms;
            let reply = responds.then(|| self.holder.exchange(&request, self.now_ms));
            let result = ExchangeResult {
                pool: request.pool,
                availability_zone: request.availability_zone,
                reply,
            };
            self.dispatcher.apply_exchange_result(&result, self.now_ms);
        }
    }

    fn handle_action(&mut self, id: u64, action: DispatchAction) {
        match action {
            DispatchAction::Send(assignment) => {
                let endpoint = assignment.endpoint.to_string();
                self.running.insert(id, endpoint.clone());
                self.sent.push((id, endpoint));
            }
            DispatchAction::Answer => self.answered.push(id),
            DispatchAction::Refuse(refusal) => self.rejected.push((id, refusal)),
        }
    }
}

fn name(text: &str) -> InstanceId {
    InstanceId::try_from(text).unwrap()
}

fn zone() -> AvailabilityZone {
    AvailabilityZone::try_from("hu-central-a").unwrap()
}

fn member() -> Member {
    Member {
        instance: name("entry-1"),
        availability_zone: zone(),
        incarnation: 1,
        status: MemberStatus::Live,
        keeper_address: ([127, 0, 0, 1], 7_001).into(),
        gossip_address: ([127, 0, 0, 1], 7_002).into(),
    }
}

fn holder_endpoint(endpoint: &str) -> HolderEndpoint {
    HolderEndpoint {
        instance: name(endpoint),
        epoch: 0,
        slots: 8,
        accepts_work: true,
    }
}

fn configuration(endpoints: &[&str]) -> Configuration {
    let pool = PoolName::try_from("quoting").unwrap();
    Configuration {
        generation: Generation(1),
        workspace: WorkspaceName::try_from("hu-central").unwrap(),
        template: TemplateName::try_from("futopalya").unwrap(),
        services: vec![Service {
            name: ServiceName::try_from("quoting").unwrap(),
            pool: pool.clone(),
            deadline_ms: 2_000,
            max_deadline_ms: MAX_DEADLINE_MS,
            max_body_bytes: 1_000,
            max_answer_bytes: 1_000,
            queue_limit: 100,
            queue_limit_bytes: 100_000,
            retry_percent: 100,
            idempotent_methods: vec![Method::Get],
            availability_budget_percent: 20,
            declared_peak_per_s: 100,
        }],
        pools: vec![Pool {
            name: pool,
            endpoints: endpoints.iter().map(|e| endpoint(e)).collect(),
        }],
        spare_pool: None,
    }
}

fn endpoint(instance: &str) -> Endpoint {
    Endpoint {
        instance: name(instance),
        availability_zone: zone(),
        rack: Rack::try_from("rack-1").unwrap(),
        address: ([127, 0, 0, 1], 9_000).into(),
        slots: 8,
        connections: 64,
    }
}
