use crate::caller_edge::Header;

/// The whole answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointAnswer {
    /// HTTP status, of whatever class.
    pub status: u16,
    /// Headers, without those that speak of the connection.
    pub headers: Vec<Header>,
    /// Body, as the endpoint coded it.
    pub body: Vec<u8>,
}

impl EndpointAnswer {
    /// The value of the first header of this name; `name` is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.name == name)?;
        Some(&found.value)
    }
}
