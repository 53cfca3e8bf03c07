use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// The timeouts that are set at a socket.
///
/// A timeout is the time left, rounded down to a power of two milliseconds,
/// so that requests with like deadlines share one setting. A read or write may
/// therefore end before its deadline and has to be repeated until then.
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
    /// Sees to it that a read ends within the time left.
    ///
    /// # Errors
    ///
    /// When the timeout can't be set.
    pub fn limit_read(&mut self, stream: &TcpStream, left: Duration) -> io::Result<()> {
        let wanted = Some(rounded(left));
        if self.read != wanted {
            stream.set_read_timeout(wanted)?;
            self.read = wanted;
        }
        Ok(())
    }

    /// Sees to it that a write ends within the time left.
    ///
    /// # Errors
    ///
    /// When the timeout can't be set.
    pub fn limit_write(&mut self, stream: &TcpStream, left: Duration) -> io::Result<()> {
        let wanted = Some(rounded(left));
        if self.write != wanted {
            stream.set_write_timeout(wanted)?;
            self.write = wanted;
        }
        Ok(())
    }
}

/// A power of two milliseconds, at least one.
fn rounded(left: Duration) -> Duration {
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let exponent = left_ms.max(1).ilog2();
    Duration::from_millis(1 << exponent)
}
