use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Why metrics can't be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricsError {
    /// No socket could be made for the address.
    Socket {
        /// Address that metrics go to.
        address: SocketAddr,
    },
}

impl fmt::Display for MetricsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Socket { address } => {
                write!(formatter, "expected a socket to send metrics to {address}")
            }
        }
    }
}

impl Error for MetricsError {}
