//! Logs, metrics and the shutdown flag.

use std::fs;
use std::io;
use std::io::Write;
use std::net::UdpSocket;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use cornelpoint::request::Refusal;
use cornelpoint_daemon::log::Component;
use cornelpoint_daemon::log::LogFormat;
use cornelpoint_daemon::log::LogLevel;
use cornelpoint_daemon::log::LogSettings;
use cornelpoint_daemon::log::RootLog;
use cornelpoint_daemon::metrics::Counter;
use cornelpoint_daemon::metrics::Gauge;
use cornelpoint_daemon::metrics::Metrics;
use cornelpoint_daemon::metrics::Timer;
use cornelpoint_daemon::shutdown::ShutdownFlag;
use expect_test::expect;
use slog::debug;
use slog::info;
use slog::warn;

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer that blocks before each write until the test releases it.
struct BlockedWriter(Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns an error once the test has dropped the sender.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_text(settings: &LogSettings) -> String {
    let buffer = SharedBuffer::default();
    let log = RootLog::to_writer(settings, buffer.clone());
    info!(log.component(Component::Gateway), "Configuration in force."; "generation" => 4);
    warn!(log.component(Component::Platform), "No answer in time.");
    debug!(log.component(Component::Keeper), "Probe sent.");
    drop(log);
    buffer.text()
}

#[test]
fn each_record_starts_with_its_component() {
    let text = log_text(&LogSettings::default());
    let without_time = text
        .lines()
        .map(|line| line.split_once(" INFO ").or(line.split_once(" WARN ")));
    let lines: Vec<&str> = without_time.map(|split| split.unwrap().1).collect();
    expect![[r"
        gateway: Configuration in force., generation: 4
        platform: No answer in time."]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn json_format_has_the_same_messages() {
    let settings = LogSettings {
        form: LogFormat::Json,
        level: LogLevel::Debug,
        ..LogSettings::default()
    };
    let text = log_text(&settings);
    let parsed = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let messages = parsed.map(|record: serde_json::Value| {
        format!(
            "{} {}",
            record["level"].as_str().unwrap(),
            record["msg"].as_str().unwrap()
        )
    });
    expect![[r"
        INFO gateway: Configuration in force.
        WARN platform: No answer in time.
        DEBG keeper: Probe sent."]]
    .assert_eq(&messages.collect::<Vec<String>>().join("\n"));
}

#[test]
fn dropped_records_are_counted() {
    let (release, blocked) = sync_channel(0);
    let settings = LogSettings {
        queue_length: 2,
        ..LogSettings::default()
    };
    let log = RootLog::to_writer(&settings, BlockedWriter(blocked));
    let logger = log.component(Component::Main);
    for _ in 0..10 {
        info!(logger, "Started.");
    }
    // Two are queued, and a third may already be with the writer thread.
    assert!((7..=8).contains(&log.dropped()), "{}", log.dropped());
    drop(release);
}

#[test]
fn metrics_are_sent_with_names_and_reason_tags() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let metrics = Metrics::to_address("gateway", socket.local_addr().unwrap()).unwrap();
    metrics.count(Counter::Answered);
    metrics.count(Counter::KeeperFailure);
    metrics.count_refusal(Refusal::QueueFull);
    metrics.count_refusal(Refusal::AnswerLate);
    metrics.gauge(Gauge::Waiting, 3);
    metrics.record_ms(Timer::Request, 12);
    // Buffered metrics are sent when the last clone is dropped.
    drop(metrics);
    let mut bytes = [0; 2048];
    let count = socket.recv(&mut bytes).unwrap();
    expect![[r"
        cornelpoint.gateway.request.answered:1|c
        cornelpoint.gateway.keeper.failed:1|c
        cornelpoint.gateway.request.refused:1|c|#reason:queue-full
        cornelpoint.gateway.request.unknown:1|c|#reason:answer-late
        cornelpoint.gateway.request.waiting:3|g
        cornelpoint.gateway.request.time:12|ms
    "]]
    .assert_eq(str::from_utf8(&bytes[..count]).unwrap());
}

#[test]
fn documentation_lists_every_metric() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = fs::read_to_string(page).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: Vec<&str> = rows.map(|row| row.split('`').next().unwrap()).collect();
    let counters = Counter::ALL.iter().map(|counter| counter.as_str());
    let gauges = Gauge::ALL.iter().map(|gauge| gauge.as_str());
    let timers = Timer::ALL.iter().map(|timer| timer.as_str());
    let sent: Vec<&str> = counters.chain(gauges).chain(timers).collect();
    assert_eq!(listed, sent);
}

#[test]
fn a_signal_raises_the_shutdown_flag() {
    let flag = ShutdownFlag::on_signals().unwrap();
    assert!(!flag.wait_for(0));
    signal_hook::low_level::raise(signal_hook::consts::SIGTERM).unwrap();
    flag.wait();
    assert!(flag.is_raised());
    assert!(flag.wait_for(u64::MAX));
}
