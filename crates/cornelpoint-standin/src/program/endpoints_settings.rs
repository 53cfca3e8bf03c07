use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointSettings;

/// Settings of the endpoint program, which serves one endpoint or many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointsSettings {
    /// The endpoints that the program serves.
    pub endpoints: Vec<EndpointSettings>,
}
