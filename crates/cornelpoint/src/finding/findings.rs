use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::finding::Finding;

/// All findings of one check, reported together.
///
/// Displays one finding per line, as `file:line:column: field: expected ..., found ...`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Returns the findings.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.list
    }

    /// Returns whether the check found no errors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.list.push(finding);
    }

    /// Adds the findings of another check.
    pub fn append(&mut self, other: Findings) {
        self.list.extend(other.list);
    }

    /// Returns the checked value, or the findings if there are any.
    ///
    /// The findings are sorted by place; identical adjacent ones are merged.
    ///
    /// # Errors
    ///
    /// The findings, if there are any.
    ///
    /// # Panics
    ///
    /// If there is neither a value nor a finding: a reader returned no value
    /// and recorded no finding.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T, Findings> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            None if self.is_empty() => panic!("expected a finding for a missing value, found none"),
            _ => {
                self.list.sort_by(|one, other| one.place.cmp(&other.place));
                self.list.dedup();
                Err(self)
            }
        }
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self {
            list: vec![finding],
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl Error for Findings {}
