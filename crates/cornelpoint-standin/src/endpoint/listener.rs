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
use crate::reopening_listener::Gate;

/// Stack of the thread of a connection.
const STACK_BYTES: usize = 256 * 1024;

/// Pause between looks whether a connection over the limit finds room.
const ROOM_POLL_MS: u64 = 5;

/// Looks for room before a connection over the limit is refused.
const ROOM_POLLS: u32 = 10;

/// Accepts connections until the endpoint stops.
pub(super) fn accept_all(state: &Arc<Mutex<State>>, listener: TcpListener, address: SocketAddr) {
    reopening_listener::accept_all(
        listener,
        address,
        || gate(state),
        |stream| accept_one(state, stream),
    );
}

fn gate(state: &Mutex<State>) -> Gate {
    let locked = lock(state);
    if locked.stopping {
        Gate::Stopping
    } else if locked.rules.refuses_all() {
        Gate::Closed
    } else {
        Gate::Open
    }
}

fn accept_one(state: &Arc<Mutex<State>>, stream: TcpStream) {
    work::wait_while_frozen(state);
    if lock(state).refuses_connection() {
        return;
    }
    wait_for_room(state);
    let stream = Arc::new(stream);
    let Some(id) = lock(state).clients.add(Arc::clone(&stream)) else {
        return;
    };
    let shared = Arc::clone(state);
    let spawned = Builder::new()
        .name("endpoint-connection".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            connection::serve(&shared, &stream);
            lock(&shared).clients.remove(id);
        });
    if spawned.is_err() {
        lock(state).clients.remove(id);
    }
}

/// Gives connections that their callers closed the time to be noticed.
fn wait_for_room(state: &Mutex<State>) {
    for _ in 0..ROOM_POLLS {
        if !lock(state).clients.is_full() {
            return;
        }
        thread::sleep(Duration::from_millis(ROOM_POLL_MS));
    }
}
