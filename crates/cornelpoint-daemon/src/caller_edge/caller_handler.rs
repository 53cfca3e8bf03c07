use std::time::Instant;

use cornelpoint::connection_budget::ClientClass;
use cornelpoint::connection_budget::CloseReason;
use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::request_head::RequestHead;
use super::request_room::RequestRoom;

/// Size limit of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit {
    /// Largest body, in bytes.
    pub max_bytes: u64,
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method, target and headers.
    pub head: RequestHead,
    /// Body, with any chunked transfer coding removed.
    pub body: Vec<u8>,
    /// When the first byte of the request was read.
    pub received_at: Instant,
    /// Room of the request; its answer needs some as well.
    pub room: RequestRoom,
}

/// Handles the requests that the edge reads from callers.
pub trait CallerHandler: Send + Sync {
    /// Returns the kind of client that a request comes from, whose room it takes.
    fn classify(&self, _head: &RequestHead) -> ClientClass {
        ClientClass::Callers
    }

    /// Admits a request before its body is read, and limits the body's size.
    ///
    /// # Errors
    ///
    /// The answer to send instead; the body is not read.
    fn admit(&self, head: &RequestHead) -> Result<BodyLimit, Answer>;

    /// Answers a request; called on the thread of the caller's connection.
    fn handle(&self, request: CallerRequest) -> Answer;

    /// Records in the metrics that the edge itself rejected a caller's bytes.
    fn record_rejection(&self, _refusal: Refusal) {}

    /// Records in the metrics that a connection was closed to make room for others.
    fn record_closed(&self, _reason: CloseReason) {}
}
