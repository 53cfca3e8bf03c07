use crate::job::JobId;

/// What admission needs to know of a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobOffer<'a> {
    /// Identifier of the job.
    pub id: JobId,
    /// Queue through which it came.
    pub queue: &'a str,
    /// Tenant that sent it.
    pub tenant: Option<&'a str>,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Expected work, in core-milliseconds.
    pub work_core_ms: u64,
    /// Expected work by the resource of which it takes the largest part of the pool,
    /// converted to core-milliseconds.
    pub dominant_core_ms: u64,
    /// Time that the job's objective allows beyond its critical path.
    pub slack_ms: u64,
    /// Time from the first submission to the objective.
    pub objective_ms: u64,
}
