use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointSettings;

/// Settings of the endpoint stand-in executable, which serves one or more
/// endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointsSettings {
    /// Endpoints to serve, each on its own address.
    pub endpoints: Vec<EndpointSettings>,
}
