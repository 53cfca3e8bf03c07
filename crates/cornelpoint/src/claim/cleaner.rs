use super::period::Period;
use super::period::REMOVAL_LOOKBACK_PERIODS;
use crate::platform::Row;
use crate::platform::Scan;
use crate::platform::Transaction;
use crate::platform::Write;

/// Most rows that one transaction removes.
const MAX_REMOVED_ROWS: u32 = 128;
/// Interval between two scans within a round over the old tables, in
/// milliseconds.
const STEP_INTERVAL_MS: u64 = 1000;
/// Pause after a complete round, when all old tables are empty, and after a
/// failed scan, in milliseconds.
const IDLE_INTERVAL_MS: u64 = 10 * 60 * 1000;

/// Removes the rows of old periods' tables, a bounded number at a time.
///
/// Several processes may clean at the same time; they only repeat each other's
/// work.
#[derive(Clone, Debug, Default)]
pub struct ClaimCleaner {
    next_step_ms: u64,
    is_scanning: bool,
    /// How many periods the scanned table is older than the newest removable
    /// one.
    periods_back: u64,
}

impl ClaimCleaner {
    /// Creates a cleaner whose first scan is due at once.
    ///
    /// ```
    /// use cornelpoint::claim::ClaimCleaner;
    ///
    /// let mut cleaner = ClaimCleaner::new();
    /// let scan = cleaner.next_scan(86_400_000 * 10).unwrap();
    /// assert_eq!(scan.table, "claims-7");
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next scan, if one is due.
    pub fn next_scan(&mut self, now_ms: u64) -> Option<Scan> {
        if self.is_scanning || now_ms < self.next_step_ms {
            return None;
        }
        let period = Period::at(now_ms).removable(self.periods_back)?;
        self.is_scanning = true;
        Some(Scan {
            table: period.table(),
            prefix: String::new(),
            limit: MAX_REMOVED_ROWS,
        })
    }

    /// Reports the rows that a scan found, and returns the transaction that
    /// removes them.
    pub fn on_rows(&mut self, rows: &[Row], now_ms: u64) -> Option<Transaction> {
        self.is_scanning = false;
        if rows.is_empty() {
            self.periods_back = (self.periods_back + 1) % REMOVAL_LOOKBACK_PERIODS;
        }
        let is_round_done = rows.is_empty() && self.periods_back == 0;
        let pause_ms = if is_round_done {
            IDLE_INTERVAL_MS
        } else {
            STEP_INTERVAL_MS
        };
        self.next_step_ms = now_ms + pause_ms;
        let delete = |row: &Row| Write::Delete {
            key: row.key.clone(),
        };
        let writes: Vec<Write> = rows.iter().map(delete).collect();
        (!writes.is_empty()).then(|| Transaction {
            conditions: Vec::new(),
            writes,
        })
    }

    /// Reports that a scan failed.
    pub fn on_scan_failed(&mut self, now_ms: u64) {
        self.is_scanning = false;
        self.next_step_ms = now_ms + IDLE_INTERVAL_MS;
    }

    /// Returns the time at which the next scan is due.
    #[must_use]
    pub fn next_wake_ms(&self) -> u64 {
        self.next_step_ms
    }
}
