use std::error::Error;
use std::fmt;

/// Why signals cannot be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownError {
    /// Installing the signal handler failed.
    Handler,
    /// Starting the thread that waits for signals failed.
    Thread,
}

impl fmt::Display for ShutdownError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Handler => "failed to install a handler for SIGTERM and SIGINT",
            Self::Thread => "failed to start the thread that waits for signals",
        })
    }
}

impl Error for ShutdownError {}
