//! Counters and histograms of a process, exposed in the `OpenMetrics` text
//! format.

mod labels;
mod process_metrics;

pub(crate) use self::process_metrics::ProcessMetrics;
