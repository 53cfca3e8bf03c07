//! Replays one trace in virtual time, in steps of one millisecond.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cornelpoint::queue::QueueLimits;
use cornelpoint::queue::RequestEntry;
use cornelpoint::queue::RequestQueue;
use cornelpoint::request::Refusal;

use super::fleet::ENDPOINTS_PER_POOL;
use super::fleet::Fleet;
use super::fleet::POOLS;
use super::fleet::SLOTS;
use super::outcome::Outcome;
use super::sharing::Placement;
use super::sharing::Sharing;
use super::sharing::Strategy;
use super::trace::Arrival;
use super::trace::DURATION_MS;
use super::trace::MAX_DEADLINE_MS;
use super::trace::is_outside_surge;

pub const ONE_WAY_DELAY_MS: u64 = 1;

const BODY_BYTES: u64 = 1_000;
const MS_PER_S: u64 = 1_000;

/// Time during which a holder is down; a new one without state replaces it.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub pool: usize,
    pub zone: usize,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Which request is rejected when a queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullQueue {
    /// The arriving request.
    RefuseNewcomer,
    /// The request with the latest deadline.
    RefuseLast,
}

/// Configuration of one replay.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub strategy: Strategy,
    pub outage: Option<Outage>,
    /// Maximum number of requests queued at one gateway for one service.
    pub queue_requests: usize,
    pub full_queue: FullQueue,
}

enum Event {
    AtEndpoint(u64),
    Done(u64),
    Answer(u64),
}

#[derive(Clone, Default)]
struct Endpoint {
    running: u32,
    connections: u32,
    waiting: VecDeque<u64>,
}

struct RunningRequest {
    arrival: Arrival,
    queue: usize,
    placement: Placement,
    sent_ms: u64,
}

struct Replay<'a> {
    fleet: &'a Fleet,
    setup: Setup,
    arrivals: &'a [Arrival],
    sharing: Sharing,
    queues: Vec<Vec<RequestQueue>>,
    endpoints: Vec<Vec<Endpoint>>,
    running_requests: BTreeMap<u64, RunningRequest>,
    events: BTreeMap<u64, Vec<Event>>,
    outcome: Outcome,
}

/// Replays a trace with one strategy.
pub fn run(fleet: &Fleet, arrivals: &[Arrival], setup: Setup) -> Outcome {
    let mut replay = Replay::new(fleet, arrivals, setup);
    let mut next = 0;
    let mut messages = 0;
    for now_ms in 0..DURATION_MS + 2 * MAX_DEADLINE_MS {
        replay.inject_outage(setup.outage, now_ms);
        replay.sharing.deliver(now_ms);
        replay.handle_events(now_ms);
        while arrivals
            .get(next)
            .is_some_and(|arrival| arrival.at_ms == now_ms)
        {
            replay.arrive(next, now_ms);
            next += 1;
        }
        replay.dispatch_all(now_ms);
        if now_ms.is_multiple_of(MS_PER_S) {
            let sum = replay.sharing.messages();
            let peak = &mut replay.outcome.peak_messages_per_s;
            *peak = (*peak).max(sum - messages);
            messages = sum;
        }
    }
    replay.outcome.messages = replay.sharing.messages();
    replay.outcome
}

impl<'a> Replay<'a> {
    fn new(fleet: &'a Fleet, arrivals: &'a [Arrival], setup: Setup) -> Self {
        let central = setup.strategy == Strategy::Central;
        let queues = if central { 1 } else { fleet.gateways };
        let max_requests = setup.queue_requests * fleet.gateways / queues;
        let queue = RequestQueue::new(QueueLimits {
            max_requests,
            max_body_bytes: max_requests as u64 * BODY_BYTES,
            max_deadline_ms: MAX_DEADLINE_MS,
        });
        Self {
            fleet,
            setup,
            arrivals,
            sharing: Sharing::new(setup.strategy, fleet),
            queues: vec![vec![queue; POOLS]; queues],
            endpoints: vec![vec![Endpoint::default(); ENDPOINTS_PER_POOL]; POOLS],
            running_requests: BTreeMap::new(),
            events: BTreeMap::new(),
            outcome: Outcome::new(),
        }
    }

    fn inject_outage(&mut self, outage: Option<Outage>, now_ms: u64) {
        let Some(outage) = outage else {
            return;
        };
        let zone = outage.zone % self.fleet.zones;
        if now_ms == outage.from_ms {
            self.sharing.stop_holder(outage.pool, zone, now_ms);
        }
        if now_ms == outage.to_ms {
            self.sharing.start_holder(outage.pool, zone, now_ms);
        }
    }

    fn queue_of(&self, arrival: &Arrival) -> usize {
        if self.setup.strategy == Strategy::Central {
            return 0;
        }
        arrival.gateway
    }

    fn arrive(&mut self, index: usize, now_ms: u64) {
        let arrival = self.arrivals[index];
        let gateway = self.queue_of(&arrival);
        let entry = RequestEntry {
            id: index as u64,
            deadline_ms: arrival.deadline_ms,
            body_bytes: BODY_BYTES,
        };
        self.outcome.arrived += 1;
        let queue = &mut self.queues[gateway][arrival.pool];
        match queue.push(entry, now_ms) {
            Ok(()) => {
                self.sharing
                    .arrive(gateway, arrival.pool, arrival.deadline_ms, now_ms);
            }
            Err(Refusal::QueueFull) => self.handle_full_queue(gateway, arrival.pool, entry, now_ms),
            Err(_) => self.outcome.rejected += 1,
        }
    }

