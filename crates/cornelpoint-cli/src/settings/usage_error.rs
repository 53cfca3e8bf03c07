use std::error::Error;
use std::fmt;

/// Error in the command line or in its environment variables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageError {
    /// Neither an argument nor the environment names a keeper.
    NoKeeper,
    /// `CORNELPOINT_KEEPER` is not an address.
    BadKeeper {
        /// Value of the variable.
        found: String,
    },
    /// Neither an argument nor the environment names the operator.
    NoOperator,
    /// The instance is not a valid name.
    BadInstance {
        /// Value of the argument.
        found: String,
    },
    /// The token is not a hexadecimal number of up to 16 digits.
    BadToken {
        /// Value of the argument.
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
