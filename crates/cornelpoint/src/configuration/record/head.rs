use serde::Deserialize;
use serde::Serialize;

use super::record_error::RecordError;
use super::record_error::decode;
use super::token::AcceptToken;
use crate::configuration::Generation;
use crate::name::WorkspaceName;
use crate::platform::Row;

/// The newest generation of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Its newest generation.
    pub generation: Generation,
    /// Hash of the configuration without its generation.
    pub content_hash: u64,
    /// Token of the accept that made it.
    pub token: AcceptToken,
}

impl Head {
    /// Decodes a head row.
    ///
    /// # Errors
    ///
    /// When the row is not a head.
    pub fn decode(row: &Row) -> Result<Self, RecordError> {
        decode(row)
    }
}
