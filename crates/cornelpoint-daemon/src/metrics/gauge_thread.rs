use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use super::metrics_sender::Metrics;

/// Interval at which gauges are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A thread that reports a process's gauges and flushes buffered metrics once a
/// second.
///
/// ```
/// use cornelpoint_daemon::metrics::Gauge;
/// use cornelpoint_daemon::metrics::GaugeThread;
/// use cornelpoint_daemon::metrics::Metrics;
///
/// let thread = GaugeThread::start(Metrics::disabled(), |metrics| {
///     metrics.gauge(Gauge::Members, 3);
/// });
/// thread.stop();
/// ```
#[derive(Debug)]
pub struct GaugeThread {
    stop: SyncSender<()>,
    thread: JoinHandle<()>,
}

impl GaugeThread {
    /// Starts the thread, which calls `report` once a second.
    #[must_use]
    pub fn start(metrics: Metrics, report: impl Fn(&Metrics) + Send + 'static) -> Self {
        let (stop, stopped) = sync_channel(0);
        let thread = thread::spawn(move || run(&metrics, &stopped, report));
        Self { stop, thread }
    }

    /// Flushes buffered metrics and ends the thread.
    pub fn stop(self) {
        drop(self.stop);
        // A panic there has already been printed.
        let _ = self.thread.join();
    }
}

fn run(metrics: &Metrics, stopped: &Receiver<()>, report: impl Fn(&Metrics)) {
    while stopped.recv_timeout(REPORT_INTERVAL) == Err(RecvTimeoutError::Timeout) {
        report(metrics);
        metrics.flush();
    }
    metrics.flush();
}
