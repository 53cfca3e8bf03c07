use std::collections::BTreeMap;
use std::collections::VecDeque;

use cornelpoint::ejection::Outcome;
use cornelpoint::ejection::Verdict;
use cornelpoint::retry::Attempts;
use cornelpoint::retry::Decision;
use cornelpoint::retry::RetryBudget;
use cornelpoint::retry::SendResult;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ejection_rule::EjectionRule;
use super::ejection_rule::RuleName;
use super::fault::ENDPOINTS;
use super::fault::Fault;
use super::fault::FaultKind;
use super::fault::SendBehavior;
use super::figures::Figures;
use super::retry_policy::RetryPolicy;

pub const GATEWAYS: usize = 8;
const SLOTS: u32 = 8;
const RUN_MS: u64 = 20_000;
const DEADLINE_MS: u64 = 3_000;
const CONNECT_TIMEOUT_MS: u64 = 200;
/// Requests at the head of the queue that are considered in one pass.
const LOOK_AHEAD: usize = 32;

/// Settings of one replay.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub fault: Fault,
    pub ejection: RuleName,
    pub retry: RetryPolicy,
    pub requests_per_s: u64,
    /// Number of views of the endpoints' health: one per gateway, or 1 if all
    /// gateways share one.
    pub views: usize,
    pub seed: u64,
}

struct Request {
    gateway: usize,
    is_idempotent: bool,
    arrived_ms: u64,
    attempts: Attempts,
    tried: Vec<usize>,
    awaited_endpoint: Option<usize>,
}

struct ActiveSend {
    request: u64,
    endpoint: usize,
    started_ms: u64,
}

enum Event {
    Arrival,
    End(u64, SendResult, Outcome),
    Tick,
}

/// Simulation of gateways, their shared queue and the endpoints in virtual time.
pub struct Replay {
    setting: Setting,
    random: ChaCha8Rng,
    now_ms: u64,
    next_number: u64,
    events: BTreeMap<(u64, u64), Event>,
    requests: BTreeMap<u64, Request>,
    sends: BTreeMap<u64, ActiveSend>,
    queue: VecDeque<u64>,
    running: [u32; ENDPOINTS],
    rules: Vec<EjectionRule>,
    budgets: Vec<RetryBudget>,
    figures: Figures,
}

impl Replay {
    pub fn run(setting: Setting) -> Figures {
        let rule = |_| EjectionRule::new(setting.ejection);
        let budget = |_| setting.retry.budget();
        let mut replay = Self {
            setting,
            random: ChaCha8Rng::seed_from_u64(setting.seed),
            now_ms: 0,
            next_number: 0,
            events: BTreeMap::new(),
            requests: BTreeMap::new(),
            sends: BTreeMap::new(),
            queue: VecDeque::new(),
            running: [0; ENDPOINTS],
            rules: (0..setting.views).map(rule).collect(),
            budgets: (0..GATEWAYS).map(budget).collect(),
            figures: Figures::default(),
        };
        replay.schedule_events();
        replay.run_events();
        replay.figures
    }

    fn schedule_events(&mut self) {
        let requests = self.setting.requests_per_s * RUN_MS / 1000;
        for _ in 0..requests {
            let at_ms = self.random.random_range(0..RUN_MS);
            self.schedule(at_ms, Event::Arrival);
        }
        for at_ms in (0..RUN_MS).step_by(10) {
            self.schedule(at_ms, Event::Tick);
        }
    }

