use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Why metrics cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricsError {
    /// Opening a socket for the address failed.
    Socket {
        /// Address that metrics are sent to.
        address: SocketAddr,
    },
}

impl fmt::Display for MetricsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Socket { address } => {
                write!(
                    formatter,
                    "failed to open a socket to send metrics to {address}"
                )
            }
        }
    }
}

impl Error for MetricsError {}
