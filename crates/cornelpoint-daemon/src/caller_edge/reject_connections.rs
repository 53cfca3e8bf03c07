use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::answer::BodyMode;
use super::answer::EncodeOptions;
use super::answer::Persistence;
use super::buffered_stream::BufferedStream;

/// Number of connections that may wait for a rejection; further ones are closed
/// without an answer.
pub(super) const QUEUE_LENGTH: usize = 64;
const WRITE_TIMEOUT_MS: u64 = 100;

/// Answers connections over the limit with 503 until the sender is dropped.
pub(super) fn run(connections: &Receiver<TcpStream>, max_connections: usize) {
    let detail = format!("expected at most {max_connections} connections, found more");
    let answer = Answer::refused(Refusal::Overloaded, &detail);
    let bytes = answer.encode(EncodeOptions {
        body: BodyMode::Sent,
        connection: Persistence::Close,
    });
    for stream in connections {
        let deadline = Instant::now() + Duration::from_millis(WRITE_TIMEOUT_MS);
        let mut buffered = BufferedStream::new(stream);
        if buffered.write_all(&bytes, deadline) {
            buffered.linger();
        }
    }
}
