use std::fmt;

use cornelpoint_platform::call::Call;

use super::endpoint::Response;

/// Identifies the process at the other end of a new connection before a call is sent there.
/// An address may pass to another process, a connection can't.
#[derive(Clone, Copy)]
pub(crate) struct PeerCheck<'a> {
    /// Call without effect whose response identifies the process.
    pub(crate) question: &'a Call,
    /// Decides by the response to the question what the process may get.
    pub(crate) admit: &'a dyn Fn(&Response) -> Admission,
}

impl fmt::Debug for PeerCheck<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PeerCheck")
            .field("question", self.question)
            .finish_non_exhaustive()
    }
}

/// What a process may get that has answered a question.
#[derive(Clone, Debug)]
pub(crate) enum Admission {
    /// All calls.
    Intended,
    /// This call instead of the one that was meant for another process.
    Instead(Call),
    /// Nothing.
    Refused,
}

/// The outcome of a call that is meant for one process.
#[derive(Clone, Debug)]
pub(crate) enum CheckedResponse {
    /// The response to the call, or to the one sent instead of it.
    Answered(Response),
    /// The call was not sent. This is the response to the question.
    Refused(Response),
}
