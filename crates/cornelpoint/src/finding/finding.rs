use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use super::place::Place;

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Where the value stands.
    pub place: Place,
    /// Path of the field, such as `services.quoting.deadline_ms`; empty for the whole file.
    pub field: String,
    /// What would have been right.
    pub expected: String,
    /// What stands there.
    pub found: String,
    /// The nearest known name, for a name that is not known.
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
