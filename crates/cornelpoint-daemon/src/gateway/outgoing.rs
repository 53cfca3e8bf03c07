use std::time::Instant;

use cornelpoint::configuration::Service;

use super::request_plan::DEADLINE_HEADER;
use super::request_plan::RequestPlan;
use crate::caller_edge::CallerRequest;
use crate::caller_edge::Header;
use crate::endpoint_client::OutgoingRequest;

/// One request as it goes out to endpoints.
pub(super) struct Outgoing<'a> {
    pub(super) target: String,
    pub(super) request_id: String,
    pub(super) service: &'a Service,
    pub(super) request: &'a CallerRequest,
    pub(super) plan: &'a RequestPlan,
}

impl Outgoing<'_> {
    /// The caller's headers, with the time that is left as the deadline.
    pub(super) fn headers(&self) -> Vec<Header> {
        let left = self
            .plan
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let own = [DEADLINE_HEADER, OutgoingRequest::ID_HEADER];
        self.request
            .head
            .headers
            .iter()
            .filter(|header| !own.contains(&header.name.as_str()))
            .cloned()
            .chain([Header::new(DEADLINE_HEADER, &left.to_string())])
            .collect()
    }
}
