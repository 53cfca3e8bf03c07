use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::name_error::NameError;

/// Maximum length of a name, in bytes.
pub(super) const MAX_LENGTH_BYTES: usize = 64;

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_LENGTH_BYTES {
        return Err(NameError::TooLong {
            length_bytes: text.len(),
        });
    }
    match text.chars().find(|c| !is_name_character(*c)) {
        Some(found) => Err(NameError::BadCharacter { found }),
        None => Ok(()),
    }
}

fn is_name_character(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.'
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check(&text)?;
                Ok(Self(text))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                Self::try_from(text.to_owned())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

checked_name! {
    /// Name of an instance, which is an entry instance or an endpoint.
    ///
    /// ```
    /// use cornelpoint::name::InstanceId;
    ///
    /// assert_eq!(InstanceId::try_from("quoting-1").unwrap().as_str(), "quoting-1");
    /// assert!(InstanceId::try_from("quoting 1").is_err());
    /// ```
    InstanceId
}

checked_name! {
    /// Name of an availability zone.
    AvailabilityZone
}

checked_name! {
    /// Name of a rack in an availability zone.
    Rack
}

checked_name! {
    /// Name of a pool of instances.
    PoolName
}

checked_name! {
    /// Name of a service that callers address.
    ServiceName
}

checked_name! {
    /// Name of a template.
    TemplateName
}

checked_name! {
    /// Name of a workspace, which supplies the parameters of a template.
    WorkspaceName
}
