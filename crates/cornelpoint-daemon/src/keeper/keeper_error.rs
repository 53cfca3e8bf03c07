use std::error::Error;
use std::fmt;

/// Why a keeper could not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperError {
    /// The HTTP address could not be listened on.
    Control,
    /// The address for probes could not be bound.
    Gossip,
    /// Metrics could not be sent to their address.
    Metrics,
}

impl fmt::Display for KeeperError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control => write!(formatter, "expected to listen for HTTP, found an error"),
            Self::Gossip => write!(formatter, "expected to bind UDP for probes, found an error"),
            Self::Metrics => write!(formatter, "expected to send metrics, found an error"),
        }
    }
}

impl Error for KeeperError {}
