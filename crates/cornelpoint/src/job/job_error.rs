use std::error::Error;
use std::fmt;

/// Why a job or an identifier is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobError {
    /// The job identifier does not consist of 16 lower-case hexadecimal digits.
    Id,
    /// The task identifier is malformed.
    TaskId,
    /// The text passed to tasks is too long.
    SpecTooLong {
        /// Length of the text.
        length_bytes: usize,
    },
    /// The job has no steps.
    NoSteps,
    /// The job has too many steps.
    TooManySteps {
        /// Number of steps.
        count: usize,
    },
    /// A step has no tasks or too many.
    Replicas {
        /// Index of the step, from 0.
        step: usize,
        /// Number of tasks.
        count: u64,
    },
    /// A step depends on itself, on a later step or on one that does not exist.
    After {
        /// Index of the step, from 0.
        step: usize,
        /// Index of the step that it depends on.
        after: u64,
    },
    /// The schedule has too many occurrences.
    Schedule,
}

impl fmt::Display for JobError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id => write!(formatter, "expected 16 lower-case hexadecimal digits"),
            Self::TaskId => write!(formatter, "expected a task as JOB.OCCURRENCE.STEP.INDEX"),
            Self::SpecTooLong { length_bytes } => {
                write!(
                    formatter,
                    "spec has {length_bytes} bytes, at most 4000 are allowed"
                )
            }
            Self::NoSteps => write!(formatter, "expected at least one step"),
            Self::TooManySteps { count } => write!(formatter, "{count} steps are too many"),
            Self::Replicas { step, count } => {
                write!(
                    formatter,
                    "steps[{step}]: {count} tasks are none or too many"
                )
            }
            Self::After { step, after } => {
                write!(
                    formatter,
                    "steps[{step}]: expected earlier steps, found {after}"
                )
            }
            Self::Schedule => write!(formatter, "expected an interval and fewer occurrences"),
        }
    }
}

impl Error for JobError {}
