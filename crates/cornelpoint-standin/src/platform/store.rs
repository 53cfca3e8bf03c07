use std::collections::BTreeMap;

use cornelpoint::platform::Condition;
use cornelpoint::platform::Key;
use cornelpoint::platform::Row;
use cornelpoint::platform::Scan;
use cornelpoint::platform::Transaction;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::platform::Write;

/// A row, or a deleted one, which keeps its version.
#[derive(Debug)]
struct Cell {
    version: u64,
    value: Option<Vec<u8>>,
}

/// Rows of all tables, with atomic transactions.
#[derive(Debug, Default)]
pub(super) struct Store {
    cells: BTreeMap<Key, Cell>,
}

impl Store {
    pub(super) fn transact(&mut self, transaction: Transaction) -> TransactionOutcome {
        if !transaction.conditions.iter().all(|c| self.holds(c)) {
            return self.conflict(&transaction.conditions);
        }
        for write in transaction.writes {
            self.write(write);
        }
        TransactionOutcome::Committed
    }

    pub(super) fn read(&self, keys: &[Key]) -> Vec<Row> {
        keys.iter().filter_map(|key| self.row(key)).collect()
    }

    pub(super) fn scan(&self, scan: &Scan) -> Vec<Row> {
        let start = Key {
            table: scan.table.clone(),
            row: scan.prefix.clone(),
        };
        self.cells
            .range(start..)
            .take_while(|(key, _)| key.table == scan.table && key.row.starts_with(&scan.prefix))
            .filter_map(|(key, _)| self.row(key))
            .take(usize::try_from(scan.limit).unwrap_or(usize::MAX))
            .collect()
    }

    pub(super) fn row_count(&self) -> usize {
        self.cells.values().filter(|c| c.value.is_some()).count()
    }

    fn conflict(&self, conditions: &[Condition]) -> TransactionOutcome {
        let current = conditions
            .iter()
            .filter_map(|condition| self.row(condition_key(condition)))
            .collect();
        TransactionOutcome::Conflict { current }
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::Absent { key } => self.row(key).is_none(),
            Condition::Version { key, version } => {
                self.row(key).is_some_and(|row| row.version == *version)
            }
        }
    }

    fn row(&self, key: &Key) -> Option<Row> {
        let cell = self.cells.get(key)?;
        let value = cell.value.clone()?;
        Some(Row {
            key: key.clone(),
            version: cell.version,
            value,
        })
    }

    fn write(&mut self, write: Write) {
        let (key, value) = match write {
            Write::Put { key, value } => (key, Some(value)),
            Write::Delete { key } => (key, None),
        };
        let cell = self.cells.entry(key).or_insert(Cell {
            version: 0,
            value: None,
        });
        cell.version += 1;
        cell.value = value;
    }
}

fn condition_key(condition: &Condition) -> &Key {
    match condition {
        Condition::Absent { key } | Condition::Version { key, .. } => key,
    }
}
