//! Tasks that last, while workers are vacated or busy with short tasks.

use std::collections::BTreeSet;

use cornelpoint::job::RawStep;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::ready_scheduler;
use crate::support::step;
use crate::support::store_batches;

const INTERVAL_MS: u64 = 100;
/// Job whose tasks last.
const LASTING: u64 = 1;
/// Duration of the other tasks.
const SHORT_MS: u64 = 900;

/// A run on a worker, with the time of its end if it is short or being stopped.
struct ActiveTask {
    worker: IncarnationIndex,
    task: TaskId,
    run: u64,
    ends_ms: Option<u64>,
}

/// A scheduler whose workers carry out its orders at once; stops take an interval.
struct World {
    scheduler: PoolScheduler,
    active: Vec<ActiveTask>,
    completions: Vec<(IncarnationIndex, RunCompletion)>,
    sequences: Vec<u64>,
    now_ms: u64,
    /// Time between the end of a run and the next one of its task, by task.
    stopped: Vec<(TaskId, u64)>,
    longest_away_ms: u64,
}

impl World {
    fn new(workers: &[&str]) -> Self {
        Self {
            scheduler: ready_scheduler(workers),
            active: Vec::new(),
            completions: Vec::new(),
            sequences: vec![0; workers.len()],
            now_ms: 100,
            stopped: Vec::new(),
            longest_away_ms: 0,
        }
    }

    fn accept(&mut self, number: u64, raw: RawStep) {
        let (record, spec) = job(vec![raw]);
        let now = at(self.now_ms);
        self.scheduler
            .submit_from_inbox(job_id(number), record, spec, now);
    }

    fn runs_of(&self, number: u64) -> usize {
        let runs = self.active.iter();
        runs.filter(|active| active.task.step.job == job_id(number) && active.ends_ms.is_none())
            .count()
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let ended = |active: &ActiveTask| active.ends_ms.is_some_and(|ends_ms| ends_ms <= now_ms);
        let (over, active) = std::mem::take(&mut self.active)
            .into_iter()
            .partition(ended);
        self.active = active;
        let over: Vec<ActiveTask> = over;
        for run in over {
            let sequence = &mut self.sequences[run.worker as usize];
            *sequence += 1;
            let kind = if run.task.step.job == job_id(LASTING) {
                self.stopped.push((run.task, now_ms));
                CompletionKind::Stopped
            } else {
                CompletionKind::Done
            };
            let completion = RunCompletion {
                sequence: *sequence,
                task: run.task,
                run: run.run,
                kind,
                checkpoint: String::new(),
            };
            self.completions.push((run.worker, completion));
        }
    }

    fn report(&self, worker: IncarnationIndex) -> WorkerReport {
        let active = self.active.iter().filter(|active| active.worker == worker);
        let running = active.map(|active| ActiveRun {
            task: active.task,
            run: active.run,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: 0,
        });
        let completions = self.completions.iter();
        let completions = completions.filter(|(of, _)| *of == worker);
        WorkerReport {
            born_unix_ms: 5,
            clock_ms: self.now_ms + 1000,
            running: running.collect(),
            completions: completions
                .map(|(_, completion)| completion.clone())
                .collect(),
            ..WorkerReport::default()
        }
    }

    fn carry_out(&mut self, action: &Action) {
        let now = at(self.now_ms);
        let done = OrderOutcome::Done {
            clock_ms: self.now_ms + 1000,
        };
        match *action {
            Action::Start {
                incarnation,
                task,
                run,
                ..
            } => {
                let is_short = task.step.job != job_id(LASTING);
                self.active.push(ActiveTask {
                    worker: incarnation,
                    task,
                    run,
                    ends_ms: is_short.then_some(self.now_ms + SHORT_MS),
                });
                if let Some(index) = self.stopped.iter().position(|(of, _)| *of == task) {
                    let (_, since_ms) = self.stopped.remove(index);
                    self.longest_away_ms = self.longest_away_ms.max(self.now_ms - since_ms);
                }
                self.scheduler
                    .start_replied(incarnation, task, run, done, now);
            }
            Action::Stop {
                incarnation,
                task,
                run,
            } => {
                for active in &mut self.active {
                    if active.task == task && active.run == run {
                        active.ends_ms = Some(self.now_ms + INTERVAL_MS);
                    }
                }
                self.scheduler
                    .stop_replied(incarnation, task, run, done, now);
            }
            Action::RenewLease {
                incarnation,
                acknowledged,
                ..
            } => {
                self.completions.retain(|(worker, completion)| {
                    *worker != incarnation || completion.sequence > acknowledged
                });
                let report = self.report(incarnation);
                self.scheduler.renewal_replied(incarnation, Ok(report), now);
            }
            Action::Pace { .. } | Action::RequestAdvice { .. } => {}
        }
    }

