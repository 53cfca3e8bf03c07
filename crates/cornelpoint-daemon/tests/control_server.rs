//! The control interface over loopback TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::control::ControlServer;
use cornelpoint_daemon::control::json_reply;

/// Far longer than any stop takes; only a stop that hangs reaches it.
const HANGS: Duration = Duration::from_secs(60);

/// More connections than any test opens.
const MAX_CONNECTIONS: usize = 64;

/// Asks without a pause until told to end.
fn ask_always(address: SocketAddr, end: &Arc<AtomicBool>) -> JoinHandle<()> {
    let end = Arc::clone(end);
    thread::spawn(move || {
        let client = ControlClient::new(Duration::from_secs(1));
        while !end.load(Ordering::Relaxed) {
            let _ = client.get_json::<u32>(address, "/");
        }
    })
}

#[test]
fn stops_while_others_ask_all_the_time() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ControlServer::start(any, MAX_CONNECTIONS, |_| json_reply(&7)).unwrap();
    let end = Arc::new(AtomicBool::new(false));
    let askers: Vec<_> = (0..4).map(|_| ask_always(server.address(), &end)).collect();
    let client = ControlClient::new(Duration::from_secs(5));
    let before = client.get_json::<u32>(server.address(), "/");
    let (stopped, told) = sync_channel(1);
    thread::spawn(move || {
        server.stop();
        stopped.send(()).unwrap();
    });
    let result = told.recv_timeout(HANGS);
    end.store(true, Ordering::Relaxed);
    for asker in askers {
        asker.join().unwrap();
    }
    assert_eq!(before, Ok(7));
    assert_eq!(result, Ok(()));
}

#[test]
fn answers_every_connection_of_many_that_are_kept() {
    const CLIENTS: usize = 32;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = ControlServer::start(any, MAX_CONNECTIONS, |_| json_reply(&7)).unwrap();
    let address = server.address();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            thread::spawn(move || {
                let client = ControlClient::new(HANGS);
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
