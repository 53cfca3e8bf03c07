use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::Row;

/// Error for a row that does not hold the kind of record that its name implies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordError {
    /// Name of the row.
    pub row: String,
    /// Decoding error.
    pub found: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "expected a record in row {}, found: {}",
            self.row, self.found
        )
    }
}

impl Error for RecordError {}

pub(crate) fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, RecordError> {
    rmp_serde::from_slice(&row.value).map_err(|error| RecordError {
        row: row.key.row.clone(),
        found: error.to_string(),
    })
}

/// Encodes a record. This cannot fail, because records hold only plain data.
pub(crate) fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(record).expect("plain data can be encoded")
}
