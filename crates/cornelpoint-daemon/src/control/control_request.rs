use cornelpoint::request::Method;

/// A complete request to a control interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlRequest {
    pub(super) method: Method,
    pub(super) target: String,
    pub(super) body: Vec<u8>,
}

impl ControlRequest {
    /// Method, as in the request line.
    #[must_use]
    pub fn method(&self) -> &'static str {
        self.method.as_str()
    }

    /// Path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        let end = self.target.find('?').unwrap_or(self.target.len());
        self.target.split_at(end).0
    }

    /// Body; empty when the request has none.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.body
    }
}
