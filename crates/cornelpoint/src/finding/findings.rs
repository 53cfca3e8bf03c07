use std::error::Error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::finding::Finding;

/// All findings of one check, reported together.
///
/// Displays one finding a line as `file:line:column: field: expected ..., found ...`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// The findings, in the order in which the check met them.
    #[must_use]
    pub fn as_slice(&self) -> &[Finding] {
        &self.list
    }

    /// Whether the check found nothing wrong.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Adds a finding; one that is there already is not repeated.
    pub fn push(&mut self, finding: Finding) {
        if !self.list.contains(&finding) {
            self.list.push(finding);
        }
    }

    /// Adds the findings of another check.
    pub fn append(&mut self, other: Findings) {
        for finding in other.list {
            self.push(finding);
        }
    }

    /// The value that was checked, or the findings if there are any.
    ///
    /// # Errors
    ///
    /// The findings, when there are any.
    ///
    /// # Panics
    ///
    /// When there is neither a value nor a finding: a reader gave up a value
    /// without saying why.
    pub fn or_value<T>(self, value: Option<T>) -> Result<T, Findings> {
        match value {
            Some(value) if self.is_empty() => Ok(value),
            None if self.is_empty() => panic!("expected a finding for a missing value, found none"),
            _ => Err(self),
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
