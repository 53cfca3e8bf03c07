use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use cornelpoint::ownership::ConflictOutcome;
use cornelpoint::ownership::OwnerRow;
use cornelpoint::ownership::WriteGuard;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use tokio::sync::Mutex;

use super::store_client::StoreClient;
use super::store_client::TransactionOutcome;
use super::tables::OWNER_KEY;
use super::tables::STORE_HEARTBEAT_KEY;
use super::tables::STORE_HEARTBEAT_TABLE;
use super::tables::decode;
use super::tables::encode;
use super::tables::owner_row_key;
use super::wide_rows;

/// Attempts of one write. A conflict with an earlier transaction of this owner
/// that was committed late returns its version for the next attempt; another
/// late one may follow.
const MAX_ATTEMPTS: u32 = 4;

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write is committed.
    Stored,
    /// The write may have been committed, may still be committed later, or may
    /// never be. It can't overwrite a later write of this owner.
    Unknown,
    /// The store rejects the write as invalid, and would reject any repeat; nothing was
    /// written.
    Invalid,
    /// Nothing was written, because of rows that must not be there.
    Blocked(Vec<Row>),
    /// Another process owns the shard.
    Fenced,
}

/// Writes a shard's rows, one transaction at a time, on the condition that this
/// process still owns the shard.
#[derive(Debug)]
pub(crate) struct ShardWriter {
    shard: String,
    guard: RefCell<WriteGuard>,
    write_lock: Mutex<()>,
    row_bytes: usize,
    /// Number of rows of each value that may be in several.
    row_counts: RefCell<HashMap<RowKey, usize>>,
}

impl ShardWriter {
    pub(crate) fn new(
        shard: &str,
        owner: OwnerRow,
        owner_version: u64,
        row_bytes: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            shard: shard.to_owned(),
            guard: RefCell::new(WriteGuard::new(owner, owner_version)),
            write_lock: Mutex::new(()),
            row_bytes,
            row_counts: RefCell::default(),
        })
    }

    /// Takes note of values as read, so that all their rows are replaced or removed.
    pub(crate) fn values_read(&self, values: &[Row]) {
        for row in values {
            let bytes = row.value.as_ref().map_or(0, Vec::len);
            let count = wide_rows::row_count(bytes, self.row_bytes);
            if count > 1 {
                self.row_counts.borrow_mut().insert(row.key.clone(), count);
            }
        }
    }

    /// Writes and removes values in one transaction that also renews the store
    /// heartbeat, unless a row of `absent` is there.
    pub(crate) async fn write(
        &self,
        store: &StoreClient,
        writes: &[(RowKey, Vec<u8>)],
        removals: &[RowKey],
        absent: &[RowKey],
    ) -> WriteOutcome {
        let _guard = self.write_lock.lock().await;
        let (row_writes, row_removals) = self.rows_of(writes, removals);
        let heartbeat = RowKey::new(STORE_HEARTBEAT_TABLE, &self.shard, STORE_HEARTBEAT_KEY);
        for _ in 0..MAX_ATTEMPTS {
            let mut transaction = Transaction {
                conditions: vec![
                    (
                        owner_row_key(&self.shard),
                        self.guard.borrow().owner_version(),
                    ),
                    (
                        heartbeat.clone(),
                        self.guard.borrow().store_heartbeat_version(),
                    ),
                ],
                writes: vec![(heartbeat.clone(), encode(&store.clock_ms()))],
                removals: row_removals.clone(),
            };
            let conditions = absent.iter().map(|key| (key.clone(), 0));
            transaction.conditions.extend(conditions);
            transaction.writes.extend_from_slice(&row_writes);
            match store.transact(&transaction).await {
                TransactionOutcome::Committed { version } => {
                    self.guard.borrow_mut().committed(version);
                    self.record_counts(writes, removals);
                    return WriteOutcome::Stored;
                }
                TransactionOutcome::Conflict(rows) => {
                    if self.conflict_outcome(&rows) == ConflictOutcome::Fenced {
                        return WriteOutcome::Fenced;
                    }
                    let mut rows = rows;
                    rows.retain(|row| row.version > 0 && absent.contains(&row.key));
                    if !rows.is_empty() {
                        return WriteOutcome::Blocked(rows);
                    }
                }
                TransactionOutcome::Invalid => return WriteOutcome::Invalid,
                TransactionOutcome::Refused | TransactionOutcome::Unknown => {
                    return WriteOutcome::Unknown;
                }
            }
        }
        WriteOutcome::Unknown
    }

    /// Returns the rows to write and to remove for these values. Rows of a longer
    /// earlier value are removed.
    fn rows_of(
        &self,
        writes: &[(RowKey, Vec<u8>)],
        removals: &[RowKey],
    ) -> (Vec<(RowKey, Vec<u8>)>, Vec<RowKey>) {
        let mut counts = self.row_counts.borrow_mut();
        let mut row_writes = Vec::with_capacity(writes.len());
        let mut row_removals = Vec::with_capacity(removals.len());
        for (key, value) in writes {
            let rows = wide_rows::split(key, value, self.row_bytes);
            let written = rows.len();
            let before = counts.get(key).copied().unwrap_or(1);
            let surplus = written..before;
            row_removals.extend(surplus.map(|number| wide_rows::row_key(key, number)));
            if written > before {
                // Also if the outcome stays unknown.
                counts.insert(key.clone(), written);
            }
            row_writes.extend(rows);
        }
        for key in removals {
            let count = counts.get(key).copied().unwrap_or(1);
            row_removals.extend((0..count).map(|number| wide_rows::row_key(key, number)));
        }
        (row_writes, row_removals)
    }

    fn record_counts(&self, writes: &[(RowKey, Vec<u8>)], removals: &[RowKey]) {
        let mut counts = self.row_counts.borrow_mut();
        if counts.is_empty() {
            return;
        }
        for (key, value) in writes {
            match wide_rows::row_count(value.len(), self.row_bytes) {
                1 => counts.remove(key),
                count => counts.insert(key.clone(), count),
            };
        }
        for key in removals {
            counts.remove(key);
        }
    }

    fn conflict_outcome(&self, rows: &[Row]) -> ConflictOutcome {
        let owner_row = rows.iter().find(|row| row.key.key == OWNER_KEY);
        let owner: Option<OwnerRow> = owner_row.and_then(|row| decode(row.value.as_deref()?));
        let owner_version = owner_row.map_or(0, |row| row.version);
        let heartbeat = rows.iter().find(|row| row.key.key == STORE_HEARTBEAT_KEY);
        let heartbeat_version = heartbeat.map_or(0, |row| row.version);
        let owner = owner.as_ref().map(|owner| (owner, owner_version));
        self.guard
            .borrow_mut()
            .resolve_conflict(owner, heartbeat_version)
    }
}
