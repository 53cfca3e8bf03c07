/// How a command ended, as its exit code says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// A check or an action failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// There are findings in a file.
    Findings = 3,
    /// Another operator was first.
    Conflict = 4,
    /// A process or the platform does not answer.
    NotReachable = 5,
}
