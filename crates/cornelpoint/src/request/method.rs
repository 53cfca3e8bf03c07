use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An HTTP method that the gateway accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Removes a resource.
    Delete,
    /// Reads a resource.
    Get,
    /// Reads the headers of a resource.
    Head,
    /// Changes part of a resource.
    Patch,
    /// Submits data; not idempotent.
    Post,
    /// Replaces a resource.
    Put,
}

impl Method {
    /// Returns the method as written in a request line.
    ///
    /// ```
    /// use cornelpoint::request::Method;
    ///
    /// assert_eq!(Method::Get.as_str(), "GET");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Delete => "DELETE",
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Patch => "PATCH",
            Self::Post => "POST",
            Self::Put => "PUT",
        }
    }

    /// Returns whether HTTP defines the method as idempotent (RFC 9110, section
    /// 9.2.2).
    ///
    /// ```
    /// use cornelpoint::request::Method;
    ///
    /// assert!(Method::Put.is_idempotent());
    /// assert!(!Method::Post.is_idempotent());
    /// ```
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Delete | Self::Get | Self::Head | Self::Put => true,
            Self::Patch | Self::Post => false,
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Error for a method that is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownMethod {
    /// The method in the request.
    pub found: String,
}

impl fmt::Display for UnknownMethod {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "expected DELETE, GET, HEAD, PATCH, POST or PUT, found `{}`",
            self.found.escape_default()
        )
    }
}

impl Error for UnknownMethod {}

impl TryFrom<&str> for Method {
    type Error = UnknownMethod;

    fn try_from(text: &str) -> Result<Self, UnknownMethod> {
        match text {
            "DELETE" => Ok(Self::Delete),
            "GET" => Ok(Self::Get),
            "HEAD" => Ok(Self::Head),
            "PATCH" => Ok(Self::Patch),
            "POST" => Ok(Self::Post),
            "PUT" => Ok(Self::Put),
            _ => Err(UnknownMethod {
                found: text.to_owned(),
            }),
        }
    }
}
