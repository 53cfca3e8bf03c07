use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EchoAnswer;
use crate::endpoint::body_hash;

/// The body of an answer, in a form that identifies its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerBody {
    /// An endpoint's echo of the request.
    Echo(EchoAnswer),
    /// Other content.
    Bytes {
        /// Size of the content.
        size_bytes: usize,
        /// Hash of the content.
        hash: u64,
    },
}

impl AnswerBody {
    /// Parses a body; content that is not an echo gives [`AnswerBody::Bytes`].
    ///
    /// ```
    /// use cornelpoint_standin::history::AnswerBody;
    ///
    /// let body = AnswerBody::read(b"{\"instance\":");
    /// assert!(matches!(body, AnswerBody::Bytes { size_bytes: 12, .. }));
    /// ```
    #[must_use]
    pub fn read(body: &[u8]) -> Self {
        match serde_json::from_slice(body) {
            Ok(echo) => Self::Echo(echo),
            Err(_) => Self::Bytes {
                size_bytes: body.len(),
                hash: body_hash(body),
            },
        }
    }
}
