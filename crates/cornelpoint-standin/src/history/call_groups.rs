use std::collections::BTreeMap;

use super::completion::Completion;
use super::completion::Outcome;
use super::history_record::History;
use super::invocation::CallId;
use super::invocation::Invocation;
use crate::endpoint::RunRecord;

/// A call with its completion, if it completed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call<'a> {
    pub(super) id: CallId,
    pub(super) invocation: &'a Invocation,
    pub(super) completion: Option<&'a Completion>,
}

impl Call<'_> {
    pub(super) fn outcome(&self) -> Option<&Outcome> {
        self.completion.map(|completion| &completion.outcome)
    }
}

/// The calls and the runs of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Group<'a> {
    pub(super) calls: Vec<Call<'a>>,
    pub(super) runs: Vec<&'a RunRecord>,
}

/// The calls and runs of a history, grouped by request.
#[derive(Debug)]
pub(super) struct CallGroups<'a> {
    /// Groups by idempotency key, or by the request's identity if there is no
    /// key.
    pub(super) groups: BTreeMap<&'a str, Group<'a>>,
}

impl<'a> CallGroups<'a> {
    pub(super) fn new(history: &'a History) -> Self {
        let mut groups: BTreeMap<&str, Group<'_>> = BTreeMap::new();
        let mut names: BTreeMap<&str, &str> = BTreeMap::new();
        for (id, invocation) in &history.invocations {
            let name = group_name(invocation);
            names.insert(&invocation.request, name);
            groups.entry(name).or_default().calls.push(Call {
                id: *id,
                invocation,
                completion: history.completions.get(id),
            });
        }
        for run in &history.runs {
            let name = run.request.as_deref().and_then(|r| names.get(r));
            if let Some(group) = name.and_then(|name| groups.get_mut(name)) {
                group.runs.push(run);
            }
        }
        Self { groups }
    }
}

fn group_name(invocation: &Invocation) -> &str {
    invocation
        .idempotency_key
        .as_deref()
        .unwrap_or(&invocation.request)
}
