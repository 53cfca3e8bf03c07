use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Why the edge failed to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeError {
    /// Listening on the address failed.
    Listen {
        /// Address to listen on.
        address: SocketAddr,
    },
    /// Starting a thread failed.
    Thread,
}

impl fmt::Display for EdgeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address } => {
                write!(formatter, "failed to listen on {address}")
            }
            Self::Thread => formatter.write_str("failed to start a thread"),
        }
    }
}

impl Error for EdgeError {}
