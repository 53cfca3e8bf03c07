//! A worker that runs what it is told: fences, leases on its own clock, listed
//! ends, and orders that come late.

use std::collections::BTreeMap;

use cornelpoint::job::TaskId;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::Rejection;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

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
    /// Speed of its clock, in thousandths.
    clock_permille: u64,
    pub(crate) checks_fence: bool,
    fence: u64,
    deadline_clock_ms: u64,
    running: BTreeMap<TaskId, Running>,
    highest_ended: BTreeMap<TaskId, u64>,
    ended: Vec<(RunCompletion, u64)>,
    next_number: u64,
    /// When the last lease ran out.
    lapsed_ms: u64,
}

impl FakeWorker {
    pub(crate) fn new(id: &str, born_ms: u64, clock_permille: u64, checks_fence: bool) -> Self {
        Self {
            id: id.to_owned(),
            born_unix_ms: 1 + born_ms,
            born_ms,
            clock_permille,
            checks_fence,
            fence: 0,
            deadline_clock_ms: 0,
            running: BTreeMap::new(),
            highest_ended: BTreeMap::new(),
            ended: Vec::new(),
            next_number: 1,
            lapsed_ms: 0,
        }
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
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

    /// Ends what is done by now, and everything when the lease has run out.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let over = self
            .running
            .iter()
            .filter(|(_, running)| running.ends_ms <= now_ms);
        let over: Vec<(TaskId, bool)> =
            over.map(|(&task, running)| (task, running.fails)).collect();
        for (task, fails) in over {
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
            self.lapsed_ms = now_ms;
        }
        if self.clock_ms(now_ms) >= self.deadline_clock_ms {
            self.lapsed_ms = now_ms;
        }
    }

    fn end(&mut self, task: TaskId, kind: CompletionKind, now_ms: u64) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        let highest = self.highest_ended.entry(task).or_default();
        *highest = (*highest).max(running.run);
        let end = RunCompletion {
            sequence: self.next_number,
            task,
            run: running.run,
            kind,
            checkpoint: String::new(),
        };
        self.next_number += 1;
        self.ended.push((end, now_ms));
    }

    fn fenced(&mut self, token: u64) -> bool {
        if !self.checks_fence {
            return false;
        }
        let lower = token < self.fence;
        self.fence = self.fence.max(token);
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
        if self.fenced(token) {
            return OrderOutcome::Rejected(Rejection::Fence);
        }
        if deadline_clock_ms <= self.clock_ms(now_ms) {
            return OrderOutcome::Rejected(Rejection::Late);
        }
        self.deadline_clock_ms = self.deadline_clock_ms.max(deadline_clock_ms);
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
            .highest_ended
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
        if self.fenced(token) {
            return OrderOutcome::Rejected(Rejection::Fence);
        }
        let highest = self.highest_ended.entry(task).or_default();
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

    /// A report, or `None` when the token is too low. Also tells which ends
    /// were taken note of for good.
    pub(crate) fn look(
        &mut self,
        now_ms: u64,
        token: u64,
        acknowledged: u64,
        deadline_clock_ms: Option<u64>,
    ) -> Option<(WorkerReport, Vec<RunCompletion>)> {
        if self.fenced(token) {
            return None;
        }
        let lapsed_ms = self.lapsed_ms;
        let noted = self
            .ended
            .iter()
            .filter(|(end, ended_ms)| end.sequence <= acknowledged && *ended_ms > lapsed_ms);
        let noted: Vec<RunCompletion> = noted.map(|(end, _)| end.clone()).collect();
        self.ended.retain(|(end, _)| end.sequence > acknowledged);
        if let Some(deadline) = deadline_clock_ms {
            self.deadline_clock_ms = self.deadline_clock_ms.max(deadline);
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
            completions: self.ended.iter().map(|(end, _)| end.clone()).collect(),
        };
        Some((report, noted))
    }
}
