use serde::Deserialize;
use serde::Serialize;

use super::record_error::RecordError;
use super::record_error::decode;
use super::token::AcceptToken;
use crate::configuration::Generation;
use crate::name::WorkspaceName;
use crate::platform::Row;

/// Content of a workspace's head row: its newest generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Its newest generation.
    pub generation: Generation,
    /// Hash of the configuration without its generation.
    pub content_hash: u64,
    /// Token of the accept that created the generation.
    pub token: AcceptToken,
}

impl Head {
    /// Decodes a head row.
    ///
    /// # Errors
    ///
    /// If the row does not hold a head.
    pub fn decode(row: &Row) -> Result<Self, RecordError> {
        decode(row)
    }
}
