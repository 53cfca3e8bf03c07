//! Cost of each role as the fleet grows: measured at several sizes, with a
//! straight line fitted through the points.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    reason = "counts and times are small and not negative"
)]

mod dispatching;
mod duties;
mod fit;
mod inputs;
mod membership;
mod memory;
mod replication;
mod resident;
mod slots;

use std::env;

const DEFAULT_SEED: u64 = 1;

fn main() {
    let seed = env::var("CORNELPOINT_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    println!("# Capacity, seed {seed}");
    memory::print(seed);
    duties::print();
    replication::print_marks();
    replication::print_configurations();
    slots::print();
    dispatching::print();
    membership::print(seed);
}
