use cornelpoint::claim::AnswerBody;
use cornelpoint::claim::HeaderField;
use cornelpoint::claim::StoredAnswer;

use crate::caller_edge::Header;
use crate::endpoint_client::EndpointAnswer;

/// An endpoint's complete answer, including its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, in their original order.
    pub headers: Vec<HeaderField>,
    /// Body.
    pub body: Vec<u8>,
}

impl CompleteAnswer {
    /// Converts the answer to the form stored in a row.
    pub(super) fn into_stored(self) -> StoredAnswer {
        StoredAnswer {
            status: self.status,
            headers: self.headers,
            body: AnswerBody::Inline { bytes: self.body },
        }
    }
}

impl From<&EndpointAnswer> for CompleteAnswer {
    fn from(answer: &EndpointAnswer) -> Self {
        let field = |header: &Header| HeaderField {
            name: header.name.clone(),
            value: header.value.clone(),
        };
        Self {
            status: answer.status,
            headers: answer.headers.iter().map(field).collect(),
            body: answer.body.clone(),
        }
    }
}

impl From<CompleteAnswer> for EndpointAnswer {
    fn from(answer: CompleteAnswer) -> Self {
        let headers = answer.headers.into_iter();
        Self {
            status: answer.status,
            headers: headers.map(|h| Header::new(&h.name, &h.value)).collect(),
            body: answer.body,
        }
    }
}
