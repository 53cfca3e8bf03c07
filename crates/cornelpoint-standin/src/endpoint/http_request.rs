use super::REQUEST_HEADER;

/// Query parameter with the identity of a request.
pub(crate) const IDENTITY_QUERY: &str = "request";

/// An HTTP header.
#[derive(Clone, Debug)]
pub(super) struct Header {
    pub(super) name: String,
    pub(super) value: String,
}

/// A request that was read in full.
#[derive(Clone, Debug)]
pub(super) struct HttpRequest {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) headers: Vec<Header>,
    pub(super) body: Vec<u8>,
}

impl HttpRequest {
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// Returns the target without its query.
    pub(super) fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }

    /// Returns the request's identity, from the query parameter `request` or else
    /// from the header.
    pub(super) fn identity(&self) -> Option<&str> {
        query_value(&self.target, IDENTITY_QUERY).or_else(|| self.header(REQUEST_HEADER))
    }

    /// Returns a number from the query.
    pub(super) fn query_number(&self, name: &str) -> Option<u64> {
        query_value(&self.target, name)?.parse().ok()
    }

    /// Whether the request asks for the connection to be closed.
    pub(super) fn wants_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Returns a value from the query of a target.
pub(crate) fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(found, value)| (found == name).then_some(value))
}
