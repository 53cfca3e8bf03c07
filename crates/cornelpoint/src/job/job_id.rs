use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::job_error::JobError;

const ID_DIGITS: usize = 16;

/// A job's identifier: 16 lower-case hexadecimal digits, chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(u64);

impl JobId {
    /// Returns the identifier as a number.
    #[must_use]
    pub fn value(self) -> u64 {
        self.0
    }
}

impl FromStr for JobId {
    type Err = JobError;

    /// Parses an identifier.
    ///
    /// # Errors
    ///
    /// Returns [`JobError::Id`] unless `text` consists of 16 lower-case
    /// hexadecimal digits.
    ///
    /// ```
    /// use cornelpoint::job::JobId;
    ///
    /// let id: JobId = "5c0e7a21d94b36f8".parse()?;
    /// assert_eq!(id.to_string(), "5c0e7a21d94b36f8");
    /// assert!("5C0E".parse::<JobId>().is_err());
    /// # Ok::<(), cornelpoint::job::JobError>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, JobError> {
        let is_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != ID_DIGITS || !text.bytes().all(is_hex_digit) {
            return Err(JobError::Id);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobError::Id)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
