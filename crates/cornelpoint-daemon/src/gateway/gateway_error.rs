use std::error::Error;
use std::fmt;

/// Why a gateway could not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayError {
    /// The server for callers could not be started.
    Edge,
    /// The server for dumps and health checks could not be started.
    Control,
    /// The socket for metrics could not be opened.
    Metrics,
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Edge => write!(formatter, "failed to start the server for callers"),
            Self::Control => write!(
                formatter,
                "failed to start the server for dumps and health checks"
            ),
            Self::Metrics => write!(formatter, "failed to open the socket for metrics"),
        }
    }
}

impl Error for GatewayError {}
