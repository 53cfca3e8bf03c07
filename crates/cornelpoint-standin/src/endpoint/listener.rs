use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::Builder;
use std::time::Duration;

use super::connection;
use super::state::State;
use super::work;
use crate::lock::lock;
use crate::reopening_listener;
use crate::reopening_listener::ListenerState;

/// Stack size of a connection's thread.
const STACK_BYTES: usize = 256 * 1024;

/// Interval at which a connection over the limit waits for another one to
/// close.
const CAPACITY_POLL_MS: u64 = 5;

/// Number of checks before a connection over the limit is rejected.
const CAPACITY_POLLS: u32 = 10;

/// Accepts connections until the endpoint stops.
pub(super) fn accept_all(state: &Arc<Mutex<State>>, listener: TcpListener, address: SocketAddr) {
    reopening_listener::accept_all(
        listener,
        address,
        || listener_state(state),
        |stream| accept_one(state, stream),
    );
}

fn listener_state(state: &Mutex<State>) -> ListenerState {
    let locked = lock(state);
    if locked.stopping {
        ListenerState::Stopping
    } else if locked.rules.refuses_all() {
        ListenerState::Closed
    } else {
        ListenerState::Open
    }
}

fn accept_one(state: &Arc<Mutex<State>>, stream: TcpStream) {
    work::wait_while_frozen(state);
    if lock(state).refuses_connection() {
        return;
    }
    wait_for_capacity(state);
    let stream = Arc::new(stream);
    let Some(id) = lock(state).open_connections.add(Arc::clone(&stream)) else {
        return;
    };
    let shared = Arc::clone(state);
    let spawned = Builder::new()
        .name("endpoint-connection".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            connection::serve(&shared, &stream);
            lock(&shared).open_connections.remove(id);
        });
    if spawned.is_err() {
        lock(state).open_connections.remove(id);
    }
}

/// Waits for threads to notice that callers have closed their connections.
fn wait_for_capacity(state: &Mutex<State>) {
    for _ in 0..CAPACITY_POLLS {
        if !lock(state).open_connections.is_full() {
            return;
        }
        thread::sleep(Duration::from_millis(CAPACITY_POLL_MS));
    }
}
