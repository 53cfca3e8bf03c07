use std::error::Error;
use std::fmt;

/// Why signals can't be waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownError {
    /// The handler of the signals could not be set.
    Handler,
    /// The thread that waits for signals could not be started.
    Thread,
}

impl fmt::Display for ShutdownError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Handler => "expected to set a handler for SIGTERM and SIGINT",
            Self::Thread => "expected to start the thread that waits for signals",
        })
    }
}

impl Error for ShutdownError {}
