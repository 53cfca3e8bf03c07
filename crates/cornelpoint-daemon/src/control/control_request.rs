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
        path_of(&self.target)
    }

    /// Body; empty when the request has none.
    #[must_use]
    pub fn body(&self) -> &[u8] {
        &self.body
    }
}

/// Returns a target's path without its query.
pub(super) fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or(target)
}
