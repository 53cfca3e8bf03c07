use serde::Deserialize;
use serde::Serialize;

/// Place of a row.
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
    /// Place of the row.
    pub key: Key,
    /// Version of the row; it starts at 1 and grows with each write.
    pub version: u64,
    /// Content, in the writer's coding.
    pub value: Vec<u8>,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The row does not exist.
    Absent {
        /// Place of the row.
        key: Key,
    },
    /// The row has this version.
    Version {
        /// Place of the row.
        key: Key,
        /// Version expected.
        version: u64,
    },
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Stores a value.
    Put {
        /// Place of the row.
        key: Key,
        /// Content.
        value: Vec<u8>,
    },
    /// Removes a row.
    Delete {
        /// Place of the row.
        key: Key,
    },
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What changes.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionOutcome {
    /// All writes took effect.
    Committed,
    /// A condition did not hold; nothing changed.
    Conflict {
        /// The rows of the conditions as they are, those that exist.
        current: Vec<Row>,
    },
}

/// Request for the rows of a table whose names start with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Table to read.
    pub table: String,
    /// Start of the row names.
    pub prefix: String,
    /// Most rows to return, in the order of their names.
    pub limit: u32,
}
