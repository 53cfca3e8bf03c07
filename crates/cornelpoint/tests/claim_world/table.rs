use std::collections::BTreeMap;

use cornelpoint::platform::Condition;
use cornelpoint::platform::Key;
use cornelpoint::platform::Row;
use cornelpoint::platform::Scan;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::platform::Write;

/// An in-memory table service.
#[derive(Default)]
pub struct FakeTable {
    rows: BTreeMap<Key, Row>,
    /// Fault that the checks must detect: transactions ignore their conditions.
    pub ignores_conditions: bool,
    /// Number of transactions that took effect.
    pub commits: u64,
}

impl FakeTable {
    pub fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let holds = transaction.conditions.iter().all(|c| self.holds(c));
        if !holds && !self.ignores_conditions {
            let keys: Vec<Key> = transaction.conditions.iter().map(key_of).cloned().collect();
            let current = self.read(&keys);
            return TransactionOutcome::Conflict { current };
        }
        self.commits += 1;
        for write in &transaction.writes {
            self.write(write);
        }
        TransactionOutcome::Committed
    }

    pub fn read(&self, keys: &[Key]) -> Vec<Row> {
        keys.iter()
            .filter_map(|k| self.rows.get(k).cloned())
            .collect()
    }

    pub fn scan(&self, scan: &Scan) -> Vec<Row> {
        let rows = self.rows.values().filter(|r| r.key.table == scan.table);
        rows.take(scan.limit as usize).cloned().collect()
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => !self.rows.contains_key(key),
            Condition::Version { key, version } => {
                self.rows.get(key).is_some_and(|r| r.version == *version)
            }
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Delete { key } => {
                self.rows.remove(key);
            }
            Write::Put { key, value } => {
                let version = self.rows.get(key).map_or(0, |r| r.version) + 1;
                let row = Row {
                    key: key.clone(),
                    version,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
        }
    }
}

fn key_of(condition: &Condition) -> &Key {
    match condition {
        Condition::Absent { key } | Condition::Version { key, .. } => key,
    }
}
