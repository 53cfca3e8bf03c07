use serde::Deserialize;
use serde::Serialize;

/// Asks a peer how long ago the store confirmed its configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ConfigurationRequest {
    /// Version of the configuration that the asking process applies; 0 for none.
    pub(crate) version: u64,
}

/// The answer to a [`ConfigurationRequest`].
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct ConfigurationResponse {
    /// Version of the configuration that the answering process applies; 0 for none.
    pub(crate) version: u64,
    /// Time since a read of its own that confirmed that version was sent; `None` if it is
    /// not confirmed.
    pub(crate) age_ms: Option<u64>,
    /// The configuration, as the operator wrote it, if it is newer than that of the asking
    /// process. It holds keys, so that this type has no `Debug`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) configuration: Option<String>,
}
