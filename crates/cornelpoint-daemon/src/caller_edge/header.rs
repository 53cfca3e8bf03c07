/// One header of a request or an answer.
///
/// ```
/// use cornelpoint_daemon::caller_edge::Header;
///
/// let header = Header::new("Content-Type", "text/plain");
/// assert_eq!(header.name, "content-type");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name, in lower case.
    pub name: String,
    /// Value, without the white space around it.
    pub value: String,
}

impl Header {
    /// Creates a header; the name is converted to lower case.
    #[must_use]
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: name.to_ascii_lowercase(),
            value: value.to_owned(),
        }
    }

    /// Whether the header applies to a single connection (RFC 9110, section
    /// 7.6.1) and must not be forwarded.
    ///
    /// ```
    /// use cornelpoint_daemon::caller_edge::Header;
    ///
    /// assert!(Header::new("Connection", "close").is_hop_by_hop());
    /// assert!(!Header::new("Accept", "text/html").is_hop_by_hop());
    /// ```
    #[must_use]
    pub fn is_hop_by_hop(&self) -> bool {
        matches!(
            self.name.as_str(),
            "connection"
                | "keep-alive"
                | "proxy-authenticate"
                | "proxy-authorization"
                | "proxy-connection"
                | "te"
                | "trailer"
                | "transfer-encoding"
                | "upgrade"
        )
    }
}
