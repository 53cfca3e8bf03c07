use cornelpoint::request::Method;

use crate::caller_edge::Header;

/// A request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path with its query; it is sent unchanged.
    pub target: &'a str,
    /// Headers; hop-by-hop headers and those about the body's length are not
    /// sent.
    pub headers: &'a [Header],
    /// Body.
    pub body: &'a [u8],
    /// Id of the request, sent in the header [`OutgoingRequest::ID_HEADER`].
    pub request_id: &'a str,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: u64,
}

impl OutgoingRequest<'_> {
    /// Header with the id of a request; in an answer, the id of the request that
    /// it answers.
    pub const ID_HEADER: &'static str = "cornelpoint-request";
    /// Header by which an endpoint announces that it is leaving.
    pub const LEAVING_HEADER: &'static str = "cornelpoint-leaving";
}

/// Which connection a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A new one, which can't have been closed while idle. For requests that
    /// are not idempotent.
    Fresh,
    /// An idle one if there is any. It may break at the first byte, so it is
    /// only for requests that may be sent again.
    Pooled,
}
