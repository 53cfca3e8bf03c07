use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::completion::Completion;
use super::invocation::CallId;
use super::invocation::Invocation;
use super::observation::GenerationSeen;
use super::observation::LeavingSign;
use super::observation::PlannedStop;
use crate::endpoint::EndpointDump;
use crate::endpoint::RunRecord;

/// All that was seen of concurrent runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Calls made.
    pub invocations: BTreeMap<CallId, Invocation>,
    /// Calls ended.
    pub completions: BTreeMap<CallId, Completion>,
    /// Runs at endpoints.
    pub runs: Vec<RunRecord>,
    /// Counters of the endpoints at the end.
    pub endpoints: Vec<EndpointDump>,
    /// Signs that endpoints leave.
    pub leaving_signs: Vec<LeavingSign>,
    /// Stops of processes and endpoints.
    pub planned_stops: Vec<PlannedStop>,
    /// Generations that processes applied, in the order seen.
    pub generations: Vec<GenerationSeen>,
}
