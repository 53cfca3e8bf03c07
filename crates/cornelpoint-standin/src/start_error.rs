use std::error::Error;
use std::fmt;
use std::net::SocketAddr;

/// Why a stand-in did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartError {
    /// The address asked for.
    pub listen: SocketAddr,
    /// What the operating system said.
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
