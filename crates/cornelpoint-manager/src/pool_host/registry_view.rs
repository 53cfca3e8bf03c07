use std::collections::BTreeSet;

use cornelpoint::worker::RegistryEntries;
use cornelpoint::worker::RegistryEntry;
use cornelpoint_platform::registry;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::Rows;

use crate::store::FeedOutcome;
use crate::store::StoreClient;

/// The registry as last read. After the first read only changes are requested.
#[derive(Debug, Default)]
pub(super) struct RegistryView {
    /// Version up to which changes are applied; `None` before the first full read.
    version: Option<u64>,
    entries: RegistryEntries,
    /// Keys of the rows that are no entries of workers.
    unreadable: BTreeSet<String>,
}

impl RegistryView {
    /// Reads what has changed. Returns whether the view is up to date.
    pub(super) async fn refresh(&mut self, store: &StoreClient) -> bool {
        loop {
            let Some(version) = self.version else {
                let Some(rows) = store.read_all(registry::TABLE, "").await else {
                    return false;
                };
                self.replace(&rows);
                return true;
            };
            match store.feed(registry::TABLE, version, 0).await {
                FeedOutcome::Changes(rows) => {
                    self.apply(&rows.rows);
                    self.version = Some(rows.version.max(version));
                    if !rows.has_more {
                        return true;
                    }
                }
                FeedOutcome::HistoryExpired => self.version = None,
                FeedOutcome::Failed => return false,
            }
        }
    }

    fn replace(&mut self, rows: &Rows) {
        self.entries.clear();
        self.unreadable.clear();
        self.apply(&rows.rows);
        self.version = Some(rows.version);
    }

    fn apply(&mut self, rows: &[Row]) {
        for row in rows {
            let key = &row.key.key;
            let value = row.value.as_deref();
            let entry = value.and_then(|value| registry::parse_entry(key, value));
            if value.is_some() && entry.is_none() {
                self.unreadable.insert(key.clone());
            } else {
                self.unreadable.remove(key);
            }
            match entry {
                Some(entry) => self.entries.insert(entry),
                None => self.entries.remove(key),
            }
        }
    }

    /// Returns the entries of workers.
    pub(super) fn entries(&self) -> &[RegistryEntry] {
        self.entries.as_slice()
    }

    /// Returns the number of rows that are no entries of workers.
    pub(super) fn unreadable(&self) -> usize {
        self.unreadable.len()
    }
}
