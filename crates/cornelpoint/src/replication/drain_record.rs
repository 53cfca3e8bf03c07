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

/// Table that holds operators' marks.
const TABLE: &str = "drain";

/// An operator's mark of an endpoint, as the platform's table keeps it.
///
/// The row `mark/WORKSPACE/INSTANCE` holds the newest, the rows
/// `history/WORKSPACE/INSTANCE/EPOCH` hold all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The mark.
    pub mark: EndpointMark,
    /// Operator who set it.
    pub who: String,
    /// Reason that the operator gave.
    pub why: String,
    /// When it was set, in milliseconds since 1970 by the keeper's clock.
    pub set_unix_ms: u64,
}

impl DrainRecord {
    /// Table that holds the records.
    pub const TABLE: &'static str = TABLE;

    /// Place of the newest record of an endpoint.
    #[must_use]
    pub fn key(workspace: &WorkspaceName, instance: &InstanceId) -> Key {
        key(format!("{}{instance}", Self::prefix(workspace)))
    }

    /// Start of the names of a workspace's newest records.
    #[must_use]
    pub fn prefix(workspace: &WorkspaceName) -> String {
        format!("mark/{workspace}/")
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// When the row is not a record.
    pub fn decode(row: &Row) -> Result<Self, DrainRecordError> {
        rmp_serde::from_slice(&row.value).map_err(|error| DrainRecordError {
            row: row.key.row.clone(),
            found: error.to_string(),
        })
    }

    /// The transaction that stores the record in place of the one in `row`.
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

    /// Codes the record, plain data that always can be coded.
    fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("plain data can be coded")
    }
}

fn key(row: String) -> Key {
    Key {
        table: TABLE.to_owned(),
        row,
    }
}

/// A row that holds no operator's mark.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRecordError {
    /// Name of the row.
    pub row: String,
    /// What was found.
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
