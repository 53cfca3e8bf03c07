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

/// Stack of the thread of a connection.
const STACK_BYTES: usize = 256 * 1024;

/// Interval at which a closed listener looks whether it may open again.
const REOPEN_POLL_MS: u64 = 10;

/// Pause between looks whether a connection over the limit finds room.
const ROOM_POLL_MS: u64 = 5;

/// Looks for room before a connection over the limit is refused.
const ROOM_POLLS: u32 = 10;

/// Accepts connections until the endpoint stops.
pub(super) fn accept_all(state: &Arc<Mutex<State>>, listener: TcpListener, address: SocketAddr) {
    let mut open = Some(listener);
    while !lock(state).stopping {
        if lock(state).rules.refuses_all() {
            open = None;
            pause(REOPEN_POLL_MS);
            continue;
        }
        open = open.or_else(|| TcpListener::bind(address).ok());
        match &open {
            Some(listener) => accept_one(state, listener),
            None => pause(REOPEN_POLL_MS),
        }
    }
}

fn accept_one(state: &Arc<Mutex<State>>, listener: &TcpListener) {
    let Ok((stream, _)) = listener.accept() else {
        pause(REOPEN_POLL_MS);
        return;
    };
    work::wait_while_frozen(state);
    let unwanted = {
        let mut locked = lock(state);
        locked.stopping || locked.rules.refuses_all() || locked.refuses_connection()
    };
    if !unwanted {
        serve(state, stream);
    }
}

fn serve(state: &Arc<Mutex<State>>, stream: TcpStream) {
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
        pause(ROOM_POLL_MS);
    }
}

/// Makes a listener that waits for a connection look at its state.
pub(super) fn wake(address: SocketAddr) {
    // A listener that is closed doesn't wait.
    let _ = TcpStream::connect(address);
}

fn pause(pause_ms: u64) {
    thread::sleep(Duration::from_millis(pause_ms));
}
