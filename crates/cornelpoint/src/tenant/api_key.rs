use std::fmt;

use subtle::ConstantTimeEq;

/// A key that authenticates a tenant's callers. Neither its `Debug` output nor any other
/// text shows it.
///
/// ```
/// use cornelpoint::tenant::ApiKey;
///
/// let key = ApiKey::new("s3cret");
/// assert!(key.matches(b"s3cret"));
/// assert!(!key.matches(b"s3cre"));
/// assert_eq!(format!("{key:?}"), "ApiKey(..)");
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(String);

impl ApiKey {
    /// Wraps the text of a key.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Whether a caller presents this key. The time that the comparison takes depends on
    /// the lengths only.
    #[must_use]
    pub fn matches(&self, presented: &[u8]) -> bool {
        self.0.as_bytes().ct_eq(presented).into()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}
