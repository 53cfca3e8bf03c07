use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use slog::Drain;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog_async::AsyncCore;

/// Passes records to the writer thread; drops and counts them while its queue is
/// full.
pub(super) struct BoundedDrain {
    core: AsyncCore,
    dropped: AtomicU64,
}

impl BoundedDrain {
    /// Creates a drain over a queue that does not block.
    pub(super) fn new(core: AsyncCore) -> Self {
        Self {
            core,
            dropped: AtomicU64::new(0),
        }
    }

    /// Number of records dropped because the queue was full.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Drain for BoundedDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.core.log(record, values).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl fmt::Debug for BoundedDrain {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("BoundedDrain")
            .field("dropped", &self.dropped())
            .finish_non_exhaustive()
    }
}
