//! Results of one replay.

use hdrhistogram::Histogram;

/// Counts and waiting times of one replay.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub arrived: u64,
    pub in_time: u64,
    pub late: u64,
    pub rejected: u64,
    pub expired: u64,
    pub peak_over_slots: u32,
    pub peak_connections: u32,
    pub messages: u64,
    pub peak_messages_per_s: u64,
    pub wait_ms: Histogram<u64>,
    pub wait_outside_surge_ms: Histogram<u64>,
    pub rejected_after_ms: Histogram<u64>,
}

impl Outcome {
    pub fn new() -> Self {
        let waits =
            Histogram::new_with_bounds(1, 60_000, 3).expect("the lower bound is below the upper");
        Self {
            arrived: 0,
            in_time: 0,
            late: 0,
            rejected: 0,
            expired: 0,
            peak_over_slots: 0,
            peak_connections: 0,
            messages: 0,
            peak_messages_per_s: 0,
            wait_ms: waits.clone(),
            wait_outside_surge_ms: waits.clone(),
            rejected_after_ms: waits,
        }
    }

    /// Adds the outcome of another replay.
    pub fn add(&mut self, other: &Self) {
        self.arrived += other.arrived;
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.expired += other.expired;
        self.peak_over_slots = self.peak_over_slots.max(other.peak_over_slots);
        self.peak_connections = self.peak_connections.max(other.peak_connections);
        self.messages += other.messages;
        self.peak_messages_per_s = self.peak_messages_per_s.max(other.peak_messages_per_s);
        let pairs = [
            (&mut self.wait_ms, &other.wait_ms),
            (
                &mut self.wait_outside_surge_ms,
                &other.wait_outside_surge_ms,
            ),
            (&mut self.rejected_after_ms, &other.rejected_after_ms),
        ];
        for (sum, part) in pairs {
            sum.add(part).expect("histograms have the same bounds");
        }
    }
}
