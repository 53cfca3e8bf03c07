use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Why the edge did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EdgeError {
    /// The address could not be taken.
    Listen {
        /// The address.
        address: SocketAddr,
    },
    /// A thread could not be started.
    Thread,
}

impl fmt::Display for EdgeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address } => {
                write!(formatter, "expected to listen on {address}")
            }
            Self::Thread => formatter.write_str("expected to start a thread"),
        }
    }
}

impl Error for EdgeError {}
