use serde::Serialize;

/// Result of one check.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// Description of what is checked.
    pub name: &'static str,
    /// Whether the check passed.
    pub passed: bool,
    /// Value found, as text with its unit.
    pub found: String,
    /// Value expected, as text with its unit.
    pub expected: String,
}

impl Check {
    /// Creates a check that passes when a value is at least a bound.
    #[must_use]
    pub fn at_least(name: &'static str, found: f64, bound: f64, unit: &str) -> Self {
        Self {
            name,
            passed: found >= bound,
            found: format!("{found:.1}{unit}"),
            expected: format!("at least {bound:.1}{unit}"),
        }
    }

    /// Creates a check that passes when a value is at most a bound.
    #[must_use]
    pub fn at_most(name: &'static str, found: f64, bound: f64, unit: &str) -> Self {
        Self {
            name,
            passed: found <= bound,
            found: format!("{found:.1}{unit}"),
            expected: format!("at most {bound:.1}{unit}"),
        }
    }

    /// Creates a check that passes when a count is zero; `of` is the number examined.
    #[must_use]
    pub fn none(name: &'static str, found: usize, of: usize, what: &str) -> Self {
        Self {
            name,
            passed: found == 0,
            found: format!("{found} of {of} {what}"),
            expected: "0".to_owned(),
        }
    }

    /// Creates a failed check for something that could not be examined because of an error.
    #[must_use]
    pub fn failed(name: &'static str, error: &dyn std::fmt::Display) -> Self {
        Self {
            name,
            passed: false,
            found: error.to_string(),
            expected: "no error".to_owned(),
        }
    }
}
