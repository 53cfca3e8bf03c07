use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::endpoint_mark::EndpointMark;
use crate::name::InstanceId;
use crate::name::WorkspaceName;
use crate::platform::Condition;
use crate::platform::Key;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::platform::Write;

/// Name of the table with operators' marks.
const TABLE: &str = "drain";

/// An operator's mark of an endpoint, as stored in the platform's table
/// service.
///
/// The row `mark/WORKSPACE/INSTANCE` holds the newest record, and the rows
/// `history/WORKSPACE/INSTANCE/EPOCH` hold all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The mark.
    pub mark: EndpointMark,
    /// Operator who set the mark.
    pub who: String,
    /// Reason that the operator gave.
    pub why: String,
    /// Time at which the mark was set, by the keeper's clock, in milliseconds
    /// since the Unix epoch.
    pub set_unix_ms: u64,
}

impl DrainRecord {
    /// Name of the table with the records.
    pub const TABLE: &'static str = TABLE;

    /// Returns the key of an endpoint's newest record.
    #[must_use]
    pub fn key(workspace: &WorkspaceName, instance: &InstanceId) -> Key {
        key(format!("{}{instance}", Self::prefix(workspace)))
    }

    /// Returns the row name prefix of a workspace's newest records.
    #[must_use]
    pub fn prefix(workspace: &WorkspaceName) -> String {
        format!("mark/{workspace}/")
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// If the row's value is not an encoded record.
    pub fn decode(row: &Row) -> Result<Self, DrainRecordError> {
        rmp_serde::from_slice(&row.value).map_err(|error| DrainRecordError {
            row: row.key.row.clone(),
            found: error.to_string(),
        })
    }

    /// Returns the transaction that replaces the newest record, which must still
    /// be `row`, by this one and adds this one to the history.
    ///
    /// ```
    /// use cornelpoint::name::InstanceId;
    /// use cornelpoint::name::WorkspaceName;
    /// use cornelpoint::replication::DrainRecord;
    /// use cornelpoint::replication::EndpointMark;
    /// use cornelpoint::replication::MarkCause;
    ///
    /// let workspace = WorkspaceName::try_from("lk-west").unwrap();
    /// let record = DrainRecord {
    ///     mark: EndpointMark {
    ///         instance: InstanceId::try_from("galle-1").unwrap(),
    ///         epoch: 1,
    ///         accepts_work: false,
    ///         cause: MarkCause::Operator,
    ///     },
    ///     who: "nimal".to_owned(),
    ///     why: "new fans".to_owned(),
    ///     set_unix_ms: 1_700_000_000_000,
    /// };
    /// assert_eq!(record.transaction(&workspace, None).writes.len(), 2);
    /// ```
    #[must_use]
    pub fn transaction(&self, workspace: &WorkspaceName, row: Option<&Row>) -> Transaction {
        let newest = Self::key(workspace, &self.mark.instance);
        let history = key(format!(
            "history/{workspace}/{}/{:020}",
            self.mark.instance, self.mark.epoch
        ));
        let condition = match row {
            Some(row) => Condition::Version {
                key: newest.clone(),
                version: row.version,
            },
            None => Condition::Absent {
                key: newest.clone(),
            },
        };
        let value = self.encode();
        Transaction {
            conditions: vec![condition],
            writes: vec![
                Write::Put {
                    key: newest,
                    value: value.clone(),
                },
                Write::Put {
                    key: history,
                    value,
                },
            ],
        }
    }

    /// Encodes the record as `MessagePack` with named fields.
    fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("every field can be encoded as MessagePack")
    }
}

fn key(row: String) -> Key {
    Key {
        table: TABLE.to_owned(),
        row,
    }
}

/// Error for a row that is not an encoded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRecordError {
    /// Name of the row.
    pub row: String,
    /// The decoder's error message.
    pub found: String,
}

impl fmt::Display for DrainRecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "expected an operator's mark in row {}, found: {}",
            self.row, self.found
        )
    }
}

impl Error for DrainRecordError {}
