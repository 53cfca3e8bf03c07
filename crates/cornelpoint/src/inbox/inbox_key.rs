use std::fmt;

use crate::job::JobId;

const SUBMIT_PREFIX: &str = "submit/";
const CANCEL_PREFIX: &str = "cancel/";

/// Key of a row in a pool's inbox.
///
/// ```
/// use cornelpoint::inbox::InboxKey;
/// use cornelpoint::job::JobId;
///
/// let job: JobId = "5c0e7a21d94b36f8".parse()?;
/// assert_eq!(InboxKey::Submit(job).to_string(), "submit/5c0e7a21d94b36f8");
/// assert_eq!(InboxKey::parse("cancel/5c0e7a21d94b36f8"), Some(InboxKey::Cancel(job)));
/// assert_eq!(InboxKey::parse("cancel/5c0e"), None);
/// # Ok::<(), cornelpoint::job::JobError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InboxKey {
    /// A submitted job.
    Submit(JobId),
    /// The cancellation of a job.
    Cancel(JobId),
    /// The same row, unless the pool has the job.
    Withdraw(JobId),
}

impl InboxKey {
    /// Parses a row's key; `None` if it is not one of an inbox.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(id) = key.strip_prefix(SUBMIT_PREFIX) {
            return id.parse().ok().map(Self::Submit);
        }
        let id = key.strip_prefix(CANCEL_PREFIX)?;
        id.parse().ok().map(Self::Cancel)
    }
}

impl fmt::Display for InboxKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Submit(job) => write!(formatter, "{SUBMIT_PREFIX}{job}"),
            Self::Cancel(job) | Self::Withdraw(job) => write!(formatter, "{CANCEL_PREFIX}{job}"),
        }
    }
}
