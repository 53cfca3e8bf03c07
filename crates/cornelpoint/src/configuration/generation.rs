use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of an accepted configuration; each accept increases it by 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the following generation.
    ///
    /// ```
    /// use cornelpoint::configuration::Generation;
    ///
    /// assert_eq!(Generation(4).next(), Generation(5));
    /// ```
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
