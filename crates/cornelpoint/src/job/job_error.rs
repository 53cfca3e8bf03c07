use std::error::Error;
use std::fmt;

/// Why a job is not accepted as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobError {
    /// The identity is not 16 lower-case hexadecimal digits.
    Id,
    /// A task's identity is malformed.
    TaskId,
    /// The text handed to tasks is too long.
    SpecTooLong {
        /// Its length.
        length_bytes: usize,
    },
    /// There is no step.
    NoSteps,
    /// There are too many steps.
    TooManySteps {
        /// Their number.
        count: usize,
    },
    /// A step has no task or too many.
    Replicas {
        /// The step, from 0.
        step: usize,
        /// Its tasks.
        count: u64,
    },
    /// A step waits for itself, a later step or one that does not exist.
    After {
        /// The step, from 0.
        step: usize,
        /// What it names.
        after: u64,
    },
    /// The schedule has no interval or too many occurrences.
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
