use std::fmt;

/// Component of a program that writes log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Component {
    /// Control API: dumps, health checks, operators' commands.
    Control,
    /// HTTP server for callers.
    Edge,
    /// Client of endpoints.
    Endpoints,
    /// Request path of a gateway.
    Gateway,
    /// Membership, slots and configuration of an availability zone.
    Keeper,
    /// Start and stop of the process.
    Main,
    /// Metrics.
    Metrics,
    /// Capacity, moves and maintenance.
    Planner,
    /// Client of the platform.
    Platform,
}

impl Component {
    /// Prefix of the component's records, without the colon.
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
