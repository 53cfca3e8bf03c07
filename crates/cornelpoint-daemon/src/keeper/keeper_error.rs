use std::error::Error;
use std::fmt;

/// Why a keeper failed to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperError {
    /// Listening on the HTTP address failed.
    Control,
    /// Binding the UDP address for gossip failed.
    Gossip,
    /// Opening the socket for metrics failed.
    Metrics,
}

impl fmt::Display for KeeperError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control => write!(formatter, "failed to listen on the HTTP address"),
            Self::Gossip => write!(formatter, "failed to bind the UDP address for gossip"),
            Self::Metrics => write!(formatter, "failed to open the socket for metrics"),
        }
    }
}

impl Error for KeeperError {}
