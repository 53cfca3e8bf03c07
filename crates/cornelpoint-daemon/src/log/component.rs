use std::fmt;

/// A part of a program that writes logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Component {
    /// Control API: dumps, health checks, operators' commands.
    Control,
    /// Edge towards callers.
    Edge,
    /// Client towards endpoints.
    Endpoints,
    /// Request path of a gateway.
    Gateway,
    /// Membership, slots and configuration of a zone.
    Keeper,
    /// Start and stop of the process.
    Main,
    /// Metrics.
    Metrics,
    /// Capacity, moves and maintenance.
    Planner,
    /// Client towards the platform.
    Platform,
}

impl Component {
    /// The prefix of the part's records, without its colon.
    ///
    /// ```
    /// use cornelpoint_daemon::log::Component;
    ///
    /// assert_eq!(Component::Gateway.as_str(), "gateway");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Edge => "edge",
            Self::Endpoints => "endpoints",
            Self::Gateway => "gateway",
            Self::Keeper => "keeper",
            Self::Main => "main",
            Self::Metrics => "metrics",
            Self::Planner => "planner",
            Self::Platform => "platform",
        }
    }
}

impl fmt::Display for Component {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
