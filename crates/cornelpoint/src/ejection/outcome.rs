/// How a request at an endpoint ended, as far as that concerns the health of
/// the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The endpoint answered completely and without a server error.
    Succeeded,
    /// The endpoint answered with a server error, truncated its answer, broke
    /// the connection, or could not be reached in time.
    Failed,
    /// No complete answer arrived by the deadline of the request.
    TimedOut,
    /// The request was withdrawn, or not started for lack of a slot. This says
    /// nothing about the health of the endpoint.
    Withdrawn,
    /// The endpoint refused the connection.
    Refused,
    /// The endpoint announced that it is leaving.
    Leaving,
}
