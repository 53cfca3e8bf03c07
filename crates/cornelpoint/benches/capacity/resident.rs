//! Resident memory of this process.

use std::fs;

const PAGE_BYTES: u64 = 4_096;

/// Returns the resident bytes reported by the kernel.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages = text
        .split_whitespace()
        .nth(1)
        .expect("statm has a second column");
    pages.parse::<u64>().expect("statm column is a page count") * PAGE_BYTES
}
