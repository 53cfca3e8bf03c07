use std::fmt;
use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::LazyBuffers;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

use super::connection_watch::ConnectionWatch;
use crate::socket_timeout::CachedTimeout;

/// Largest amount of output that is held back.
const MAX_PENDING_BYTES: usize = 32 * 1024;

/// A TCP connection that records what happens on it.
pub(super) struct WatchedTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
    /// Output to be written together, such as a head with its body.
    pending: Vec<u8>,
    timeout: CachedTimeout,
    watch: Arc<ConnectionWatch>,
}

impl WatchedTransport {
    /// Wraps a connection that was just established.
    pub(super) fn new(
        stream: TcpStream,
        buffers: LazyBuffers,
        watch: Arc<ConnectionWatch>,
    ) -> Self {
        watch.record_open();
        Self {
            stream,
            buffers,
            pending: Vec::new(),
            timeout: CachedTimeout::default(),
            watch,
        }
    }

    /// Writes the pending output.
    fn flush(&mut self, timeout: NextTimeout) -> Result<(), Error> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.watch.record_sent();
        let deadline = deadline_of(timeout);
        let mut written = 0;
        while written < self.pending.len() {
            let left = time_left(deadline, timeout)?;
            self.timeout.limit_write(&self.stream, left)?;
            match self.stream.write(&self.pending[written..]) {
                Err(error) if is_temporary(&error) => {}
                Err(error) => return Err(Error::Io(error)),
                Ok(0) => return Err(Error::Io(ErrorKind::WriteZero.into())),
                Ok(count) => written += count,
            }
        }
        self.pending.clear();
        Ok(())
    }

    fn read(&mut self, timeout: NextTimeout) -> Result<usize, Error> {
        let deadline = deadline_of(timeout);
        loop {
            let left = time_left(deadline, timeout)?;
            self.timeout.limit_read(&self.stream, left)?;
            match self.stream.read(self.buffers.input_append_buf()) {
                Err(error) if is_temporary(&error) => {}
                Err(error) => return Err(Error::Io(error)),
                Ok(count) => return Ok(count),
            }
        }
    }
}

impl Transport for WatchedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let output = &self.buffers.output()[..amount];
        self.pending.extend_from_slice(output);
        if self.pending.len() < MAX_PENDING_BYTES {
            return Ok(());
        }
        self.flush(timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.flush(timeout)?;
        match self.read(timeout) {
            Ok(0) => {
                self.watch.record_ended();
                Ok(false)
            }
            Ok(count) => {
                self.buffers.input_appended(count);
                Ok(true)
            }
            Err(error) => {
                self.watch.record_ended();
                Err(error)
            }
        }
    }

    /// Whether the connection is idle: neither closed nor with bytes that no
    /// request asked for.
    fn is_open(&mut self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let is_idle = match self.stream.read(&mut [0]) {
            Err(error) => error.kind() == ErrorKind::WouldBlock,
            Ok(0) => false,
            Ok(_) => {
                self.watch.record_surplus();
                false
            }
        };
        is_idle && self.stream.set_nonblocking(false).is_ok()
    }
}

impl Drop for WatchedTransport {
    fn drop(&mut self) {
        if !self.buffers.input().is_empty() {
            self.watch.record_surplus();
        }
        self.watch.record_closed();
    }
}

impl fmt::Debug for WatchedTransport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("WatchedTransport")
            .field("watch", &self.watch)
            .finish_non_exhaustive()
    }
}

fn deadline_of(timeout: NextTimeout) -> Option<Instant> {
    let after = timeout.not_zero()?;
    Instant::now().checked_add(*after)
}

fn time_left(deadline: Option<Instant>, timeout: NextTimeout) -> Result<Duration, Error> {
    let expired = || Error::Timeout(timeout.reason);
    let deadline = deadline.ok_or_else(expired)?;
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(expired());
    }
    Ok(left)
}

/// Whether the call is to be repeated while time is left.
fn is_temporary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::WouldBlock | ErrorKind::TimedOut
    )
}
