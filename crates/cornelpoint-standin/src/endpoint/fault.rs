use serde::Deserialize;
use serde::Serialize;

/// What an endpoint does wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum EndpointFault {
    /// Answers 500 at once; the run is recorded.
    FailFast,
    /// Runs the request and never answers; the run ends when the connection
    /// closes.
    Hang,
    /// Takes longer to run.
    Slow {
        /// Factor on the service time.
        factor: u32,
    },
    /// Takes no connections: refused by the operating system when the scope
    /// is until cleared, closed at once after the accept otherwise.
    RefuseConnections,
    /// Closes the connection after reading the request, without running it.
    CloseBeforeRun,
    /// Runs the request and closes the connection without an answer.
    CloseAfterRun,
    /// Closes the connection in the middle of the answer.
    CutAnswer {
        /// Bytes of the answer that are sent, its head included.
        after_bytes: usize,
    },
    /// States more body than it sends, and keeps the connection open.
    LengthTooLarge {
        /// Bytes stated in excess.
        excess_bytes: usize,
    },
    /// States less body than it sends.
    LengthTooSmall {
        /// Bytes sent in excess.
        excess_bytes: usize,
    },
    /// Sends the answer byte by byte.
    Drip {
        /// Pause after each byte.
        pause_ms: u64,
    },
    /// Sends the answer some time after the run.
    LateAnswer {
        /// Delay of the answer.
        late_ms: u64,
    },
    /// Sends the answer twice.
    AnswerTwice,
    /// Sends the answer of another request first, then its own.
    StaleAnswerFirst,
    /// Sends the answer of another request only.
    WrongAnswer,
    /// Sends bytes that are no HTTP.
    Garbage,
    /// Sends an answer with a header of this size.
    HugeHeaders {
        /// Size of the header's value.
        header_bytes: usize,
    },
    /// Closes the connection some time after the answer, while it is idle.
    CloseIdle {
        /// Time from the answer to the close.
        after_ms: u64,
    },
    /// Stops doing anything for a while, on all connections.
    Freeze {
        /// Length of the freeze.
        freeze_ms: u64,
    },
}

/// Which requests a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultScope {
    /// The next requests.
    Next {
        /// How many.
        requests: u32,
    },
    /// A share of the requests, drawn by the endpoint's seed.
    Share {
        /// Share struck.
        percent: u8,
    },
    /// All requests until the rule is taken away.
    UntilCleared,
}

/// A fault and the requests it strikes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// What goes wrong.
    pub fault: EndpointFault,
    /// Which requests it strikes.
    pub scope: FaultScope,
}
