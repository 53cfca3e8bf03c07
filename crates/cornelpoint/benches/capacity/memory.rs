//! Memory of state at several sizes.
//!
//! All measured state is retained until the end: memory freed earlier would be
//! reused by later state and missing from its measurement.

use std::hint::black_box;

use cornelpoint::replication::ReplicatedState;
use cornelpoint::replication::Update;

use super::dispatching::Gateway;
use super::fit::Point;
use super::fit::print_line;
use super::fit::print_line_head;
use super::inputs::configuration;
use super::inputs::marks;
use super::inputs::replicated_state;
use super::membership::member;
use super::membership::member_knowing_all;
use super::resident::resident_bytes;

const STATE_SIZES: [usize; 5] = [50, 500, 2_000, 10_000, 19_000];
const MEMBER_SIZES: [usize; 5] = [8, 50, 200, 500, 2_000];
const QUEUE_SIZES: [usize; 4] = [10_000, 30_000, 60_000, 90_000];
const POOLS: usize = 29;
const ZONES: usize = 11;
const ENDPOINTS: usize = 50;
/// Total number of marks, endpoints or members over all copies of one size.
const UNITS: usize = 300_000;

/// Bytes at each size, and the state that was built to measure them.
struct Measured<T> {
    points: Vec<Point>,
    retained: Vec<T>,
}

/// Prints the tables of memory.
pub fn print(seed: u64) {
    println!("\n## Memory\n");
    println!("| state | size | bytes | bytes per unit |");
    println!("|---|---:|---:|---:|");
    let marked = measure("marks", &STATE_SIZES, state_with_marks);
    let configured = measure("configuration, endpoints", &STATE_SIZES, |size| {
        replicated_state(configuration(size, POOLS, ZONES))
    });
    let members = measure("members", &MEMBER_SIZES, |size| {
        let all: Vec<_> = (0..size).map(member).collect();
        member_knowing_all(&all, 0, seed)
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
    black_box((
        marked.retained,
        configured.retained,
        members.retained,
        waiting.retained,
    ));
}

fn state_with_marks(size: usize) -> ReplicatedState {
    let mut replicated_state = ReplicatedState::default();
    replicated_state.apply(Update {
        configuration: None,
        marks: marks(size, 1),
    });
    replicated_state
}

fn measure<T: Clone>(what: &str, sizes: &[usize], make: impl Fn(usize) -> T) -> Measured<T> {
    let mut measured = Measured {
        points: Vec::new(),
        retained: Vec::new(),
    };
    for &size in sizes {
        let first = make(size);
        let copies = UNITS / size;
        let before_bytes = resident_bytes();
        measured.retained.extend((0..copies).map(|_| first.clone()));
        let grown_bytes = resident_bytes().saturating_sub(before_bytes) as f64;
        measured.retained.push(first);
        let point = point(size, grown_bytes / copies as f64);
        print_point(what, point);
        measured.points.push(point);
    }
    measured
}

fn measure_waiting() -> Measured<Gateway> {
    let mut measured = Measured {
        points: Vec::new(),
        retained: Vec::new(),
    };
    for size in QUEUE_SIZES {
        let mut gateway = Gateway::new(ENDPOINTS);
        let before_bytes = resident_bytes();
        gateway.enqueue(size);
        let grown_bytes = resident_bytes().saturating_sub(before_bytes) as f64;
        measured.retained.push(gateway);
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
