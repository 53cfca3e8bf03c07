//! Metrics over the `StatsD` protocol; `docs/METRICS.md` lists them all.

mod counter;
mod gauge;
mod gauge_thread;
mod metrics_error;
mod metrics_sender;
mod timer;

pub use self::counter::Counter;
pub use self::gauge::Gauge;
pub use self::gauge_thread::GaugeThread;
pub use self::metrics_error::MetricsError;
pub use self::metrics_sender::Metrics;
pub use self::timer::Timer;
