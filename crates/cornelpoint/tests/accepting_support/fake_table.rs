use std::collections::BTreeMap;

use cornelpoint::platform::Condition;
use cornelpoint::platform::Key;
use cornelpoint::platform::Row;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::platform::Write;

/// In-memory implementation of the platform's table; injects no faults.
#[derive(Default)]
pub struct FakeTable {
    rows: BTreeMap<Key, Row>,
}

impl FakeTable {
    /// Returns the requested rows that exist.
    pub fn read(&self, keys: &[Key]) -> Vec<Row> {
        keys.iter()
            .filter_map(|key| self.rows.get(key).cloned())
            .collect()
    }

    /// Returns the rows whose names start with a prefix.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows = self.rows.values();
        rows.filter(|row| row.key.row.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Executes a transaction atomically.
    pub fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        if !transaction
            .conditions
            .iter()
            .all(|condition| self.holds(condition))
        {
            let keys: Vec<Key> = transaction.conditions.iter().map(key_of).collect();
            return TransactionOutcome::Conflict {
                current: self.read(&keys),
            };
        }
        for write in &transaction.writes {
            self.write(write);
        }
        TransactionOutcome::Committed
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Version { key, version } => self
                .rows
                .get(key)
                .is_some_and(|row| row.version == *version),
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let version = self.rows.get(key).map_or(1, |row| row.version + 1);
                let row = Row {
                    key: key.clone(),
                    version,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}

fn key_of(condition: &Condition) -> Key {
    match condition {
        Condition::Absent { key } | Condition::Version { key, .. } => key.clone(),
    }
}
