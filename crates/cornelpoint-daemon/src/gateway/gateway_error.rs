use std::error::Error;
use std::fmt;

/// Why a gateway could not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayError {
    /// The address for callers could not be listened on.
    Edge,
    /// The address for dumps could not be listened on.
    Control,
    /// Metrics could not be sent to their address.
    Metrics,
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Edge => write!(formatter, "expected to listen for callers, found an error"),
            Self::Control => write!(formatter, "expected to listen for dumps, found an error"),
            Self::Metrics => write!(formatter, "expected to send metrics, found an error"),
        }
    }
}

impl Error for GatewayError {}
