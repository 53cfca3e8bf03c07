//! Memory of state at several sizes.
//!
//! Everything that was measured stays until the end, so that no freed memory
//! is counted as if it were not needed.

use std::hint::black_box;

use cornelpoint::replication::ReplicatedState;
use cornelpoint::replication::Update;

use super::dispatching::Gateway;
use super::fit::Point;
use super::fit::print_line;
use super::fit::print_line_head;
use super::inputs::configuration;
use super::inputs::facts;
use super::inputs::marks;
use super::membership::acquainted;
use super::membership::member;
use super::resident::resident_bytes;

const FACT_SIZES: [usize; 5] = [50, 500, 2_000, 10_000, 19_000];
const MEMBER_SIZES: [usize; 5] = [8, 50, 200, 500, 2_000];
const WAITING_SIZES: [usize; 4] = [10_000, 30_000, 60_000, 90_000];
const POOLS: usize = 29;
const ZONES: usize = 11;
const ENDPOINTS: usize = 50;
/// Marks, endpoints or members in all copies of one size together.
const UNITS: usize = 300_000;

/// Bytes at each size, and what was made to measure them.
struct Measured<T> {
    points: Vec<Point>,
    kept: Vec<T>,
}

/// Prints the tables of memory.
pub fn print(seed: u64) {
    println!("\n## Memory\n");
    println!("| state | size | bytes | bytes for each |");
    println!("|---|---:|---:|---:|");
    let marked = measure("marks", &FACT_SIZES, marked_facts);
    let configured = measure("configuration, endpoints", &FACT_SIZES, |size| {
        facts(configuration(size, POOLS, ZONES))
    });
    let members = measure("members", &MEMBER_SIZES, |size| {
        let all: Vec<_> = (0..size).map(member).collect();
        acquainted(&all, 0, seed)
    });
    let waiting = measure_waiting();
    print_line_head();
    print_line("memory of marks", "bytes", "mark", &marked.points);
    print_line(
        "memory of a configuration",
        "bytes",
        "endpoint",
        &configured.points,
    );
    print_line("memory of membership", "bytes", "member", &members.points);
    print_line(
        "memory of the dispatcher",
        "bytes",
        "waiting request",
        &waiting.points,
    );
    black_box((marked.kept, configured.kept, members.kept, waiting.kept));
}

fn marked_facts(size: usize) -> ReplicatedState {
    let mut facts = ReplicatedState::default();
    facts.apply(Update {
        configuration: None,
        marks: marks(size, 1),
    });
    facts
}

fn measure<T: Clone>(what: &str, sizes: &[usize], make: impl Fn(usize) -> T) -> Measured<T> {
    let mut measured = Measured {
        points: Vec::new(),
        kept: Vec::new(),
    };
    for &size in sizes {
        let first = make(size);
        let copies = UNITS / size;
        let before_bytes = resident_bytes();
        measured.kept.extend((0..copies).map(|_| first.clone()));
        let grown_bytes = resident_bytes().saturating_sub(before_bytes) as f64;
        measured.kept.push(first);
        let point = point(size, grown_bytes / copies as f64);
        print_point(what, point);
        measured.points.push(point);
    }
    measured
}

fn measure_waiting() -> Measured<Gateway> {
    let mut measured = Measured {
        points: Vec::new(),
        kept: Vec::new(),
    };
    for size in WAITING_SIZES {
        let mut gateway = Gateway::new(ENDPOINTS);
        let before_bytes = resident_bytes();
        gateway.enqueue(size);
        let grown_bytes = resident_bytes().saturating_sub(before_bytes) as f64;
        measured.kept.push(gateway);
        let point = point(size, grown_bytes);
        print_point("waiting requests", point);
        measured.points.push(point);
    }
    measured
}

fn point(size: usize, value: f64) -> Point {
    Point {
        size: size as f64,
        value,
    }
}

fn print_point(what: &str, point: Point) {
    println!(
        "| {what} | {} | {:.0} | {:.0} |",
        point.size,
        point.value,
        point.value / point.size
    );
}
