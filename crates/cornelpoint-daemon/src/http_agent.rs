//! HTTP client for the platform and other processes of the system.

use std::time::Duration;

use ureq::Agent;

/// Creates an agent whose calls end within the timeout. It follows no redirects
/// and treats no status as an error.
pub(crate) fn http_agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        .build()
        .new_agent()
}