    fn run_events(&mut self) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            self.now_ms = at_ms;
            match event {
                Event::Arrival => self.arrive(),
                Event::End(send, result, outcome) => self.end(send, result, outcome),
                Event::Tick => self.tick(),
            }
            self.dispatch();
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) -> u64 {
        self.next_number += 1;
        self.events.insert((at_ms, self.next_number), event);
        self.next_number
    }

    fn arrive(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let is_idempotent = self.random.random_range(0..10) < 7;
        self.budgets[gateway].record_first_attempt(self.now_ms);
        self.next_number += 1;
        let request = Request {
            gateway,
            is_idempotent,
            arrived_ms: self.now_ms,
            attempts: Attempts::new(is_idempotent, self.now_ms + DEADLINE_MS),
            tried: Vec::new(),
            awaited_endpoint: None,
        };
        self.figures.arrive(self.now_ms);
        self.requests.insert(self.next_number, request);
        self.queue.push_back(self.next_number);
    }

    fn tick(&mut self) {
        for rule in &mut self.rules {
            rule.review(self.now_ms);
        }
        self.interrupt();
        self.observe();
        while let Some(id) = self.queue.front().copied() {
            let arrived_ms = self.requests.get(&id).map(|r| r.arrived_ms);
            if arrived_ms.is_some_and(|arrived| self.now_ms < arrived + DEADLINE_MS) {
                break;
            }
            self.queue.pop_front();
            self.finish(id, false);
        }
    }

    /// Records how many views avoid each endpoint.
    fn observe(&mut self) {
        for endpoint in 0..ENDPOINTS {
            let avoids =
                |rule: &&EjectionRule| rule.verdict(endpoint, self.now_ms) != Verdict::Take;
            let avoiding = self.rules.iter().filter(avoids).count();
            let is_affected = self.setting.fault.affects(endpoint);
            let is_avoided = avoiding * 4 >= self.rules.len() * 3;
            self.figures
                .observe(endpoint, is_affected, avoiding, is_avoided, self.now_ms);
        }
    }

    /// Breaks the running requests at endpoints where the fault starts now, or
    /// lets them hang.
    fn interrupt(&mut self) {
        let fault = self.setting.fault;
        let interrupted = |send: &ActiveSend| fault.interrupts(send.endpoint, self.now_ms);
        let sends = self.sends.iter().filter(|(_, send)| interrupted(send));
        let interrupted: Vec<u64> = sends.map(|(id, _)| *id).collect();
        for id in interrupted {
            match fault.kind {
                FaultKind::CutOff | FaultKind::Hangs => self.make_unresponsive(id),
                _ => self.end(id, SendResult::Broken, Outcome::Failed),
            }
        }
    }

    fn make_unresponsive(&mut self, id: u64) {
        let Some(send) = self.sends.remove(&id) else {
            return;
        };
        let deadline_ms = self.requests[&send.request].arrived_ms + DEADLINE_MS;
        self.next_number += 1;
        let number = self.next_number;
        self.sends.insert(number, send);
        let end = Event::End(number, SendResult::Late, Outcome::TimedOut);
        self.schedule(deadline_ms, end);
    }

    fn dispatch(&mut self) {
        let mut index = 0;
        while index < self.queue.len().min(LOOK_AHEAD) {
            let id = self.queue[index];
            match self.choose(id) {
                Some(endpoint) => {
                    self.queue.remove(index);
                    self.send(id, endpoint);
                }
                None => index += 1,
            }
        }
    }

    /// Chooses the endpoint with the fewest requests among those that the
    /// gateway's rule allows, preferring endpoints that the request has not
    /// tried.
    fn choose(&mut self, id: u64) -> Option<usize> {
        let request = &self.requests[&id];
        if let Some(endpoint) = request.awaited_endpoint {
            let is_back = !self.setting.fault.is_affected(endpoint, self.now_ms)
                && self.running[endpoint] < SLOTS;
            return is_back.then_some(endpoint);
        }
        let rule = &self.rules[request.gateway % self.setting.views];
        let first = self.random.random_range(0..ENDPOINTS);
        let rotated = (0..ENDPOINTS).map(|step| (first + step) % ENDPOINTS);
        let takes = |endpoint| match rule.verdict(endpoint, self.now_ms) {
            Verdict::Take => true,
            Verdict::Trial => request.is_idempotent,
            Verdict::Avoid => false,
        };
        let may_take = |endpoint: &usize| self.running[*endpoint] < SLOTS && takes(*endpoint);
        let free = rotated.filter(may_take);
        free.min_by_key(|e| (request.tried.contains(e), self.running[*e]))
    }

    fn send(&mut self, id: u64, endpoint: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.tried.push(endpoint);
        let left_ms = (request.arrived_ms + DEADLINE_MS).saturating_sub(self.now_ms);
        self.rules[request.gateway % self.setting.views].start(endpoint, self.now_ms);
        self.running[endpoint] += 1;
        let behavior = self
            .setting
            .fault
            .behavior(endpoint, self.now_ms, &mut self.random);
        let (after_ms, result, outcome) = send_result(behavior, left_ms);
        if result.may_have_run() {
            self.figures.send(self.now_ms);
        }
        let send = ActiveSend {
            request: id,
            endpoint,
            started_ms: self.now_ms,
        };
        self.next_number += 1;
        let number = self.next_number;
        self.sends.insert(number, send);
        self.schedule(self.now_ms + after_ms, Event::End(number, result, outcome));
    }

    fn end(&mut self, send: u64, result: SendResult, outcome: Outcome) {
        let Some(send) = self.sends.remove(&send) else {
            return;
        };
        self.running[send.endpoint] -= 1;
        let Some(request) = self.requests.get_mut(&send.request) else {
            return;
        };
        let gateway = request.gateway;
        self.rules[gateway % self.setting.views].end(
            send.endpoint,
            outcome,
            send.started_ms,
            self.now_ms,
        );
        let budget = &mut self.budgets[gateway];
        let decision = request.attempts.decide(result, self.now_ms, budget);
        if decision == Decision::RetryElsewhere {
            let waits = self.setting.retry.waits() && result == SendResult::Broken;
            request.awaited_endpoint = waits.then_some(send.endpoint);
            self.queue.push_front(send.request);
            return;
        }
        let is_good = result == SendResult::Answered { status: 200 };
        self.finish(send.request, is_good && decision == Decision::Answer);
    }

    fn finish(&mut self, id: u64, is_good: bool) {
        if let Some(request) = self.requests.remove(&id) {
            self.figures
                .finish(request.arrived_ms, self.now_ms, is_good);
        }
    }
}

fn send_result(behavior: SendBehavior, left_ms: u64) -> (u64, SendResult, Outcome) {
    match behavior {
        SendBehavior::Answers { status, after_ms } if after_ms < left_ms => {
            let outcome = if status == 200 {
                Outcome::Succeeded
            } else {
                Outcome::Failed
            };
            (after_ms, SendResult::Answered { status }, outcome)
        }
        SendBehavior::Answers { .. } | SendBehavior::NeverAnswers => {
            (left_ms, SendResult::Late, Outcome::TimedOut)
        }
        SendBehavior::Refuses => (1, SendResult::NotSent, Outcome::Refused),
        SendBehavior::ConnectTimesOut if left_ms > CONNECT_TIMEOUT_MS => {
            (CONNECT_TIMEOUT_MS, SendResult::NotSent, Outcome::Failed)
        }
        SendBehavior::ConnectTimesOut => (left_ms, SendResult::NotSent, Outcome::Withdrawn),
    }
}
