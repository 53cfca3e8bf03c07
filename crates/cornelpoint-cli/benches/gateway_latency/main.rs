//! Latency, processor time and memory that the gateway adds, in comparison with
//! direct calls of the same endpoint in the same run.
//!
//! Callers send at scheduled times, at half the capacity of the endpoint's
//! slots. Latency is measured from the scheduled time, so that it includes a
//! late send.

mod fleet;
mod process;
mod raw_client;

use std::env;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use self::fleet::Fleet;
use self::raw_client::RawClient;

/// Number of threads that send, each with its own connection.
const SENDERS: u32 = 16;
const ROUNDS: usize = 5;
const ROUND_DURATION: Duration = Duration::from_secs(1);
/// Rate for requests without work, whose rate the slots do not limit.
const INSTANT_RATE_PER_S: u32 = 800;
const WAITING_REQUESTS: usize = 1_000;
const TARGET_P50_RATIO: f64 = 2.0;
const TARGET_P99_RATIO: f64 = 3.0;

/// Measurements of one round.
struct Round {
    latency_us: Histogram<u64>,
    cpu_ms: u64,
}

/// Kind of request: its method and its work at the endpoint.
struct Load {
    method: &'static str,
    work_ms: u32,
}

impl Load {
    fn rate_per_s(&self) -> u32 {
        let slots = u32::try_from(Fleet::slots()).unwrap();
        match self.work_ms {
            0 => INSTANT_RATE_PER_S,
            work_ms => slots * 1_000 / work_ms / 2,
        }
    }

    /// Returns whether the arguments name no load, or this one, such as `GET/5`.
    fn is_wanted(&self) -> bool {
        let name = format!("{}/{}", self.method, self.work_ms);
        let names: Vec<String> = env::args()
            .filter(|name| name.starts_with(['G', 'P']))
            .collect();
        names.is_empty() || names.contains(&name)
    }

    fn request(&self, path: &str) -> Vec<u8> {
        let Self { method, work_ms } = self;
        let body = if *method == "POST" { "0123456789" } else { "" };
        let length = body.len();
        format!(
            "{method} {path}?work_ms={work_ms} HTTP/1.1\r\nhost: quoting\r\n\
             content-length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

fn main() {
    // Cargo passes `--bench`; a test run passes nothing and measures nothing.
    if !env::args().any(|argument| argument == "--bench") {
        return;
    }
    let fleet = Fleet::start();
    println!("latency at half load, {ROUNDS} rounds each, in microseconds");
    println!(
        "{:<6} {:>7} {:>6} {:>16} {:>16} {:>6} {:>6} {:>10}",
        "method",
        "work ms",
        "rate",
        "direct p50/p99",
        "gateway p50/p99",
        "x p50",
        "x p99",
        "us cpu/req"
    );
    for work_ms in [5, 1, 0] {
        for method in ["GET", "POST"] {
            let load = Load { method, work_ms };
            if load.is_wanted() {
                compare(&fleet, &load);
            }
        }
    }
    println!("target: x p50 under {TARGET_P50_RATIO}, x p99 under {TARGET_P99_RATIO}");
    print_memory_of_waiting_requests(&fleet);
    fleet.stop();
}

fn compare(fleet: &Fleet, load: &Load) {
    let direct_request = load.request("/");
    let gateway_request = load.request("/quoting/");
    let mut direct = Vec::new();
    let mut gateway = Vec::new();
    run(fleet.gateway(), load, &gateway_request);
    for _ in 0..ROUNDS {
        direct.push(run(fleet.endpoint(), load, &direct_request));
        gateway.push(run(fleet.gateway(), load, &gateway_request));
    }
    let (direct_p50, direct_p99) = percentiles(&direct);
    let (gateway_p50, gateway_p99) = percentiles(&gateway);
    println!(
        "{:<6} {:>7} {:>6} {:>16} {:>16} {:>6.2} {:>6.2} {:>10.1}",
        load.method,
        load.work_ms,
        load.rate_per_s(),
        format!("{direct_p50:.0}/{direct_p99:.0}"),
        format!("{gateway_p50:.0}/{gateway_p99:.0}"),
        gateway_p50 / direct_p50,
        gateway_p99 / direct_p99,
        cpu_us(&gateway) - cpu_us(&direct),
    );
}

/// Sends at the rate of the load for one round.
fn run(address: SocketAddr, load: &Load, request: &[u8]) -> Round {
    let interval = Duration::from_secs(1) * SENDERS / load.rate_per_s();
    let cpu_before_ms = process::cpu_ms();
    let start = Instant::now() + Duration::from_millis(20);
    let mut latency_us = new_histogram();
    thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDERS)
            .map(|sender| {
                let first = start + interval * sender / SENDERS;
                scope.spawn(move || send_on_schedule(address, request, first, interval))
            })
            .collect();
        for sender in senders {
            latency_us.add(sender.join().unwrap()).unwrap();
        }
    });
    Round {
        latency_us,
        cpu_ms: process::cpu_ms() - cpu_before_ms,
    }
}

fn send_on_schedule(
    address: SocketAddr,
    request: &[u8],
    first: Instant,
    interval: Duration,
) -> Histogram<u64> {
    let mut client = RawClient::connect(address);
    let mut latency_us = new_histogram();
    let mut due = first;
    while due < first + ROUND_DURATION {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        client.send(request);
        let status = client.receive();
        assert_eq!(status, 200);
        let time_us = u64::try_from(due.elapsed().as_micros()).unwrap();
        latency_us.record(time_us).unwrap();
        due += interval;
    }
    latency_us
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap()
}

/// Returns the medians over the rounds of the 50th and the 99th percentile, in microseconds.
fn percentiles(rounds: &[Round]) -> (f64, f64) {
    let median_of = |quantile: f64| {
        let mut values: Vec<f64> = rounds
            .iter()
            .map(|round| round.latency_us.value_at_quantile(quantile))
            .map(|value_us| u32::try_from(value_us).map_or(f64::INFINITY, f64::from))
            .collect();
        values.sort_by(f64::total_cmp);
        values[values.len() / 2]
    };
    (median_of(0.5), median_of(0.99))
}

/// Returns the processor time of the whole process per request, in microseconds.
fn cpu_us(rounds: &[Round]) -> f64 {
    let total_ms: u64 = rounds.iter().map(|round| round.cpu_ms).sum();
    let requests: u64 = rounds.iter().map(|round| round.latency_us.len()).sum();
    let spent = f64::from(u32::try_from(total_ms).unwrap()) * 1_000.0;
    spent / f64::from(u32::try_from(requests).unwrap())
}

/// Prints the memory that a waiting request adds to an idle connection of the gateway.
fn print_memory_of_waiting_requests(fleet: &Fleet) {
    let load = Load {
        method: "GET",
        work_ms: 10,
    };
    let request = load.request("/quoting/");
    let mut callers: Vec<RawClient> = (0..WAITING_REQUESTS)
        .map(|_| RawClient::connect(fleet.gateway()))
        .collect();
    let idle = process::resident_bytes();
    for caller in &mut callers {
        caller.send(&request);
    }
    thread::sleep(Duration::from_millis(100));
    let waiting = process::resident_bytes();
    for caller in &mut callers {
        assert_eq!(caller.receive(), 200);
    }
    let each = waiting.saturating_sub(idle) / WAITING_REQUESTS as u64;
    println!("memory a waiting request adds to its connection: {each} bytes");
}
