use cornelpoint::request::Method;

use super::header::Header;

/// Request line and headers of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path with its query, exactly as the caller sent it.
    pub target: String,
    /// Headers in the order received.
    pub headers: Vec<Header>,
}

impl RequestHead {
    /// Returns the value of the first header with this name; `name` must be in
    /// lower case.
    ///
    /// ```
    /// use cornelpoint::request::Method;
    /// use cornelpoint_daemon::caller_edge::Header;
    /// use cornelpoint_daemon::caller_edge::RequestHead;
    ///
    /// let head = RequestHead {
    ///     method: Method::Get,
    ///     target: "/quoting/1".to_owned(),
    ///     headers: vec![Header::new("Host", "a")],
    /// };
    /// assert_eq!(head.header("host"), Some("a"));
    /// ```
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|header| header.name == name)?;
        Some(&found.value)
    }
}
