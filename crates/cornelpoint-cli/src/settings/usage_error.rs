use std::error::Error;
use std::fmt;

/// A command line that cannot be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageError {
    /// No keeper was named.
    NoKeeper,
    /// The environment variable holds no address.
    BadKeeper {
        /// What it holds.
        found: String,
    },
    /// No operator was named.
    NoOperator,
    /// The instance is not a name.
    BadInstance {
        /// What was found.
        found: String,
    },
    /// The token is not 16 hexadecimal digits.
    BadToken {
        /// What was found.
        found: String,
    },
}

impl fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKeeper => write!(
                formatter,
                "expected --keeper ADDRESS or CORNELPOINT_KEEPER, found neither"
            ),
            Self::BadKeeper { found } => write!(
                formatter,
                "expected an IP number and a port in CORNELPOINT_KEEPER, found `{found}`"
            ),
            Self::NoOperator => write!(
                formatter,
                "expected --who NAME, CORNELPOINT_OPERATOR or USER, found none"
            ),
            Self::BadInstance { found } => {
                write!(
                    formatter,
                    "expected the name of an instance, found `{found}`"
                )
            }
            Self::BadToken { found } => write!(
                formatter,
                "expected a token of 16 hexadecimal digits, found `{found}`"
            ),
        }
    }
}

impl Error for UsageError {}
