use std::time::Instant;

use cornelpoint::request::Refusal;

use super::answer::Answer;
use super::request_head::RequestHead;

/// How large a body may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit {
    /// Largest body, in bytes.
    pub max_bytes: u64,
}

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method, target and headers.
    pub head: RequestHead,
    /// Body, with any chunked coding removed.
    pub body: Vec<u8>,
    /// When the first byte of the request was read.
    pub received_at: Instant,
}

/// What the edge asks of the gateway.
pub trait CallerHandler: Send + Sync {
    /// Decides, before the body is read, how large it may be.
    ///
    /// # Errors
    ///
    /// The answer that goes to the caller instead; nothing of the body is read.
    fn admit(&self, head: &RequestHead) -> Result<BodyLimit, Answer>;

    /// Answers a request; called on the thread of the caller's connection.
    fn handle(&self, request: CallerRequest) -> Answer;

    /// Hears that the edge itself refused what a caller sent; for metrics.
    fn record_rejection(&self, _refusal: Refusal) {}
}
