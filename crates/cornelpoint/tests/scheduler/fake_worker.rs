//! Simulated worker that checks fencing tokens, ends its runs when the lease
//! expires by its own clock, lists its completions and may receive orders late.

use std::collections::BTreeMap;

use cornelpoint::job::TaskId;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::Completeness;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::Rejection;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

/// Completions in one report at most. The platform's limit is larger; this one is
/// reached in most schedules.
const MAX_COMPLETIONS: usize = 2;
/// Longest lease that a worker accepts.
const MAX_LEASE_MS: u64 = 6000;

#[derive(Clone, Debug)]
struct Running {
    run: u64,
    ends_ms: u64,
    fails: bool,
    cpu_millicores: u64,
}

#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) id: String,
    pub(crate) born_unix_ms: u64,
    born_ms: u64,
    /// Rate of its clock, in thousandths of real time.
    clock_permille: u64,
    pub(crate) checks_fencing_token: bool,
    highest_token: u64,
    deadline_clock_ms: u64,
    running: BTreeMap<TaskId, Running>,
    highest_ended_run: BTreeMap<TaskId, u64>,
    unacknowledged: Vec<(RunCompletion, u64)>,
    next_sequence: u64,
    /// When the last lease expired.
    lease_expired_ms: u64,
}

impl FakeWorker {
    pub(crate) fn new(
        id: &str,
        born_ms: u64,
        clock_permille: u64,
        checks_fencing_token: bool,
    ) -> Self {
        Self {
            id: id.to_owned(),
            born_unix_ms: 1 + born_ms,
            born_ms,
            clock_permille,
            checks_fencing_token,
            highest_token: 0,
            deadline_clock_ms: 0,
            running: BTreeMap::new(),
            highest_ended_run: BTreeMap::new(),
            unacknowledged: Vec::new(),
            next_sequence: 1,
            lease_expired_ms: 0,
        }
    }

    pub(crate) fn clock_ms(&self, now_ms: u64) -> u64 {
        1000 + (now_ms - self.born_ms) * self.clock_permille / 1000
    }

    pub(crate) fn runs(&self, task: TaskId) -> bool {
        self.running.contains_key(&task)
    }

    pub(crate) fn used_millicores(&self) -> u64 {
        self.running
            .values()
            .map(|running| running.cpu_millicores)
            .sum()
    }

    /// Ends the runs that are finished by now, and all runs if the lease has
    /// expired.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let finished = self
            .running
            .iter()
            .filter(|(_, running)| running.ends_ms <= now_ms);
        let finished: Vec<(TaskId, bool)> = finished
            .map(|(&task, running)| (task, running.fails))
            .collect();
        for (task, fails) in finished {
            let kind = if fails {
                CompletionKind::Failed
            } else {
                CompletionKind::Done
            };
            self.end(task, kind, now_ms);
        }
        if !self.running.is_empty() && self.clock_ms(now_ms) >= self.deadline_clock_ms {
            let tasks: Vec<TaskId> = self.running.keys().copied().collect();
            for task in tasks {
                self.end(task, CompletionKind::Lapsed, now_ms);
            }
            self.lease_expired_ms = now_ms;
        }
        if self.clock_ms(now_ms) >= self.deadline_clock_ms {
            self.lease_expired_ms = now_ms;
        }
    }

    fn end(&mut self, task: TaskId, kind: CompletionKind, now_ms: u64) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        let highest = self.highest_ended_run.entry(task).or_default();
        *highest = (*highest).max(running.run);
        let completion = RunCompletion {
            sequence: self.next_sequence,
            task,
            run: running.run,
            kind,
            checkpoint: String::new(),
        };
        self.next_sequence += 1;
        self.unacknowledged.push((completion, now_ms));
    }

    fn extend_lease(&mut self, now_ms: u64, deadline_clock_ms: u64) {
        let longest = self.clock_ms(now_ms) + MAX_LEASE_MS;
        self.deadline_clock_ms = self.deadline_clock_ms.max(deadline_clock_ms.min(longest));
    }

    fn rejects_token(&mut self, token: u64) -> bool {
        if !self.checks_fencing_token {
            return false;
        }
        let lower = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        lower
    }

    pub(crate) fn start(
        &mut self,
        now_ms: u64,
        token: u64,
        order: (TaskId, u64, u64),
        work: (u64, bool, u64),
    ) -> OrderOutcome {
        let (task, run, deadline_clock_ms) = order;
        let (work_ms, fails, cpu_millicores) = work;
        if self.rejects_token(token) {
            return OrderOutcome::Rejected(Rejection::Fence);
        }
        if deadline_clock_ms <= self.clock_ms(now_ms) {
            return OrderOutcome::Rejected(Rejection::Late);
        }
        self.extend_lease(now_ms, deadline_clock_ms);
        if self
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return OrderOutcome::Done {
                clock_ms: self.clock_ms(now_ms),
            };
        }
        if self
            .highest_ended_run
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return OrderOutcome::Rejected(Rejection::OldRun);
        }
        self.running.insert(
            task,
            Running {
                run,
                ends_ms: now_ms + work_ms,
                fails,
                cpu_millicores,
            },
        );
        OrderOutcome::Done {
            clock_ms: self.clock_ms(now_ms),
        }
    }

    pub(crate) fn stop(&mut self, now_ms: u64, token: u64, task: TaskId, run: u64) -> OrderOutcome {
        if self.rejects_token(token) {
            return OrderOutcome::Rejected(Rejection::Fence);
        }
        let highest = self.highest_ended_run.entry(task).or_default();
        *highest = (*highest).max(run);
        if self
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            self.end(task, CompletionKind::Stopped, now_ms);
        }
        OrderOutcome::Done {
            clock_ms: self.clock_ms(now_ms),
        }
    }

    /// Returns a report and the newly acknowledged completions of runs that
    /// ended after the last lease expiry, with their times, or `None` if the fencing token is too
    /// low.
    pub(crate) fn renew_lease(
        &mut self,
        now_ms: u64,
        token: u64,
        acknowledged: u64,
        deadline_clock_ms: Option<u64>,
    ) -> Option<(WorkerReport, Vec<(RunCompletion, u64)>)> {
        if self.rejects_token(token) {
            return None;
        }
        let lease_expired_ms = self.lease_expired_ms;
        let acknowledged_completions =
            self.unacknowledged.iter().filter(|(completion, ended_ms)| {
                completion.sequence <= acknowledged && *ended_ms > lease_expired_ms
            });
        let acknowledged_completions = acknowledged_completions.cloned().collect();
        self.unacknowledged
            .retain(|(completion, _)| completion.sequence > acknowledged);
        if let Some(deadline) = deadline_clock_ms {
            self.extend_lease(now_ms, deadline);
        }
        let running = self.running.iter().map(|(&task, running)| ActiveRun {
            task,
            run: running.run,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: 0,
        });
        let report = WorkerReport {
            born_unix_ms: self.born_unix_ms,
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            completions: self
                .unacknowledged
                .iter()
                .take(MAX_COMPLETIONS)
                .map(|(completion, _)| completion.clone())
                .collect(),
            completeness: if self.unacknowledged.len() < MAX_COMPLETIONS {
                Completeness::Complete
            } else {
                Completeness::MoreCompletions
            },
        };
        Some((report, acknowledged_completions))
    }
}
