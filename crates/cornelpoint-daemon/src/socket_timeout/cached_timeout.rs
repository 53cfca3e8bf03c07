use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Read and write timeouts currently set on a socket, cached to save system
/// calls.
///
/// A timeout is the remaining time, rounded down to a power of two milliseconds,
/// so that requests with similar deadlines need no new setting. A read or write
/// may therefore time out before its deadline and must be repeated until then.
///
/// ```
/// use std::net::TcpListener;
/// use std::net::TcpStream;
/// use std::time::Duration;
///
/// use cornelpoint_daemon::socket_timeout::CachedTimeout;
///
/// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
/// let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
/// let mut timeout = CachedTimeout::default();
/// timeout.limit_read(&stream, Duration::from_secs(60)).unwrap();
/// let set = stream.read_timeout().unwrap().unwrap();
/// assert_eq!(set.as_secs(), 32);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTimeout {
    read: Option<Duration>,
    write: Option<Duration>,
}

impl CachedTimeout {
    /// Ensures that a read ends within the remaining time.
    ///
    /// # Errors
    ///
    /// When the timeout can't be set.
    pub fn limit_read(&mut self, stream: &TcpStream, remaining: Duration) -> io::Result<()> {
        let wanted = Some(round_down(remaining));
        if self.read != wanted {
            stream.set_read_timeout(wanted)?;
            self.read = wanted;
        }
        Ok(())
    }

    /// Ensures that a write ends within the remaining time.
    ///
    /// # Errors
    ///
    /// When the timeout can't be set.
    pub fn limit_write(&mut self, stream: &TcpStream, remaining: Duration) -> io::Result<()> {
        let wanted = Some(round_down(remaining));
        if self.write != wanted {
            stream.set_write_timeout(wanted)?;
            self.write = wanted;
        }
        Ok(())
    }
}

/// Rounds down to a power of two milliseconds, at least one.
fn round_down(remaining: Duration) -> Duration {
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let exponent = remaining_ms.max(1).ilog2();
    Duration::from_millis(1 << exponent)
}
