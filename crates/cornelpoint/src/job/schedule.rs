use serde::Deserialize;
use serde::Serialize;

/// The times at which a job's occurrences are due. Occurrences may overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences, at least 1.
    pub count: u32,
    /// When the first is due, in milliseconds since 1970.
    pub first_unix_ms: u64,
    /// Interval between occurrences.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns when an occurrence is due, in milliseconds since 1970.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(u64::from(occurrence)))
    }
}
