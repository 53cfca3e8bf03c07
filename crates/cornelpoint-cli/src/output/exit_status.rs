/// How a command ended; the value is the exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// A check or an action failed.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A file contains errors.
    Findings = 3,
    /// Another operator made a change in the meantime.
    Conflict = 4,
    /// A process or the platform does not answer.
    NotReachable = 5,
}
