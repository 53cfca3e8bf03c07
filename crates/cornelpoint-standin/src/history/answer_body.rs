use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EchoAnswer;
use crate::endpoint::body_hash;

/// The body of an answer, as far as it tells whose it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerBody {
    /// An endpoint's echo.
    Echo(EchoAnswer),
    /// Other content.
    Bytes {
        /// Its size.
        size_bytes: usize,
        /// Its hash.
        hash: u64,
    },
}

impl AnswerBody {
    /// Reads a body.
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
