use cornelpoint::request::Method;

use crate::caller_edge::Header;

/// A request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// Method.
    pub method: Method,
    /// Path with its query; it goes out unchanged.
    pub target: &'a str,
    /// Headers; those that speak of a connection or of the body's length are
    /// left out.
    pub headers: &'a [Header],
    /// Body.
    pub body: &'a [u8],
    /// Id of the request, sent in the header [`OutgoingRequest::ID_HEADER`].
    pub request_id: &'a str,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: u64,
}

impl OutgoingRequest<'_> {
    /// Header that carries the id of a request, and of the request that an
    /// answer is for.
    pub const ID_HEADER: &'static str = "cornelpoint-request";
    /// Header in which an endpoint says that it leaves.
    pub const LEAVING_HEADER: &'static str = "cornelpoint-leaving";
}

/// Which connection a request goes out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// A new one: it has not had time to die while idle. For requests that
    /// are not idempotent.
    Fresh,
    /// An idle one when there is any. It may break at the first byte, so it
    /// is for requests which may be sent again.
    Pooled,
}
