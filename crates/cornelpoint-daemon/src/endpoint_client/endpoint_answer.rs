use crate::caller_edge::Header;

/// The complete answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// HTTP status, of any class.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// Body, with any content coding kept.
    pub body: Vec<u8>,
}

impl EndpointAnswer {
    /// Returns the value of the first header with this name, which must be in
    /// lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.name == name)?;
        Some(&found.value)
    }
}
