//! Counts of queued requests by deadline, with range sums in logarithmic time.

/// Number of buckets in the ring; a power of two.
const BUCKETS: u64 = 1_024;

/// Ring of deadline buckets, summed by a Fenwick tree.
#[derive(Clone, Debug)]
pub(super) struct DeadlineCounts {
    tree: Vec<u32>,
    bucket_ms: u64,
}

impl DeadlineCounts {
    pub(super) fn new(max_deadline_ms: u64) -> Self {
        let bucket_ms = (max_deadline_ms / (BUCKETS - 2)) + 1;
        Self {
            tree: vec![0; to_index(BUCKETS) + 1],
            bucket_ms,
        }
    }

    pub(super) fn add(&mut self, deadline_ms: u64) {
        self.update(deadline_ms, |sum| *sum += 1);
    }

    pub(super) fn subtract(&mut self, deadline_ms: u64) {
        self.update(deadline_ms, |sum| *sum -= 1);
    }

    /// Returns the number of requests with a deadline from `from_ms` to `to_ms`,
    /// both rounded to whole buckets.
    pub(super) fn count(&self, from_ms: u64, to_ms: u64) -> u64 {
        if to_ms < from_ms {
            return 0;
        }
        let first = self.bucket(from_ms);
        let last = self.bucket(to_ms);
        let upto_last = self.prefix_sum(last + 1);
        let before_first = self.prefix_sum(first);
        if first <= last {
            u64::from(upto_last - before_first)
        } else {
            u64::from(self.prefix_sum(BUCKETS) - before_first + upto_last)
        }
    }

    fn bucket(&self, deadline_ms: u64) -> u64 {
        (deadline_ms / self.bucket_ms) % BUCKETS
    }

    fn update(&mut self, deadline_ms: u64, change: impl Fn(&mut u32)) {
        let mut position = self.bucket(deadline_ms) + 1;
        while position <= BUCKETS {
            change(&mut self.tree[to_index(position)]);
            position += lowest_bit(position);
        }
    }

    fn prefix_sum(&self, buckets: u64) -> u32 {
        let mut position = buckets;
        let mut sum = 0;
        while position > 0 {
            sum += self.tree[to_index(position)];
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
