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

/// Largest piece of data that is passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// A connection through a relay; it has no target while the relay is cut.
#[derive(Debug)]
pub(super) struct Link {
    source: TcpStream,
    target: Option<TcpStream>,
    /// Whether bytes were swallowed.
    broken: AtomicBool,
}

impl Link {
    pub(super) fn new(source: TcpStream, target: Option<TcpStream>) -> Self {
        let broken = AtomicBool::new(target.is_none());
        for stream in [Some(&source), target.as_ref()].into_iter().flatten() {
            // Without it, data is only passed on later.
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
        // A side that is closed already needs no shutdown.
        let _ = self.source.shutdown(Shutdown::Both);
        if let Some(target) = &self.target {
            let _ = target.shutdown(Shutdown::Both);
        }
    }

    /// Passes data on in one direction until the connection closes.
    pub(super) fn pump(&self, shared: &Mutex<Shared>, direction: Direction) {
        let (from, to) = match direction {
            Direction::ToTarget => (Some(&self.source), self.target.as_ref()),
            Direction::FromTarget => (self.target.as_ref(), Some(&self.source)),
        };
        let Some(mut from) = from else {
            return;
        };
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(length @ 1..) = from.read(&mut piece) {
            if self.pass(shared, direction, to, &piece[..length]).is_none() {
                break;
            }
        }
        self.close();
    }

    /// Passes a piece of data on, or swallows it; none when it can't.
    fn pass(
        &self,
        shared: &Mutex<Shared>,
        direction: Direction,
        to: Option<&TcpStream>,
        piece: &[u8],
    ) -> Option<()> {
        let delay_ms = lock(shared).faults.delay_ms;
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        if self.is_broken() || lock(shared).faults.cut.swallows(direction) {
            self.broken.store(true, Ordering::Relaxed);
            return Some(());
        }
        to?.write_all(piece).ok()
    }
}
