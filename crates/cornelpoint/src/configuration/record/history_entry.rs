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
    /// Earlier generation whose content it brings back, for a rollback.
    pub restores: Option<Generation>,
    /// Operator who accepted it.
    pub who: String,
    /// Reason that the operator gave.
    pub why: String,
    /// When it was accepted, in milliseconds since 1970 by the accepting keeper's clock.
    pub accepted_unix_ms: u64,
    /// Hash of the configuration without its generation.
    pub content_hash: u64,
    /// Token of the accept.
    pub token: AcceptToken,
}

impl HistoryEntry {
    /// Decodes a history row.
    ///
    /// # Errors
    ///
    /// When the row is not a history entry.
    pub fn decode(row: &Row) -> Result<Self, RecordError> {
        decode(row)
    }
}
