use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::answer::BodyMode;
use super::answer::EncodeOptions;
use super::answer::Persistence;

/// Number of connections that may wait for a rejection; further ones are closed
/// without an answer.
pub(super) const QUEUE_LENGTH: usize = 16;
/// Rejected connections that are kept open for a moment, so that the callers receive the
/// answer and not a connection reset; for a further one the oldest is closed.
const MAX_LINGERING: usize = 16;
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes discarded from a connection at a time.
const DISCARD_BYTES: usize = 16 * 1024;

/// A rejected connection whose caller may still be sending.
struct Lingering {
    stream: TcpStream,
    until: Instant,
}

/// Answers connections over the limit with 503, each at once, until the sender is dropped.
pub(super) fn run(connections: &Receiver<TcpStream>, max_connections: usize) {
    let detail = format!("expected at most {max_connections} connections, found more");
    let answer = Answer::refused(Refusal::Overloaded, &detail);
    let bytes = answer.encode(EncodeOptions {
        body: BodyMode::Sent,
        connection: Persistence::Close,
    });
    let mut lingering: Vec<Lingering> = Vec::new();
    loop {
        let received = if lingering.is_empty() {
            connections.recv().map_err(RecvTimeoutError::from)
        } else {
            connections.recv_timeout(POLL_INTERVAL)
        };
        match received {
            Ok(stream) => {
                if lingering.len() >= MAX_LINGERING {
                    lingering.remove(0);
                }
                lingering.extend(reject(stream, &bytes));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = Instant::now();
        lingering.retain(|rejected| now < rejected.until && discard(&rejected.stream));
    }
}

/// Sends the rejection, which fits in the send buffer; `None` if the connection has failed.
fn reject(mut stream: TcpStream, answer: &[u8]) -> Option<Lingering> {
    stream.set_nonblocking(true).ok()?;
    stream.write_all(answer).ok()?;
    stream.shutdown(Shutdown::Write).ok()?;
    let until = Instant::now() + LINGER_TIMEOUT;
    Some(Lingering { stream, until })
}

/// Discards what has arrived; returns whether more may follow.
fn discard(mut stream: &TcpStream) -> bool {
    let mut buffer = [0; DISCARD_BYTES];
    match stream.read(&mut buffer) {
        Ok(count) => count > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
