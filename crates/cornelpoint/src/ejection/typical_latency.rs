use super::limits::LATENCY_SAMPLES;

/// A sample moves the estimate by this part of itself.
const STEP_PART: u64 = 16;

/// Running estimate of the median of an endpoint's latencies.
///
/// It moves by a sixteenth towards each sample, so that a few outliers do not
/// move it far.
#[derive(Clone, Debug, Default)]
pub(super) struct TypicalLatency {
    estimate_us: u64,
    samples: u32,
}

impl TypicalLatency {
    /// Takes in one latency, in microseconds.
    pub(super) fn record(&mut self, latency_us: u64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.estimate_us = latency_us;
            return;
        }
        let step_us = (self.estimate_us / STEP_PART).max(1);
        if latency_us > self.estimate_us {
            self.estimate_us = latency_us.min(self.estimate_us + step_us);
        } else {
            self.estimate_us = latency_us.max(self.estimate_us - step_us.min(self.estimate_us));
        }
    }

    /// The estimate, in microseconds, once there are samples enough.
    pub(super) fn estimate_us(&self) -> Option<u64> {
        (self.samples >= LATENCY_SAMPLES).then_some(self.estimate_us)
    }
}
