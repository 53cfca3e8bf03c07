use serde::Deserialize;
use serde::Serialize;
use slog::Level;

/// Output format of logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable lines.
    Terminal,
}

/// Minimum severity of the records that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// All records except traces.
    Debug,
    /// Errors only.
    Error,
    /// Changes of state, and more severe records.
    Info,
    /// All records.
    Trace,
    /// Records that need attention, and errors.
    Warning,
}

impl LogLevel {
    /// The corresponding `slog` level.
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
    /// Output format.
    pub form: LogFormat,
    /// Minimum severity of the records that are written.
    pub level: LogLevel,
    /// Capacity of the queue of records to write; further records are dropped.
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
