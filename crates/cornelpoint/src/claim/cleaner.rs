use super::period::Period;
use super::period::REMOVAL_LOOKBACK;
use crate::platform::Row;
use crate::platform::Scan;
use crate::platform::Transaction;
use crate::platform::Write;

/// Rows removed by one transaction.
const REMOVED_ROWS: u32 = 128;
/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 1000;
/// Time between two steps once old tables are empty, in milliseconds.
const REST_MS: u64 = 10 * 60 * 1000;

/// Removes the tables of old periods, a bounded number of rows at a time.
///
/// Two processes that clean at once do the same work twice and no harm.
#[derive(Clone, Debug, Default)]
pub struct ClaimCleaner {
    next_step_ms: u64,
    is_scanning: bool,
    older: u64,
}

impl ClaimCleaner {
    /// A cleaner that starts at once.
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

    /// The next scan, if one is due.
    pub fn next_scan(&mut self, now_ms: u64) -> Option<Scan> {
        if self.is_scanning || now_ms < self.next_step_ms {
            return None;
        }
        let period = Period::at(now_ms).removable(self.older)?;
        self.is_scanning = true;
        Some(Scan {
            table: period.table(),
            prefix: String::new(),
            limit: REMOVED_ROWS,
        })
    }

    /// Takes in the rows found; the transaction removes them.
    pub fn on_rows(&mut self, rows: &[Row], now_ms: u64) -> Option<Transaction> {
        self.is_scanning = false;
        if rows.is_empty() {
            self.older = (self.older + 1) % REMOVAL_LOOKBACK;
        }
        let has_seen_all = rows.is_empty() && self.older == 0;
        let pause_ms = if has_seen_all { REST_MS } else { STEP_MS };
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

    /// Takes in that a scan failed.
    pub fn on_scan_failed(&mut self, now_ms: u64) {
        self.is_scanning = false;
        self.next_step_ms = now_ms + REST_MS;
    }

    /// Time at which the next scan is due.
    #[must_use]
    pub fn next_wake_ms(&self) -> u64 {
        self.next_step_ms
    }
}
