use cornelpoint::finding::Findings;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use super::exit_status::ExitStatus;
use crate::settings::UsageError;

/// Output of a command, as text and as data.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// How the command ended.
    pub exit_status: ExitStatus,
    /// Text, without a line break at its end.
    pub text: String,
    /// Data that is printed with `--json`.
    pub data: Value,
}

impl CommandOutput {
    /// Creates an output whose data is the value itself.
    #[must_use]
    pub fn new<T: Serialize>(exit_status: ExitStatus, text: impl Into<String>, data: &T) -> Self {
        Self {
            exit_status,
            text: text.into(),
            data: serde_json::to_value(data).unwrap_or(Value::Null),
        }
    }

    /// Creates the output for findings in files.
    #[must_use]
    pub fn findings(findings: &Findings) -> Self {
        let count = findings.as_slice().len();
        let text = format!("{findings}\n{count} found");
        Self::new(ExitStatus::Findings, text, &json!({ "findings": findings }))
    }

    /// Creates the output of a failed command.
    #[must_use]
    pub fn failed(exit_status: ExitStatus, text: impl Into<String>) -> Self {
        let text = text.into();
        let data = json!({ "error": text });
        Self::new(exit_status, text, &data)
    }

    /// Creates the output for an invalid command line.
    #[must_use]
    pub fn usage(error: &UsageError) -> Self {
        Self::failed(ExitStatus::Usage, error.to_string())
    }
}
