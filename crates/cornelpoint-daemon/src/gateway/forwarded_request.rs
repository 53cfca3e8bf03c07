use std::time::Instant;

use cornelpoint::configuration::Service;

use super::request_options::DEADLINE_HEADER;
use super::request_options::RequestOptions;
use crate::caller_edge::CallerRequest;
use crate::caller_edge::Header;
use crate::endpoint_client::OutgoingRequest;

/// A caller's request in the form that is forwarded to endpoints.
pub(super) struct ForwardedRequest<'a> {
    pub(super) target: String,
    pub(super) request_id: String,
    pub(super) service: &'a Service,
    pub(super) request: &'a CallerRequest,
    pub(super) options: &'a RequestOptions,
}

impl ForwardedRequest<'_> {
    /// The caller's headers without its request id, and with the remaining time
    /// as the deadline.
    pub(super) fn headers(&self) -> Vec<Header> {
        let left = self
            .options
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let replaced = [DEADLINE_HEADER, OutgoingRequest::ID_HEADER];
        self.request
            .head
            .headers
            .iter()
            .filter(|header| !replaced.contains(&header.name.as_str()))
            .cloned()
            .chain([Header::new(DEADLINE_HEADER, &left.to_string())])
            .collect()
    }
}
