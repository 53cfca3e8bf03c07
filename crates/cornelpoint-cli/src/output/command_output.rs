use cornelpoint::finding::Findings;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use super::code::Code;
use crate::settings::UsageError;

/// What a command has to say.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandOutput {
    /// How the command ended.
    pub code: Code,
    /// The answer as text, without a line break at its end.
    pub text: String,
    /// The answer as data.
    pub data: Value,
}

impl CommandOutput {
    /// An answer whose data is the value itself.
    #[must_use]
    pub fn new<T: Serialize>(code: Code, text: impl Into<String>, data: &T) -> Self {
        Self {
            code,
            text: text.into(),
            data: serde_json::to_value(data).unwrap_or(Value::Null),
        }
    }

    /// Findings in files.
    #[must_use]
    pub fn findings(findings: &Findings) -> Self {
        let count = findings.as_slice().len();
        let text = format!("{findings}\n{count} found");
        Self::new(Code::Findings, text, &json!({ "findings": findings }))
    }

    /// A command that failed.
    #[must_use]
    pub fn failed(code: Code, text: impl Into<String>) -> Self {
        let text = text.into();
        let data = json!({ "error": text });
        Self::new(code, text, &data)
    }

    /// A command line that is wrong.
    #[must_use]
    pub fn usage(error: &UsageError) -> Self {
        Self::failed(Code::Usage, error.to_string())
    }
}
