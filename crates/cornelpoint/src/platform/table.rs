use serde::Deserialize;
use serde::Serialize;

/// Key of a row: its table and its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Table that holds the row.
    pub table: String,
    /// Name of the row in its table.
    pub row: String,
}

/// A stored row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Version of the row; starts at 1 and increases with each write.
    pub version: u64,
    /// Content, as encoded by the writer.
    pub value: Vec<u8>,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// Key of the row.
        key: Key,
    },
    /// The row has this version.
    Version {
        /// Key of the row.
        key: Key,
        /// Version expected.
        version: u64,
    },
}

/// A write to one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Stores a value.
    Put {
        /// Key of the row.
        key: Key,
        /// Content.
        value: Vec<u8>,
    },
    /// Removes a row.
    Delete {
        /// Key of the row.
        key: Key,
    },
}

/// Writes that take effect atomically, and only if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes to perform.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionOutcome {
    /// All writes took effect.
    Committed,
    /// A condition did not hold; nothing changed.
    Conflict {
        /// Current rows that the conditions refer to; rows that do not exist are left out.
        current: Vec<Row>,
    },
}

/// Request for the rows of a table whose names start with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Table to read.
    pub table: String,
    /// Prefix of the row names.
    pub prefix: String,
    /// Maximum number of rows to return, in the order of their names.
    pub limit: u32,
}
