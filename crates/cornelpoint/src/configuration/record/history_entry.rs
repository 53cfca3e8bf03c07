use serde::Deserialize;
use serde::Serialize;

use super::record_error::RecordError;
use super::record_error::decode;
use super::token::AcceptToken;
use crate::configuration::Generation;
use crate::platform::Row;

/// Who accepted a generation, when and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The generation.
    pub generation: Generation,
    /// Earlier generation whose content it restores; set by a rollback.
    pub restores: Option<Generation>,
    /// Operator who accepted it.
    pub who: String,
    /// Reason given by the operator.
    pub why: String,
    /// Time of the accept by the accepting keeper's clock, in milliseconds
    /// since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Hash of the configuration without its generation.
    pub content_hash: u64,
    /// Token of the accept that created the generation.
    pub token: AcceptToken,
}

impl HistoryEntry {
    /// Decodes a history row.
    ///
    /// # Errors
    ///
    /// If the row does not hold a history entry.
    pub fn decode(row: &Row) -> Result<Self, RecordError> {
        decode(row)
    }
}
