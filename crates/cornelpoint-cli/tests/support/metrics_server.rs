use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Longest wait for the metrics; reached only if the test hangs.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Largest metrics datagram, in bytes.
const DATAGRAM_BYTES: usize = 2048;

/// Receives metrics over UDP on its own thread, so that none is lost while the
/// test does something else.
pub struct MetricsServer {
    address: SocketAddr,
    metrics: Receiver<String>,
}

impl MetricsServer {
    pub fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let (sender, metrics) = channel();
        thread::spawn(move || receive(&socket, &sender));
        Self { address, metrics }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until each of these metrics, given without values, has been received.
    pub fn wait_for(&self, metrics: &[&str]) {
        let deadline = Instant::now() + TIMEOUT;
        let mut missing: BTreeSet<&str> = metrics.iter().copied().collect();
        while !missing.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            let metric = self.metrics.recv_timeout(left);
            let metric = metric
                .unwrap_or_else(|_| panic!("expected metrics {missing:?}, found none in time"));
            missing.remove(metric.as_str());
        }
    }
}

fn receive(socket: &UdpSocket, metrics: &Sender<String>) {
    let mut bytes = [0; DATAGRAM_BYTES];
    while let Ok(count) = socket.recv(&mut bytes) {
        for line in str::from_utf8(&bytes[..count]).unwrap().lines() {
            if metrics.send(without_value(line)).is_err() {
                return;
            }
        }
    }
}

/// Returns the name, type and tags of a metric, without its value.
fn without_value(line: &str) -> String {
    let (name, value) = line.split_once(':').unwrap();
    let (_, form) = value.split_once('|').unwrap();
    let name = name.strip_prefix("cornelpoint.").unwrap();
    format!("{name}|{form}")
}
