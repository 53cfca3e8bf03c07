//! A gateway's dispatch decisions: time per request, and a gateway for
//! measuring the memory of waiting requests.

use std::hint::black_box;
use std::time::Instant;

use cornelpoint::dispatch::DispatchAction;
use cornelpoint::dispatch::Dispatcher;
use cornelpoint::dispatch::DispatcherSettings;
use cornelpoint::dispatch::ExchangeResult;
use cornelpoint::dispatch::NewRequest;
use cornelpoint::dispatch::RequestAction;
use cornelpoint::dispatch::SendReport;
use cornelpoint::membership::Member;
use cornelpoint::membership::MemberStatus;
use cornelpoint::replication::ReplicatedState;
use cornelpoint::retry::SendResult;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderSettings;

use super::fit::Point;
use super::fit::print_line;
use super::fit::print_line_head;
use super::inputs::MAX_DEADLINE_MS;
use super::inputs::SLOTS;
use super::inputs::configuration;
use super::inputs::entry;
use super::inputs::holder_endpoints;
use super::inputs::replicated_state;
use super::inputs::service_name;
use super::inputs::zone;

const ENDPOINTS: [usize; 5] = [10, 50, 200, 650, 2_000];
const FLEETS: [usize; 5] = [50, 500, 2_000, 10_000, 19_000];
const POOLS: usize = 29;
const ZONES: usize = 11;
const WAITING: [usize; 4] = [10, 100, 1_000, 10_000];
const USUAL_ENDPOINTS: usize = 50;
/// Requests that end and are replaced in each step.
const BATCH: usize = 10;
const STEPS: usize = 200;
const STEP_MS: u64 = 5;
/// Requests that arrive at once while the slots are being filled.
const FILL_BATCH: usize = 2_000;
const FILL_STEPS: usize = 4;
const START_MS: u64 = 2_000;

/// Prints the tables of a gateway's dispatch decisions.
pub fn print() {
    println!("\n## Requests at a gateway\n");
    println!(
        "Time for enqueue, dispatch and complete, ten requests per dispatch, every slot in use.\n"
    );
    println!("| endpoints of the pool | waiting | us per request |");
    println!("|---:|---:|---:|");
    let by_endpoints: Vec<Point> = ENDPOINTS
        .iter()
        .map(|&endpoints| print_time(endpoints, BATCH, endpoints))
        .collect();
    let by_waiting: Vec<Point> = WAITING
        .iter()
        .map(|&waiting| print_time(USUAL_ENDPOINTS, waiting, waiting))
        .collect();
    print_line_head();
    print_line("request, 10 waiting", "us", "endpoint", &by_endpoints);
    print_line("request, 50 endpoints", "us", "waiting", &by_waiting);
    print_idle();
}

/// Prints the time of a dispatch without waiting requests, over a whole fleet.
fn print_idle() {
    println!("\n| endpoints, 29 pools, 11 zones | us per dispatch without requests |");
    println!("|---:|---:|");
    let points: Vec<Point> = FLEETS
        .iter()
        .map(|&endpoints| Point {
            size: endpoints as f64,
            value: idle_us(endpoints),
        })
        .collect();
    for point in &points {
        println!("| {} | {:.0} |", point.size, point.value);
    }
    print_line_head();
    print_line("dispatch without requests", "us", "endpoint", &points);
}

fn idle_us(endpoints: usize) -> f64 {
    let mut dispatcher = dispatcher(&replicated_state(configuration(endpoints, POOLS, ZONES)));
    let started = Instant::now();
    for step in 0..STEPS as u64 {
        let now_ms = START_MS + step * STEP_MS;
        black_box(dispatcher.dispatch(now_ms));
        black_box(dispatcher.exchanges_due(now_ms));
    }
    started.elapsed().as_secs_f64() * 1e6 / STEPS as f64
}

fn dispatcher(replicated_state: &ReplicatedState) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherSettings {
        gateway: entry(0),
        incarnation: 1,
        availability_zone: zone(0),
    });
    let configuration = replicated_state
        .configuration()
        .expect("configuration was just set");
    dispatcher.configure(configuration, replicated_state, START_MS);
    dispatcher.set_members(&[member()]);
    dispatcher
}

