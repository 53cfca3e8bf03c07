use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use super::direction::Direction;
use super::shared::Shared;
use crate::lock::lock;

/// Size of the buffer for forwarded data.
const CHUNK_BYTES: usize = 16 * 1024;

/// A client's connection through a relay; it has no target connection if data
/// to the target was cut when it was accepted.
#[derive(Debug)]
pub(super) struct RelayedConnection {
    source: TcpStream,
    target: Option<TcpStream>,
    /// Whether bytes were discarded.
    broken: AtomicBool,
}

impl RelayedConnection {
    pub(super) fn new(source: TcpStream, target: Option<TcpStream>) -> Self {
        let broken = AtomicBool::new(target.is_none());
        for stream in [Some(&source), target.as_ref()].into_iter().flatten() {
            // If this fails, small writes are only delayed.
            let _ = stream.set_nodelay(true);
        }
        Self {
            source,
            target,
            broken,
        }
    }

    pub(super) fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    pub(super) fn close(&self) {
        // Fails if the stream is already closed.
        let _ = self.source.shutdown(Shutdown::Both);
        if let Some(target) = &self.target {
            let _ = target.shutdown(Shutdown::Both);
        }
    }

    /// Forwards data in one direction until the connection closes.
    pub(super) fn forward(&self, shared: &Mutex<Shared>, direction: Direction) {
        let (from, to) = match direction {
            Direction::ToTarget => (Some(&self.source), self.target.as_ref()),
            Direction::FromTarget => (self.target.as_ref(), Some(&self.source)),
        };
        let Some(mut from) = from else {
            return;
        };
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut chunk) {
            if self
                .forward_chunk(shared, direction, to, &chunk[..length])
                .is_none()
            {
                break;
            }
        }
        self.close();
    }

    /// Forwards or discards a chunk of data; returns `None` if the write fails.
    fn forward_chunk(
        &self,
        shared: &Mutex<Shared>,
        direction: Direction,
        to: Option<&TcpStream>,
        chunk: &[u8],
    ) -> Option<()> {
        let delay_ms = lock(shared).faults.delay_ms;
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        if self.is_broken() || lock(shared).faults.cut.discards(direction) {
            self.broken.store(true, Ordering::Relaxed);
            return Some(());
        }
        to?.write_all(chunk).ok()
    }
}
