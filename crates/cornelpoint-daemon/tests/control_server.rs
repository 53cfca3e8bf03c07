//! Control server and client over loopback TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use cornelpoint::connection_budget::ClientClass;
use cornelpoint::connection_budget::ProcessLimits;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::control::ControlServer;
use cornelpoint_daemon::control::ControlSettings;
use cornelpoint_daemon::control::json_reply;
use cornelpoint_daemon::metrics::Metrics;

/// Far longer than any stop or answer takes; only a hang reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// More connections than any test opens.
const MAX_CONNECTIONS: usize = 64;

fn settings() -> ControlSettings {
    let limits = ProcessLimits {
        memory_bytes: 80_000_000,
        max_descriptors: 4100,
    };
    ControlSettings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        limits: limits.keeper(MAX_CONNECTIONS),
        max_message_bytes: 1000,
        classify: |_| ClientClass::Peers,
        metrics: Metrics::disabled(),
    }
}

/// Sends requests without a pause until `stop` is set.
fn request_continuously(address: SocketAddr, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let client = ControlClient::new(Duration::from_secs(1));
        while !stop.load(Ordering::Relaxed) {
            let _ = client.get_json::<u32>(address, "/");
        }
    })
}

#[test]
fn stops_under_continuous_requests() {
    let server = ControlServer::start(settings(), |_| json_reply(&7)).unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..4)
        .map(|_| request_continuously(server.address(), &stop))
        .collect();
    let client = ControlClient::new(Duration::from_secs(5));
    let before = client.get_json::<u32>(server.address(), "/");
    let (stopped, stop_finished) = sync_channel(1);
    thread::spawn(move || {
        server.stop();
        stopped.send(()).unwrap();
    });
    let result = stop_finished.recv_timeout(HANG_TIMEOUT);
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        requester.join().unwrap();
    }
    assert_eq!(before, Ok(7));
    assert_eq!(result, Ok(()));
}

#[test]
fn answers_all_kept_alive_connections() {
    const CLIENTS: usize = 32;
    let server = ControlServer::start(settings(), |_| json_reply(&7)).unwrap();
    let address = server.address();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                let client = ControlClient::new(HANG_TIMEOUT);
                (0..20)
                    .map(|_| client.get_json::<u32>(address, "/"))
                    .filter(|answer| *answer == Ok(7))
                    .count()
            })
        })
        .collect();
    let answered: Vec<usize> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    server.stop();
    assert_eq!(answered, vec![20; CLIENTS]);
}
