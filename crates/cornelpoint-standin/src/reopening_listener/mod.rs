//! TCP listener that can be closed and reopened on the same address.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Interval at which a closed listener checks whether it may reopen.
const REOPEN_POLL_MS: u64 = 10;

/// Whether a listener accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerState {
    Open,
    /// The socket is closed, so the operating system refuses connections.
    Closed,
    Stopping,
}

/// Accepts connections until the state is [`ListenerState::Stopping`].
pub(crate) fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    listener_state: impl Fn() -> ListenerState,
    serve: impl Fn(TcpStream),
) {
    let mut open = Some(listener);
    loop {
        match listener_state() {
            ListenerState::Stopping => return,
            ListenerState::Closed => open = None,
            ListenerState::Open => open = open.or_else(|| TcpListener::bind(address).ok()),
        }
        match open.as_ref().map(TcpListener::accept) {
            Some(Ok((stream, _))) if listener_state() == ListenerState::Open => serve(stream),
            Some(Ok(_)) => {}
            Some(Err(_)) | None => thread::sleep(Duration::from_millis(REOPEN_POLL_MS)),
        }
    }
}

/// Unblocks a listener that waits in accept, so that it checks its state.
pub(crate) fn wake(address: SocketAddr) {
    // Fails when the listener is closed; then it isn't blocked in accept.
    let _ = TcpStream::connect(address);
}
