use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::completion::Completion;
use super::invocation::CallId;
use super::invocation::Invocation;
use super::observation::GenerationSeen;
use super::observation::LeavingNotice;
use super::observation::PlannedStop;
use crate::endpoint::EndpointDump;
use crate::endpoint::RunRecord;

/// Everything observed while requests ran concurrently.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Calls that were started.
    pub invocations: BTreeMap<CallId, Invocation>,
    /// Calls that completed.
    pub completions: BTreeMap<CallId, Completion>,
    /// Runs recorded by the endpoints.
    pub runs: Vec<RunRecord>,
    /// Counters of the endpoints at the end of the history.
    pub endpoints: Vec<EndpointDump>,
    /// Notices that endpoints are leaving.
    #[serde(rename = "leaving_signs")]
    pub leaving_notices: Vec<LeavingNotice>,
    /// Planned stops of gateways and endpoints.
    pub planned_stops: Vec<PlannedStop>,
    /// Generations applied by processes, in the order observed.
    pub generations: Vec<GenerationSeen>,
}