    /// Rejects the arriving request, or the one with the latest deadline.
    fn handle_full_queue(&mut self, gateway: usize, pool: usize, entry: RequestEntry, now_ms: u64) {
        self.outcome.rejected += 1;
        let queue = &mut self.queues[gateway][pool];
        let last = queue
            .last()
            .filter(|last| last.deadline_ms > entry.deadline_ms);
        let Some(last) = last else {
            return;
        };
        if self.setup.full_queue == FullQueue::RefuseLast && queue.remove(last.id) {
            let waited_ms = now_ms - self.arrivals[last.id as usize].at_ms;
            self.outcome.rejected_after_ms.saturating_record(waited_ms);
            self.outcome.rejected += u64::from(queue.push(entry, now_ms).is_err());
        }
    }

    fn dispatch_all(&mut self, now_ms: u64) {
        for gateway in 0..self.queues.len() {
            for pool in 0..POOLS {
                self.expire(gateway, pool, now_ms);
                self.dispatch(gateway, pool, now_ms);
                let queue = &self.queues[gateway][pool];
                self.sharing.send(gateway, pool, queue, now_ms);
            }
        }
    }

    fn expire(&mut self, gateway: usize, pool: usize, now_ms: u64) {
        for entry in self.queues[gateway][pool].take_expired(now_ms) {
            let waited_ms = now_ms - self.arrivals[entry.id as usize].at_ms;
            self.outcome.expired += 1;
            self.outcome.rejected_after_ms.saturating_record(waited_ms);
        }
    }

    fn dispatch(&mut self, gateway: usize, pool: usize, now_ms: u64) {
        while !self.queues[gateway][pool].is_empty() {
            let queue = &self.queues[gateway][pool];
            let Some(placement) = self.sharing.acquire(gateway, pool, queue, now_ms) else {
                return;
            };
            let Some(entry) = self.queues[gateway][pool].pop(now_ms) else {
                self.sharing.release(gateway, pool, &placement, now_ms);
                return;
            };
            self.start(gateway, entry.id, placement, now_ms);
        }
    }

    fn start(&mut self, queue: usize, id: u64, placement: Placement, now_ms: u64) {
        let arrival = self.arrivals[id as usize];
        let endpoint = &mut self.endpoints[arrival.pool][placement.endpoint];
        endpoint.connections += 1;
        let connections = endpoint.connections;
        self.outcome.peak_connections = self.outcome.peak_connections.max(connections);
        let over = connections.saturating_sub(SLOTS);
        self.outcome.peak_over_slots = self.outcome.peak_over_slots.max(over);
        let running = RunningRequest {
            arrival,
            queue,
            placement,
            sent_ms: now_ms,
        };
        self.running_requests.insert(id, running);
        self.schedule(now_ms + ONE_WAY_DELAY_MS, Event::AtEndpoint(id));
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.events.entry(at_ms).or_default().push(event);
    }

    fn handle_events(&mut self, now_ms: u64) {
        while let Some(events) = self.events.remove(&now_ms) {
            for event in events {
                match event {
                    Event::AtEndpoint(id) => self.handle_at_endpoint(id, now_ms),
                    Event::Done(id) => self.handle_done(id, now_ms),
                    Event::Answer(id) => self.handle_answer(id, now_ms),
                }
            }
        }
    }

    fn handle_at_endpoint(&mut self, id: u64, now_ms: u64) {
        let request = &self.running_requests[&id];
        let endpoint = &mut self.endpoints[request.arrival.pool][request.placement.endpoint];
        if endpoint.running >= SLOTS {
            endpoint.waiting.push_back(id);
            return;
        }
        endpoint.running += 1;
        let done_ms = now_ms + request.arrival.service_ms;
        self.schedule(done_ms, Event::Done(id));
    }

    fn handle_done(&mut self, id: u64, now_ms: u64) {
        let request = &self.running_requests[&id];
        let (pool, number) = (request.arrival.pool, request.placement.endpoint);
        self.schedule(now_ms + ONE_WAY_DELAY_MS, Event::Answer(id));
        self.endpoints[pool][number].running -= 1;
        while let Some(next) = self.endpoints[pool][number].waiting.pop_front() {
            let arrival = self.running_requests[&next].arrival;
            if arrival.deadline_ms <= now_ms {
                self.schedule(now_ms + ONE_WAY_DELAY_MS, Event::Answer(next));
                continue;
            }
            self.endpoints[pool][number].running += 1;
            self.schedule(now_ms + arrival.service_ms, Event::Done(next));
            return;
        }
    }

    fn handle_answer(&mut self, id: u64, now_ms: u64) {
        let Some(request) = self.running_requests.remove(&id) else {
            return;
        };
        let arrival = request.arrival;
        let pool = arrival.pool;
        self.endpoints[pool][request.placement.endpoint].connections -= 1;
        self.sharing
            .release(request.queue, pool, &request.placement, now_ms);
        self.queues[request.queue][pool].record_service_time(now_ms - request.sent_ms);
        if now_ms > arrival.deadline_ms {
            self.outcome.late += 1;
            return;
        }
        let spent_ms = arrival.service_ms + 2 * ONE_WAY_DELAY_MS;
        let wait_ms = (now_ms - arrival.at_ms).saturating_sub(spent_ms);
        self.outcome.in_time += 1;
        self.outcome.wait_ms.saturating_record(wait_ms);
        if is_outside_surge(pool, arrival.at_ms) {
            self.outcome
                .wait_outside_surge_ms
                .saturating_record(wait_ms);
        }
    }
}
