use std::pin::pin;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::connections::ConnectionHandle;
use super::connections::ConnectionKey;
use super::connections::Connections;
use super::server::Reply;
use super::server::reply;

/// What the parsed form takes for each byte of a body until it is answered. A list of small
/// numbers takes four times its text, and twice that while it is parsed; the job is held
/// once more in the message to the owner.
const PARSED_BYTES_PER_BYTE: usize = 12;
/// `Retry-After` of a body that there is no room for. Bodies that make no progress leave
/// within less than that.
const NO_ROOM_RETRY_S: u64 = 1;

/// Reason why a body was not read. Nothing of the request has been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It exceeds the limit.
    TooLarge,
    /// The process holds as much as it may.
    NoRoom,
    /// It made no progress, or did not end in time.
    Late,
    /// The connection broke, or the body is malformed.
    Broken,
}

impl BodyError {
    /// Returns the response, after which the connection is closed.
    pub(crate) fn reply(self) -> Reply {
        let mut refusal = match self {
            Self::TooLarge => reply(413, ""),
            Self::NoRoom => reply(503, ""),
            Self::Late => reply(408, ""),
            Self::Broken => reply(400, ""),
        };
        let headers = refusal.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
        if self == Self::NoRoom {
            headers.insert(RETRY_AFTER, NO_ROOM_RETRY_S.into());
        }
        refusal
    }

    fn label(self) -> &'static str {
        match self {
            Self::TooLarge => "too_large",
            Self::NoRoom => "no_room",
            Self::Late => "late",
            Self::Broken => "broken",
        }
    }
}

/// How long a body may be.
#[derive(Clone, Copy, Debug)]
struct LengthLimit {
    bytes: usize,
    /// Whether it is exactly as long.
    is_exact: bool,
}

impl Connections {
    /// Reads a request's body within the limits of its listener.
    pub(super) async fn read_body(
        &self,
        request: Request<Incoming>,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let key = request.extensions().get::<ConnectionKey>().copied();
        let key = key.unwrap_or_else(|| unreachable!("the server names each connection"));
        let body = request.into_body();
        let outcome = match self.handle(key) {
            Some(handle) => {
                let outcome = self.receive(key, &handle, body, max_bytes).await;
                if outcome.is_err() {
                    handle.body.take();
                }
                self.end_body(key);
                outcome
            }
            None => Err(BodyError::Broken),
        };
        if let Err(error) = &outcome {
            self.refuse(key.port, error.label());
        }
        outcome
    }

    async fn receive(
        &self,
        key: ConnectionKey,
        handle: &ConnectionHandle,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let declared_bytes = body.size_hint().exact();
        let limit = match declared_bytes.map(usize::try_from) {
            None => LengthLimit {
                bytes: max_bytes,
                is_exact: false,
            },
            Some(Ok(bytes)) if bytes <= max_bytes => LengthLimit {
                bytes,
                is_exact: true,
            },
            Some(_) => return Err(BodyError::TooLarge),
        };
        if !self.begin_body(key) {
            return Err(BodyError::NoRoom);
        }
        let started = Instant::now();
        let mut latest = started;
        let due = |latest: Instant| self.body_timeouts.due(started, latest);
        // Registered with the event loop only if the body isn't there at once.
        let mut timer = pin!(sleep_until(due(latest)));
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = timer.as_mut() => {
                    if due(latest) <= Instant::now() {
                        return Err(BodyError::Late);
                    }
                    timer.as_mut().reset(due(latest));
                    continue;
                }
            };
            let Some(frame) = frame else {
                return self.complete(key, handle);
            };
            // Trailers carry no data.
            let Ok(piece) = frame.map(|frame| frame.into_data().unwrap_or_default()) else {
                return Err(BodyError::Broken);
            };
            latest = Instant::now();
            self.record_progress(key, piece.len());
            self.append(key, handle, &piece, limit)?;
        }
    }

    fn append(
        &self,
        key: ConnectionKey,
        handle: &ConnectionHandle,
        mut piece: &[u8],
        limit: LengthLimit,
    ) -> Result<(), BodyError> {
        if handle.body.borrow().len() + piece.len() > limit.bytes {
            return Err(BodyError::TooLarge);
        }
        loop {
            let mut body = handle.body.borrow_mut();
            piece = body.fill(piece);
            if piece.is_empty() {
                return Ok(());
            }
            let left_bytes = limit.bytes - body.len();
            let segment_bytes = body.next_segment_bytes(left_bytes, limit.is_exact);
            let held_bytes = body.capacity() + segment_bytes;
            drop(body);
            if !self.grow_body(key, held_bytes) {
                return Err(BodyError::NoRoom);
            }
            handle.body.borrow_mut().add_segment(segment_bytes);
        }
    }

    fn complete(&self, key: ConnectionKey, handle: &ConnectionHandle) -> Result<Bytes, BodyError> {
        let body = handle.body.take();
        let held_bytes = body.capacity() + PARSED_BYTES_PER_BYTE * body.len();
        if !self.grow_body(key, held_bytes) {
            return Err(BodyError::NoRoom);
        }
        Ok(body.into_vec().into())
    }
}
