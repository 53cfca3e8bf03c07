//! Counts of waiting requests by deadline, summed in logarithmic time.

/// Buckets of the ring; a power of two.
const BUCKETS: u64 = 1_024;

/// A ring of deadline buckets under a Fenwick tree.
#[derive(Clone, Debug)]
pub(super) struct DeadlineCounts {
    sums: Vec<u32>,
    bucket_ms: u64,
}

impl DeadlineCounts {
    pub(super) fn new(max_deadline_ms: u64) -> Self {
        let bucket_ms = (max_deadline_ms / (BUCKETS - 2)) + 1;
        Self {
            sums: vec![0; to_index(BUCKETS) + 1],
            bucket_ms,
        }
    }

    pub(super) fn add(&mut self, deadline_ms: u64) {
        self.walk(deadline_ms, |sum| *sum += 1);
    }

    pub(super) fn subtract(&mut self, deadline_ms: u64) {
        self.walk(deadline_ms, |sum| *sum -= 1);
    }

    /// Requests with a deadline from `from_ms` to `to_ms`, to the bucket.
    pub(super) fn count(&self, from_ms: u64, to_ms: u64) -> u64 {
        if to_ms < from_ms {
            return 0;
        }
        let first = self.slot(from_ms);
        let last = self.slot(to_ms);
        let upto_last = self.prefix(last + 1);
        let before_first = self.prefix(first);
        if first <= last {
            u64::from(upto_last - before_first)
        } else {
            u64::from(self.prefix(BUCKETS) - before_first + upto_last)
        }
    }

    fn slot(&self, deadline_ms: u64) -> u64 {
        (deadline_ms / self.bucket_ms) % BUCKETS
    }

    fn walk(&mut self, deadline_ms: u64, change: impl Fn(&mut u32)) {
        let mut position = self.slot(deadline_ms) + 1;
        while position <= BUCKETS {
            change(&mut self.sums[to_index(position)]);
            position += lowest_bit(position);
        }
    }

    fn prefix(&self, buckets: u64) -> u32 {
        let mut position = buckets;
        let mut sum = 0;
        while position > 0 {
            sum += self.sums[to_index(position)];
            position -= lowest_bit(position);
        }
        sum
    }
}

fn lowest_bit(position: u64) -> u64 {
    position & position.wrapping_neg()
}

#[expect(clippy::cast_possible_truncation, reason = "positions are small")]
fn to_index(position: u64) -> usize {
    position as usize
}
