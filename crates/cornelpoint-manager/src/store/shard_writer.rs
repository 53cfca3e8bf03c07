use std::cell::RefCell;
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

/// Attempts of one write. A conflict with an earlier transaction of this owner
/// that was committed late returns its version for the next attempt; another
/// late one may follow.
const MAX_ATTEMPTS: u32 = 4;

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write is committed.
    Stored,
    /// The write may have been committed, may still be committed later, or may
    /// never be. It can't overwrite a later write of this owner.
    Unknown,
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
}

impl ShardWriter {
    pub(crate) fn new(shard: &str, owner: OwnerRow, owner_version: u64) -> Rc<Self> {
        Rc::new(Self {
            shard: shard.to_owned(),
            guard: RefCell::new(WriteGuard::new(owner, owner_version)),
            write_lock: Mutex::new(()),
        })
    }

    /// Writes and removes rows in one transaction that also renews the store
    /// heartbeat.
    pub(crate) async fn write(
        &self,
        store: &StoreClient,
        writes: &[(RowKey, Vec<u8>)],
        removals: &[RowKey],
    ) -> WriteOutcome {
        let _guard = self.write_lock.lock().await;
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
                removals: removals.to_vec(),
            };
            transaction.writes.extend_from_slice(writes);
            match store.transact(&transaction).await {
                TransactionOutcome::Committed { version } => {
                    self.guard.borrow_mut().committed(version);
                    return WriteOutcome::Stored;
                }
                TransactionOutcome::Conflict(rows) => {
                    if self.conflict_outcome(&rows) == ConflictOutcome::Fenced {
                        return WriteOutcome::Fenced;
                    }
                }
                TransactionOutcome::Refused | TransactionOutcome::Unknown => {
                    return WriteOutcome::Unknown;
                }
            }
        }
        WriteOutcome::Unknown
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
