use super::limits::MIN_LATENCY_SAMPLES;

/// A sample moves the typical latency by at most this fraction of it: 1/16.
const TYPICAL_STEP_DIVISOR: u64 = 16;
/// A sample reduces the long latency by this fraction of it: 1/256.
const LONG_DECAY_DIVISOR: u64 = 256;

/// Typical and long latency, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Latencies {
    pub(super) typical_us: u64,
    pub(super) long_us: u64,
}

/// Running estimates of the latencies of successful requests.
///
/// The typical latency follows the median: each sample moves it by at most a
/// sixteenth towards itself, so that a few outliers do not move it far. The
/// long latency is a decaying maximum: each shorter sample reduces it by a
/// 256th.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyEstimate {
    typical_us: u64,
    long_us: u64,
    samples: u32,
}

impl LatencyEstimate {
    /// Adds one sample, in microseconds.
    pub(super) fn record(&mut self, latency_us: u64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.typical_us = latency_us;
        }
        let step_us = (self.typical_us / TYPICAL_STEP_DIVISOR).max(1);
        self.typical_us = if latency_us > self.typical_us {
            latency_us.min(self.typical_us + step_us)
        } else {
            latency_us.max(self.typical_us.saturating_sub(step_us))
        };
        let decayed_us = self.long_us - self.long_us / LONG_DECAY_DIVISOR;
        self.long_us = decayed_us.max(latency_us);
    }

    /// Returns the estimates once there are enough samples.
    pub(super) fn latencies(&self) -> Option<Latencies> {
        (self.samples >= MIN_LATENCY_SAMPLES).then_some(Latencies {
            typical_us: self.typical_us,
            long_us: self.long_us,
        })
    }
}
