use super::connection_table::ConnectionId;

/// A connection that has to be closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// The connection; it no longer counts.
    pub id: ConnectionId,
    /// Why this one was chosen.
    pub reason: CloseReason,
}

/// Why a connection makes room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has no request, or only a part of a head.
    Idle,
    /// Its body or its answer makes no progress.
    Stalled,
    /// Its body arrives more slowly than the one that needs room.
    Slow,
    /// Its body is much larger than the one that needs room.
    Large,
}

impl CloseReason {
    /// Returns the reason as written in metrics and logs.
    ///
    /// ```
    /// use cornelpoint::connection_budget::CloseReason;
    ///
    /// assert_eq!(CloseReason::Stalled.as_str(), "stalled_closed");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle_closed",
            Self::Stalled => "stalled_closed",
            Self::Slow => "slow_closed",
            Self::Large => "large_closed",
        }
    }
}
