use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Error starting a stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartError {
    /// Requested listen address.
    pub listen: SocketAddr,
    /// Error of the bind, or of starting the server thread.
    pub found: String,
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "expected to listen on {}, found: {}",
            self.listen, self.found
        )
    }
}

impl Error for StartError {}
