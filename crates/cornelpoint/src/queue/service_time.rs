//! Quantiles of the time that endpoints take for a request.

/// Number of buckets per doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Total number of buckets; the last one covers times over four minutes.
const BUCKETS: usize = 145;
/// Number of samples at which all counts are halved, so that old samples lose
/// weight.
const HALVING_SAMPLES: u32 = 2_048;
/// Number of samples from which quantiles are reported.
const MIN_SAMPLES: u32 = 32;

/// Decaying histogram of service times.
#[derive(Clone, Debug)]
pub(super) struct ServiceTime {
    counts: Vec<u32>,
    samples: u32,
}

impl ServiceTime {
    pub(super) fn new() -> Self {
        Self {
            counts: vec![0; BUCKETS],
            samples: 0,
        }
    }

    /// Adds one service time, in milliseconds.
    pub(super) fn record(&mut self, service_ms: u64) {
        self.counts[bucket(service_ms)] += 1;
        self.samples += 1;
        if self.samples >= HALVING_SAMPLES {
            self.halve_counts();
        }
    }

    /// Returns the time that `permille` of the requests do not exceed, in
    /// milliseconds; zero while there are too few samples.
    pub(super) fn quantile_ms(&self, permille: u32) -> u64 {
        if self.samples < MIN_SAMPLES {
            return 0;
        }
        let rank = (u64::from(self.samples) * u64::from(permille)).div_ceil(1_000);
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += u64::from(*count);
            if cumulative >= rank {
                return upper_bound_ms(index);
            }
        }
        upper_bound_ms(BUCKETS - 1)
    }

    fn halve_counts(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.samples = self.counts.iter().sum();
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the logarithm is small and not negative"
)]
fn bucket(service_ms: u64) -> usize {
    let octaves = (service_ms.max(1) as f64).log2();
    ((octaves * BUCKETS_PER_OCTAVE).ceil() as usize).min(BUCKETS - 1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the bucket number is small"
)]
fn upper_bound_ms(index: usize) -> u64 {
    (index as f64 / BUCKETS_PER_OCTAVE).exp2().floor() as u64
}
