//! Distribution of a fleet's duties over its keepers.

use std::collections::BTreeMap;

use cornelpoint::name::InstanceId;
use cornelpoint::rendezvous::choose_several;
use cornelpoint::rendezvous::slot_holder;

use super::inputs::entry;
use super::inputs::pool;
use super::inputs::zone;

const KEEPERS: [usize; 5] = [9, 50, 200, 500, 2_000];
const ZONES: [usize; 3] = [3, 4, 11];
const POOLS: usize = 29;
/// Keepers of each zone that poll the platform.
const POLLERS_PER_ZONE: usize = 1;
/// A poll reads the head row and the instance list.
const READS_PER_POLL: usize = 2;
const POLLS_PER_S: usize = 2;

/// Prints the tables of duties.
pub fn print() {
    println!("\n## Duties\n");
    println!("Each poll, every 500 ms, reads the head row and the instance list.\n");
    println!(
        "| keepers | zones | polling keepers | reads/s | reads/s without a configuration (all keepers poll) | slot holders in all, 29 pools | most on one keeper |"
    );
    println!("|---:|---:|---:|---:|---:|---:|---:|");
    for zones in ZONES {
        for keepers in KEEPERS {
            print_row(keepers, zones);
        }
    }
}

fn print_row(keepers: usize, zones: usize) {
    let zones_in_use = zones.min(keepers);
    let pollers: usize = (0..zones_in_use)
        .map(|number| pollers(&keepers_in_zone(keepers, zones, number)))
        .sum();
    let max_held = (0..zones_in_use)
        .map(|number| max_pools_held(&keepers_in_zone(keepers, zones, number), number))
        .max()
        .unwrap_or(0);
    println!(
        "| {keepers} | {zones} | {pollers} | {} | {} | {} | {max_held} |",
        pollers * READS_PER_POLL * POLLS_PER_S,
        keepers * READS_PER_POLL * POLLS_PER_S,
        zones_in_use * POOLS,
    );
}

fn keepers_in_zone(keepers: usize, zones: usize, number: usize) -> Vec<InstanceId> {
    (number..keepers).step_by(zones).map(entry).collect()
}

fn pollers(members: &[InstanceId]) -> usize {
    choose_several(0, members, POLLERS_PER_ZONE).len()
}

fn max_pools_held(members: &[InstanceId], number: usize) -> usize {
    let mut held: BTreeMap<&InstanceId, usize> = BTreeMap::new();
    for pool_number in 0..POOLS {
        let holder = slot_holder(&pool(pool_number), &zone(number), members);
        if let Some(holder) = holder {
            *held.entry(holder).or_default() += 1;
        }
    }
    held.into_values().max().unwrap_or(0)
}
