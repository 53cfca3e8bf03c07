//! Resident memory of this process.

use std::fs;

const PAGE_BYTES: u64 = 4_096;

/// Resident bytes, as the kernel counts them.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the kernel reports memory");
    let pages = text.split_whitespace().nth(1).expect("a second column");
    pages.parse::<u64>().expect("a count of pages") * PAGE_BYTES
}
