use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::answer::AnswerForm;
use super::answer::BodyForm;
use super::answer::ConnectionForm;
use super::byte_source::ByteSource;

/// Connections that wait to be turned away; further ones are just closed.
pub(super) const QUEUE_LENGTH: usize = 64;
const WRITE_TIMEOUT_MS: u64 = 100;

/// Answers connections over the limit with 503 until the sender is gone.
pub(super) fn run(connections: &Receiver<TcpStream>, max_connections: usize) {
    let detail = format!("expected at most {max_connections} connections, found more");
    let answer = Answer::refused(Refusal::Overloaded, &detail);
    let bytes = answer.encode(AnswerForm {
        body: BodyForm::Sent,
        connection: ConnectionForm::Close,
    });
    for stream in connections {
        let deadline = Instant::now() + Duration::from_millis(WRITE_TIMEOUT_MS);
        let mut source = ByteSource::new(stream);
        if source.write_all(&bytes, deadline) {
            source.linger();
        }
    }
}
