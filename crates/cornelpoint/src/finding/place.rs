use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A place in a text file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Name of the file, as the operator gave it.
    pub file: String,
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}:{}", self.file, self.line, self.column)
    }
}
