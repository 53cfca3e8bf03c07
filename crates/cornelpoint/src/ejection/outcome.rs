/// How a request at an endpoint ended, as far as it tells of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A whole answer came that does not blame the endpoint.
    Succeeded,
    /// The endpoint answered with a server error, cut its answer, or broke
    /// the connection.
    Failed,
    /// No whole answer came by the request's deadline.
    TimedOut,
    /// The request was withdrawn, or not started for want of a slot; this
    /// tells nothing of the endpoint.
    Withdrawn,
    /// The endpoint refused the connection.
    Refused,
    /// The endpoint said that it is leaving.
    Leaving,
}
