use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::place::Place;

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Place of the value.
    pub place: Place,
    /// Path of the field, such as `services.quoting.deadline_ms`; empty for the whole file.
    pub field: String,
    /// What was expected.
    pub expected: String,
    /// What was found.
    pub found: String,
    /// Nearest known name, if the name found is unknown.
    pub suggestion: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.place)?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        write!(
            formatter,
            "expected {}, found {}",
            self.expected, self.found
        )?;
        match &self.suggestion {
            Some(name) => write!(formatter, " (did you mean `{name}`?)"),
            None => Ok(()),
        }
    }
}
