use serde::Deserialize;
use serde::Serialize;

/// An HTTP header of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// Body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerBody {
    /// The body is in the claim's row.
    Inline {
        /// The body.
        bytes: Vec<u8>,
    },
    /// The body is in the object store.
    Object {
        /// Name of the object.
        name: String,
        /// Length of the body, in bytes.
        length_bytes: u64,
    },
}

/// An endpoint's complete answer, stored so that repeats of the request get
/// the same one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers, in their original order.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: AnswerBody,
}

impl StoredAnswer {
    /// Returns the approximate size of the answer in a claim's row, in bytes.
    #[must_use]
    pub fn row_bytes(&self) -> usize {
        let body = match &self.body {
            AnswerBody::Inline { bytes } => bytes.len(),
            AnswerBody::Object { name, .. } => name.len(),
        };
        let headers = self.headers.iter().map(|h| h.name.len() + h.value.len());
        body + headers.sum::<usize>()
    }
}