fn print_time(endpoints: usize, waiting: usize, size: usize) -> Point {
    let value = request_us(endpoints, waiting);
    println!("| {endpoints} | {waiting} | {value:.1} |");
    Point {
        size: size as f64,
        value,
    }
}

/// Returns the mean time per request while every slot is in use and `waiting`
/// requests wait: in each step some requests end, and as many start and arrive.
fn request_us(endpoints: usize, waiting: usize) -> f64 {
    let mut gateway = Gateway::new(endpoints);
    let mut running = gateway.fill(endpoints * SLOTS as usize);
    gateway.enqueue(waiting);
    let mut spent_s = 0.0;
    let mut started_requests = 0;
    for _ in 0..STEPS {
        gateway.now_ms += STEP_MS;
        gateway.exchange();
        let started = Instant::now();
        for id in running.drain(..BATCH) {
            gateway.complete(id);
        }
        gateway.enqueue(BATCH);
        let directed = gateway.dispatcher.dispatch(gateway.now_ms);
        spent_s += started.elapsed().as_secs_f64();
        let starts = sends(&directed);
        started_requests += starts.len();
        running.extend(starts);
    }
    spent_s * 1e6 / started_requests as f64
}

/// A gateway and the only slot holder.
pub struct Gateway {
    dispatcher: Dispatcher,
    holder: Holder,
    now_ms: u64,
    next_id: u64,
}

impl Gateway {
    pub fn new(endpoints: usize) -> Self {
        let dispatcher = dispatcher(&replicated_state(configuration(endpoints, 1, 1)));
        let mut holder = Holder::new(HolderSettings::for_max_deadline(MAX_DEADLINE_MS), 1, 0);
        holder.set_endpoints(&holder_endpoints(endpoints), 0);
        Self {
            dispatcher,
            holder,
            now_ms: START_MS,
            next_id: 0,
        }
    }

    pub fn enqueue(&mut self, count: usize) {
        for _ in 0..count {
            self.next_id += 1;
            let request = NewRequest {
                id: self.next_id,
                service: service_name(0),
                deadline_ms: self.now_ms + MAX_DEADLINE_MS,
                body_bytes: 100,
                idempotent: true,
            };
            self.dispatcher
                .enqueue(request, self.now_ms)
                .expect("the queue is not full");
        }
    }

    /// Advances time until `count` requests run.
    fn fill(&mut self, count: usize) -> Vec<u64> {
        let mut running = Vec::new();
        while running.len() < count {
            self.enqueue((count - running.len()).min(FILL_BATCH));
            for _ in 0..FILL_STEPS {
                self.now_ms += STEP_MS;
                self.exchange();
                let directed = self.dispatcher.dispatch(self.now_ms);
                running.extend(sends(&directed));
            }
        }
        running
    }

    fn complete(&mut self, id: u64) {
        let report = SendReport {
            result: SendResult::Answered { status: 200 },
            leaving: false,
            refused: false,
            unreachable: false,
        };
        self.dispatcher.complete(id, report, self.now_ms);
    }

    fn exchange(&mut self) {
        for exchange in self.dispatcher.exchanges_due(self.now_ms) {
            let request = exchange.request;
            let reply = self.holder.exchange(&request, self.now_ms);
            let result = ExchangeResult {
                pool: request.pool,
                availability_zone: request.availability_zone,
                reply: Some(reply),
            };
            self.dispatcher.apply_exchange_result(&result, self.now_ms);
        }
    }
}

fn sends(directed: &[RequestAction]) -> Vec<u64> {
    directed
        .iter()
        .filter(|next| matches!(next.action, DispatchAction::Send(_)))
        .map(|next| next.id)
        .collect()
}

fn member() -> Member {
    Member {
        instance: entry(0),
        availability_zone: zone(0),
        incarnation: 1,
        status: MemberStatus::Live,
        keeper_address: ([10, 1, 0, 1], 7_001).into(),
        gossip_address: ([10, 1, 0, 1], 7_002).into(),
    }
}
