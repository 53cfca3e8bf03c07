use super::limits::LATENCY_SAMPLES;

/// A sample moves the typical latency by this part of itself.
const TYPICAL_STEP_PART: u64 = 16;
/// A sample lets the long latency sink by this part of itself.
const LONG_STEP_PART: u64 = 256;

/// A typical and a long latency, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Latencies {
    pub(super) typical_us: u64,
    pub(super) long_us: u64,
}

/// Running estimates of the latencies of successes.
///
/// The typical one follows the median: it moves by a sixteenth towards each
/// sample, so that a few outliers do not move it far. The long one is the
/// longest of late: it sinks by a 256th with each shorter sample.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyEstimate {
    typical_us: u64,
    long_us: u64,
    samples: u32,
}

impl LatencyEstimate {
    /// Takes in one latency, in microseconds.
    pub(super) fn record(&mut self, latency_us: u64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.typical_us = latency_us;
        }
        let step_us = (self.typical_us / TYPICAL_STEP_PART).max(1);
        self.typical_us = if latency_us > self.typical_us {
            latency_us.min(self.typical_us + step_us)
        } else {
            latency_us.max(self.typical_us.saturating_sub(step_us))
        };
        let sunk_us = self.long_us - self.long_us / LONG_STEP_PART;
        self.long_us = sunk_us.max(latency_us);
    }

    /// The estimates, once there are samples enough.
    pub(super) fn latencies(&self) -> Option<Latencies> {
        (self.samples >= LATENCY_SAMPLES).then_some(Latencies {
            typical_us: self.typical_us,
            long_us: self.long_us,
        })
    }
}
