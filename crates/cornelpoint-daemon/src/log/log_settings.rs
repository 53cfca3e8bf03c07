use serde::Deserialize;
use serde::Serialize;
use slog::Level;

/// How logs are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Lines for people.
    Terminal,
}

/// The least important records that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// All but traces.
    Debug,
    /// Errors only.
    Error,
    /// What changed.
    Info,
    /// All.
    Trace,
    /// What needs attention.
    Warning,
}

impl LogLevel {
    /// The level as `slog` knows it.
    pub(super) fn level(self) -> Level {
        match self {
            Self::Debug => Level::Debug,
            Self::Error => Level::Error,
            Self::Info => Level::Info,
            Self::Trace => Level::Trace,
            Self::Warning => Level::Warning,
        }
    }
}

/// Settings of the logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// How logs are written.
    pub form: LogFormat,
    /// The least important records that are written.
    pub level: LogLevel,
    /// Records that wait to be written at most.
    pub queue_length: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            form: LogFormat::Terminal,
            level: LogLevel::Info,
            queue_length: 1024,
        }
    }
}
