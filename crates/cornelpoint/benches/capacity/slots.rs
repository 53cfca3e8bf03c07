//! Exchanges with a slot holder, and how often a gateway sends them.

use std::time::Instant;

use cornelpoint::slots::Borrower;
use cornelpoint::slots::BorrowerSettings;
use cornelpoint::slots::HeldSlots;
use cornelpoint::slots::Holder;
use cornelpoint::slots::HolderSettings;
use cornelpoint::slots::SlotReply;
use cornelpoint::slots::SlotRequest;

use super::fit::Point;
use super::fit::print_line;
use super::fit::print_line_head;
use super::inputs::MAX_DEADLINE_MS;
use super::inputs::SLOTS;
use super::inputs::encoded_bytes;
use super::inputs::entry;
use super::inputs::holder_endpoints;
use super::inputs::pool;
use super::inputs::zone;

const GATEWAYS: [usize; 5] = [8, 50, 100, 250, 500];
/// Enough endpoints for each gateway to get a slot.
const ENDPOINTS_FOR_ALL: usize = 100;
const ENDPOINTS: [usize; 5] = [3, 10, 60, 100, 200];
/// Endpoints of one pool in one zone, of 19,000 in 29 pools and 11 zones.
const USUAL_ENDPOINTS: usize = 60;
const USUAL_GATEWAYS: usize = 50;
const EXCHANGES: usize = 4_000;
const RUN_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
enum Demand {
    Steady,
    Surge,
}

impl Demand {
    fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Surge => "surge",
        }
    }

    fn waiting(self, share: u32, held: &[HeldSlots]) -> u32 {
        match self {
            Self::Steady => u32::from(held.is_empty()),
            Self::Surge => share,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Cost {
    exchange_us: f64,
    request_bytes: f64,
    reply_bytes: f64,
}

/// Prints the tables of exchanges.
pub fn print() {
    println!("\n## Slot exchanges\n");
    println!("Steady: one request runs at each gateway, none waits. Surge: all slots are in use,");
    println!("and as many requests wait at each gateway as its share of the slots.\n");
    println!("| demand | gateways | endpoints | exchange, us | request bytes | reply bytes |");
    println!("|---|---:|---:|---:|---:|---:|");
    let by_gateways: Vec<Cost> = GATEWAYS
        .iter()
        .map(|&gateways| print_cost(gateways, ENDPOINTS_FOR_ALL, Demand::Steady))
        .collect();
    let by_endpoints: Vec<Cost> = ENDPOINTS
        .iter()
        .map(|&endpoints| print_cost(USUAL_GATEWAYS, endpoints, Demand::Surge))
        .collect();
    print_line_head();
    print_line(
        "exchange at 100 endpoints, steady",
        "us",
        "gateway",
        &points(&GATEWAYS, &by_gateways, |cost| cost.exchange_us),
    );
    print_line(
        "exchange at 50 gateways, surge",
        "us",
        "endpoint",
        &points(&ENDPOINTS, &by_endpoints, |cost| cost.exchange_us),
    );
    print_line(
        "request at 50 gateways, surge",
        "bytes",
        "endpoint",
        &points(&ENDPOINTS, &by_endpoints, |cost| cost.request_bytes),
    );
    print_line(
        "reply at 50 gateways, surge",
        "bytes",
        "endpoint",
        &points(&ENDPOINTS, &by_endpoints, |cost| cost.reply_bytes),
    );
    print_rates();
}

fn points(sizes: &[usize], costs: &[Cost], value: fn(&Cost) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .zip(costs)
        .map(|(&size, cost)| Point {
            size: size as f64,
            value: value(cost),
        })
        .collect()
}

fn print_cost(gateways: usize, endpoints: usize, demand: Demand) -> Cost {
    let cost = cost(gateways, endpoints, demand);
    println!(
        "| {} | {gateways} | {endpoints} | {:.1} | {:.0} | {:.0} |",
        demand.name(),
        cost.exchange_us,
        cost.request_bytes,
        cost.reply_bytes
    );
    cost
}

fn cost(gateways: usize, endpoints: usize, demand: Demand) -> Cost {
    let mut holder = holder(endpoints);
    let share = (endpoints * SLOTS as usize / gateways).max(1) as u32;
    let mut requests: Vec<SlotRequest> = (0..gateways).map(request).collect();
    let rounds = (EXCHANGES / gateways).max(4);
    let mut now_ms = 0;
    let mut spent_s = 0.0;
    let mut bytes = (0, 0);
    for _ in 0..rounds {
        now_ms += 100;
        bytes = (0, 0);
        for request in &mut requests {
            request.sequence += 1;
            request.queued = demand.waiting(share, &request.held);
            let started = Instant::now();
            let reply = holder.exchange(request, now_ms);
            spent_s += started.elapsed().as_secs_f64();
            request.held = held(&reply);
            bytes.0 += encoded_bytes(request);
            bytes.1 += encoded_bytes(&reply);
        }
    }
    Cost {
        exchange_us: spent_s * 1e6 / (gateways * rounds) as f64,
        request_bytes: f64::from(bytes.0 as u32) / gateways as f64,
        reply_bytes: f64::from(bytes.1 as u32) / gateways as f64,
    }
}

fn holder(endpoints: usize) -> Holder {
    let settings = HolderSettings {
        adopt_ms: 0,
        ..HolderSettings::for_max_deadline(MAX_DEADLINE_MS)
    };
    let mut holder = Holder::new(settings, 1, 0);
    holder.set_endpoints(&holder_endpoints(endpoints), 0);
    holder
}

fn request(gateway: usize) -> SlotRequest {
    SlotRequest {
        gateway: entry(gateway),
        incarnation: 1,
        sequence: 0,
        holder_term: None,
        pool: pool(0),
        availability_zone: zone(0),
        queued: 0,
        earliest_deadline_in_ms: Some(500),
        held: Vec::new(),
        avoided: Vec::new(),
    }
}

fn held(reply: &SlotReply) -> Vec<HeldSlots> {
    reply
        .lent
        .iter()
        .map(|lent| HeldSlots {
            endpoint: lent.endpoint.clone(),
            count: lent.count,
            in_use: lent.count,
        })
        .collect()
}

/// Prints the exchange rate of one gateway for one pool in one zone.
fn print_rates() {
    println!("\n| gateway's demand at 60 endpoints | exchanges per second |");
    println!("|---|---:|");
    for (what, running, waiting) in [
        ("none", 0, 0),
        ("10 requests run, none wait", 10, 0),
        ("480 requests run, 20 wait", 480, 20),
        ("480 requests run, 5,000 wait", 480, 5_000),
    ] {
        println!("| {what} | {:.1} |", exchanges_per_s(running, waiting));
    }
}

fn exchanges_per_s(running: u32, waiting: u32) -> f64 {
    let mut holder = holder(USUAL_ENDPOINTS);
    let settings = BorrowerSettings::for_own_zone(entry(0), 1, pool(0), zone(0));
    let mut borrower = Borrower::new(settings, 0);
    let mut started = 0;
    let mut exchanges = 0;
    for now_ms in 1..=RUN_MS {
        let queued = running - started + waiting;
        let deadline_ms = (queued > 0).then_some(now_ms + 1_000);
        borrower.set_demand(queued, deadline_ms);
        if let Some(request) = borrower.request_due(now_ms) {
            exchanges += 1;
            let reply = holder.exchange(&request, now_ms);
            borrower.apply(&reply, now_ms);
        }
        while started < running && borrower.acquire(&|_| false, now_ms).is_some() {
            started += 1;
        }
    }
    f64::from(exchanges) / (RUN_MS as f64 / 1_000.0)
}
