use serde::Deserialize;
use serde::Serialize;

/// Faults of the platform stand-in; all are off by default.
///
/// Control paths are not subject to faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every request is answered 503 and has no effect.
    pub down: bool,
    /// Delay before each request takes effect.
    pub slow_ms: u64,
    /// Delay between the effect of a request and its answer.
    pub late_answer_ms: u64,
    /// One transaction in this many is processed, but answered 504; 0 for none.
    pub lose_answer_every: u32,
    /// Share of transactions that are processed, but answered 504, in percent.
    pub lose_answer_percent: u8,
    /// The instance list is not updated while the fault lasts.
    pub instance_list_frozen: bool,
}
