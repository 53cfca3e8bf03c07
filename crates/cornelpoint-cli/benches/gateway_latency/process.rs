use std::fs;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: u64 = 100;

/// Returns the processor time that this process has used, in milliseconds.
pub fn cpu_ms() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let after_name = stat.rsplit(')').next().unwrap();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u64 = fields[11].parse().unwrap();
    let system: u64 = fields[12].parse().unwrap();
    (user + system) * 1_000 / TICKS_PER_S
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib * 1024
}
