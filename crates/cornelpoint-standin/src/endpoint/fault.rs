use serde::Deserialize;
use serde::Serialize;

/// A fault of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum EndpointFault {
    /// Answers 500 at once; the run is recorded.
    FailFast,
    /// Runs the request and never answers; the run ends when the connection
    /// closes.
    Hang,
    /// Takes longer to run the request.
    Slow {
        /// Multiplier of the service time.
        factor: u32,
    },
    /// Accepts no connections: the operating system refuses them if the scope
    /// is `UntilCleared`; otherwise they are closed right after accept.
    RefuseConnections,
    /// Closes the connection after reading the request, without running it.
    CloseBeforeRun,
    /// Runs the request and closes the connection without an answer.
    CloseAfterRun,
    /// Closes the connection in the middle of the answer.
    CutAnswer {
        /// Bytes of the answer that are sent, including the head.
        after_bytes: usize,
    },
    /// Announces a longer body than it sends, and keeps the connection open.
    LengthTooLarge {
        /// Bytes announced in excess.
        excess_bytes: usize,
    },
    /// Announces a shorter body than it sends.
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
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Sends an answer with a very large header.
    HugeHeaders {
        /// Size of the header's value.
        header_bytes: usize,
    },
    /// Closes the connection some time after the answer, while it is idle.
    CloseIdle {
        /// Time from the answer to the close.
        after_ms: u64,
    },
    /// Stops all work for a while, on all connections.
    Freeze {
        /// Duration of the freeze.
        freeze_ms: u64,
    },
}

/// Which requests a fault applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultScope {
    /// The next requests.
    Next {
        /// Number of requests.
        requests: u32,
    },
    /// A random share of the requests, drawn from the endpoint's seed.
    Share {
        /// Share of the requests, in percent.
        percent: u8,
    },
    /// All requests until the rule is removed.
    UntilCleared,
}

/// A fault and the requests that it applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// The fault.
    pub fault: EndpointFault,
    /// Which requests it applies to.
    pub scope: FaultScope,
}
