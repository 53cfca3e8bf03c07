//! Counters and histograms of a process, in the text format of `OpenMetrics`.

mod labels;
mod process_metrics;

pub(crate) use self::process_metrics::ProcessMetrics;
