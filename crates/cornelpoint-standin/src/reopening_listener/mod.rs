//! A listener that can be closed and opened again on the same address.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Interval at which a closed listener looks whether it may open again.
const REOPEN_POLL_MS: u64 = 10;

/// Whether a listener takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Gate {
    Open,
    /// The operating system refuses connections.
    Closed,
    Stopping,
}

/// Accepts connections until the gate says that the listener stops.
pub(crate) fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    gate: impl Fn() -> Gate,
    serve: impl Fn(TcpStream),
) {
    let mut open = Some(listener);
    loop {
        match gate() {
            Gate::Stopping => return,
            Gate::Closed => open = None,
            Gate::Open => open = open.or_else(|| TcpListener::bind(address).ok()),
        }
        match open.as_ref().map(TcpListener::accept) {
            Some(Ok((stream, _))) if gate() == Gate::Open => serve(stream),
            Some(Ok(_)) => {}
            Some(Err(_)) | None => thread::sleep(Duration::from_millis(REOPEN_POLL_MS)),
        }
    }
}

/// Makes a listener that waits for a connection look at its gate.
pub(crate) fn wake(address: SocketAddr) {
    // A listener that is closed doesn't wait.
    let _ = TcpStream::connect(address);
}
