//! The HTTP client towards the platform and other processes of the system.

use std::time::Duration;

use ureq::Agent;

/// An agent whose every call ends within the timeout, which follows no
/// redirects and takes no status as an error.
pub(crate) fn http_agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_redirects(0)
        .build()
        .new_agent()
}
