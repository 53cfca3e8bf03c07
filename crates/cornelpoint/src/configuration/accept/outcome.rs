use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Change;
use crate::configuration::Generation;
use crate::configuration::record::HistoryEntry;
use crate::configuration::record::RecordError;

/// Outcome of an accept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum AcceptOutcome {
    /// The content was accepted as a new generation.
    Accepted {
        /// The new generation.
        generation: Generation,
    },
    /// The content is already in force; nothing was written.
    Unchanged {
        /// The generation in force.
        generation: Generation,
    },
    /// A generation other than the one the operator saw is in force; nothing was written.
    Conflict {
        /// Generation that the operator saw.
        seen: Generation,
        /// The generation in force.
        current: Generation,
        /// History entry of the generation in force; `None` if it could not be read.
        accepted: Option<HistoryEntry>,
        /// Changes from `seen` to `current`; empty if a body could not be read.
        changes: Vec<Change>,
    },
    /// The generation to restore does not exist; nothing was written.
    NoSuchGeneration {
        /// Requested generation.
        generation: Generation,
    },
    /// The platform did not answer; nothing was written.
    Unavailable,
    /// The platform did not answer and the accept may have taken effect.
    /// Repeating the request with the same token resolves it.
    Unknown,
    /// A row of the table cannot be decoded; nothing was written.
    Malformed {
        /// The row and the decoding error.
        error: RecordError,
    },
}

impl fmt::Display for AcceptOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { generation } => {
                write!(formatter, "accepted as generation {generation}")
            }
            Self::Unchanged { generation } => {
                write!(
                    formatter,
                    "unchanged: already in force as generation {generation}"
                )
            }
            Self::Conflict {
                seen,
                current,
                accepted,
                changes,
            } => {
                write!(
                    formatter,
                    "conflict: expected generation {seen}, found {current}"
                )?;
                if let Some(entry) = accepted {
                    write!(formatter, ", accepted by {}: {}", entry.who, entry.why)?;
                }
                for change in changes {
                    write!(formatter, "\n  {change}")?;
                }
                Ok(())
            }
            Self::NoSuchGeneration { generation } => {
                write!(
                    formatter,
                    "expected an accepted generation, found none numbered {generation}"
                )
            }
            Self::Unavailable => {
                write!(formatter, "not accepted: the platform does not answer")
            }
            Self::Unknown => write!(
                formatter,
                "unknown: the platform does not answer and the accept may have taken effect"
            ),
            Self::Malformed { error } => write!(formatter, "not accepted: {error}"),
        }
    }
}
