use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant decimal digits to which a duration is recorded.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Histogram of durations, in microseconds.
#[derive(Clone, Debug)]
pub(super) struct DurationHistogram {
    histogram_us: Histogram<u64>,
}

impl DurationHistogram {
    /// Creates an empty histogram.
    pub(super) fn new() -> Self {
        let histogram_us = Histogram::new(SIGNIFICANT_DIGITS)
            .expect("the number of significant digits is in range");
        Self { histogram_us }
    }

    /// Adds a duration.
    pub(super) fn record(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.histogram_us
            .record(time_us)
            .expect("an auto-resizing histogram accepts any value");
    }

    /// Adds all durations of another histogram.
    pub(super) fn add(&mut self, other: &Self) {
        self.histogram_us
            .add(&other.histogram_us)
            .expect("an auto-resizing histogram accepts any other histogram");
    }

    /// Returns the percentiles of the durations.
    pub(super) fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.histogram_us.value_at_quantile(quantile);
        Percentiles {
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            p99_9_us: at(0.999),
            max_us: self.histogram_us.max(),
        }
    }
}

/// Percentiles of durations, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p99_9_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl fmt::Display for Percentiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "p50 {} us, p90 {} us, p99 {} us, p99.9 {} us, max {} us",
            self.p50_us, self.p90_us, self.p99_us, self.p99_9_us, self.max_us
        )
    }
}