    /// Lets time pass to the next interval.
    fn advance(&mut self) {
        self.now_ms += INTERVAL_MS;
        self.end_runs();
        for _ in 0..4 {
            store_batches(&mut self.scheduler, self.now_ms);
            self.scheduler.confirm_ownership(self.now_ms);
            self.scheduler.tick(at(self.now_ms));
            for action in self.scheduler.take_actions() {
                self.carry_out(&action);
            }
        }
        let waiting = self.stopped.iter();
        let waiting = waiting.map(|(_, since_ms)| self.now_ms - since_ms);
        self.longest_away_ms = self.longest_away_ms.max(waiting.max().unwrap_or(0));
    }

    fn advance_by(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.advance();
        }
    }
}

fn lasting(replicas: u64, cpu_millicores: u64, memory_mb: u64) -> RawStep {
    RawStep {
        long_running: true,
        memory_mb,
        ..step(replicas, cpu_millicores)
    }
}

/// Guards against tasks that last and are stopped to vacate their worker though no other
/// has room for them.
#[test]
fn a_task_that_lasts_is_not_stopped_before_there_is_a_place_for_it() {
    let mut world = World::new(&["w1", "w2"]);
    world.accept(LASTING, lasting(2, 1000, 10_000));
    world.advance_by(1000);
    assert_eq!(world.runs_of(LASTING), 2);
    world
        .scheduler
        .vacate(&BTreeSet::from(["w1".to_owned()]), at(world.now_ms));
    world.advance_by(5000);
    assert_eq!(world.longest_away_ms, 0);
}

/// Guards against a task that lasts and waits though there are spare machines: its pool
/// counted its load in cores only, and asked for none.
#[test]
fn a_pool_asks_for_the_workers_that_its_tasks_that_last_lack() {
    let mut world = World::new(&["w1", "w2"]);
    world.accept(LASTING, lasting(3, 1000, 10_000));
    world.advance_by(1000);
    assert_eq!(world.runs_of(LASTING), 2);
    let report = world.scheduler.report(at(world.now_ms));
    assert!(report.least_workers > report.workers);
}

/// Guards against workers that are vacated for ever: their tasks that last have no other
/// place, and nobody stops vacating them.
#[test]
fn a_pool_lacks_workers_while_its_tasks_that_last_cannot_leave() {
    let mut world = World::new(&["w1", "w2"]);
    world.accept(LASTING, lasting(2, 1000, 10_000));
    world.advance_by(1000);
    world
        .scheduler
        .vacate(&BTreeSet::from(["w1".to_owned()]), at(world.now_ms));
    world.advance_by(1000);
    let report = world.scheduler.report(at(world.now_ms));
    // The fleet's manager stops vacating a pool's workers from then on.
    assert!(report.least_workers > report.workers + 1);
}

/// A pool whose tasks that last have room lacks no workers, however busy they are.
#[test]
fn a_pool_with_room_for_tasks_that_last_lacks_no_workers() {
    let mut world = World::new(&["w1", "w2"]);
    world.accept(2, step(8, 1000));
    world.accept(LASTING, lasting(2, 1000, 10_000));
    world.advance_by(1000);
    let report = world.scheduler.report(at(world.now_ms));
    assert_eq!(report.least_workers, 1);
}

/// Guards against a task that lasts and never starts in a busy pool: the room that a short
/// task leaves is too small for it and is taken by the next short one.
#[test]
fn short_tasks_keep_no_task_that_lasts_from_starting() {
    let mut world = World::new(&["w1", "w2"]);
    for round in 0..120 {
        world.accept(100 + round, step(1, 1000));
        if round == 20 {
            world.accept(LASTING, lasting(1, 2000, 1000));
        }
        world.advance();
    }
    assert_eq!(world.runs_of(LASTING), 1);
}

/// Guards against workers that are held for a task that fits none of them, or for longer than
/// until it starts.
#[test]
fn short_tasks_get_all_room_that_no_task_that_lasts_can_use() {
    let ends = |cpu_millicores: u64| {
        let mut world = World::new(&["w1", "w2"]);
        world.accept(LASTING, lasting(1, cpu_millicores, 1000));
        for round in 0..120 {
            world.accept(100 + round, step(1, 1000));
            world.advance();
        }
        world.sequences.iter().sum::<u64>()
    };
    // The first starts at once; the second needs more than a worker has.
    assert!(ends(5000) >= ends(0));
}
