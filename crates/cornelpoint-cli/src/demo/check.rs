use serde::Serialize;

/// One check with its figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// What is checked.
    pub name: &'static str,
    /// Whether it holds.
    pub passed: bool,
    /// The figure found, in words.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl Check {
    /// A check that holds when a figure is at least a bound.
    #[must_use]
    pub fn at_least(name: &'static str, found: f64, bound: f64, unit: &str) -> Self {
        Self {
            name,
            passed: found >= bound,
            found: format!("{found:.1}{unit}"),
            expected: format!("at least {bound:.1}{unit}"),
        }
    }

    /// A check that holds when a figure is at most a bound.
    #[must_use]
    pub fn at_most(name: &'static str, found: f64, bound: f64, unit: &str) -> Self {
        Self {
            name,
            passed: found <= bound,
            found: format!("{found:.1}{unit}"),
            expected: format!("at most {bound:.1}{unit}"),
        }
    }

    /// A check that holds when nothing was counted.
    #[must_use]
    pub fn none(name: &'static str, found: usize, of: usize, what: &str) -> Self {
        Self {
            name,
            passed: found == 0,
            found: format!("{found} of {of} {what}"),
            expected: "0".to_owned(),
        }
    }

    /// A check that could not be made.
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
