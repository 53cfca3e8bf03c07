//! Workers that restart under their identifiers while their pool's owner takes them for
//! the incarnation that it knows.

use cornelpoint::job::JobStatus;
use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::ready_scheduler;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// Start of the incarnations that `ready_scheduler` knows.
const BORN_MS: u64 = 5;
/// Start of the incarnations that follow.
const REBORN_MS: u64 = 900;

#[derive(Clone, Debug)]
struct Start {
    incarnation: IncarnationIndex,
    worker: String,
    task: TaskId,
    run: u64,
}

impl Start {
    fn active_run(&self) -> ActiveRun {
        ActiveRun {
            task: self.task,
            run: self.run,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: 0,
        }
    }

    fn completion(&self, sequence: u64, kind: CompletionKind) -> RunCompletion {
        RunCompletion {
            sequence,
            task: self.task,
            run: self.run,
            kind,
            checkpoint: String::new(),
        }
    }
}

/// What a worker answers to a lease renewal.
#[derive(Clone, Debug, Default)]
struct Answer {
    born_unix_ms: u64,
    running: Vec<ActiveRun>,
    completions: Vec<RunCompletion>,
}

/// Carries out what is due. Renewals are answered with `answer`, those of workers that it
/// returns `None` for get none. Returns the starts and the stops.
fn drive(
    scheduler: &mut PoolScheduler,
    now_ms: u64,
    answer: &dyn Fn(&str) -> Option<Answer>,
) -> (Vec<Start>, Vec<(String, TaskId, u64)>) {
    scheduler.confirm_ownership(now_ms);
    scheduler.tick(at(now_ms));
    store_batches(scheduler, now_ms);
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    for action in scheduler.take_actions() {
        let worker_id = |scheduler: &PoolScheduler, incarnation| {
            let address = scheduler.worker_address(incarnation);
            address.map(|(_, id)| id.to_owned())
        };
        match action {
            Action::RenewLease { incarnation, .. } => {
                let Some(worker) = worker_id(scheduler, incarnation) else {
                    continue;
                };
                let report = answer(&worker).map(|answer| WorkerReport {
                    born_unix_ms: answer.born_unix_ms,
                    clock_ms: now_ms.saturating_sub(answer.born_unix_ms) + 1000,
                    running: answer.running,
                    completions: answer.completions,
                    ..WorkerReport::default()
                });
                let outcome = report.ok_or(RenewalFailure::NoAnswer);
                scheduler.renewal_replied(incarnation, outcome, at(now_ms + 2));
            }
            Action::Start {
                incarnation,
                task,
                run,
                ..
            } => starts.push(Start {
                incarnation,
                worker: worker_id(scheduler, incarnation).unwrap(),
                task,
                run,
            }),
            Action::Stop {
                incarnation,
                task,
                run,
            } => {
                stops.extend(worker_id(scheduler, incarnation).map(|id| (id, task, run)));
                let outcome = OrderOutcome::Done { clock_ms: 0 };
                scheduler.stop_replied(incarnation, task, run, outcome, at(now_ms + 2));
            }
            _ => {}
        }
    }
    (starts, stops)
}

fn confirm(scheduler: &mut PoolScheduler, start: &Start, now_ms: u64) {
    let outcome = OrderOutcome::Done { clock_ms: 1000 };
    scheduler.start_replied(
        start.incarnation,
        start.task,
        start.run,
        outcome,
        at(now_ms),
    );
}

fn idle(born_unix_ms: u64) -> Answer {
    Answer {
        born_unix_ms,
        ..Answer::default()
    }
}

/// Starts a job of one task at 1000 ms, on a worker that has just restarted.
fn start_on_restarted(scheduler: &mut PoolScheduler) -> Start {
    submit(scheduler, 1, vec![step(1, 1000)], 1000);
    let (starts, _) = drive(scheduler, 1000, &|_| Some(idle(BORN_MS)));
    let [start] = starts.as_slice() else {
        panic!("one start expected, found {starts:?}");
    };
    start.clone()
}

/// The worker is idle, so that no renewal shows its restart before the order.
#[test]
fn a_task_runs_twice_after_its_worker_restarted_while_idle() {
    for confirmed in [true, false] {
        let mut scheduler = ready_scheduler(&["w1", "w2"]);
        let start = start_on_restarted(&mut scheduler);
        if confirmed {
            confirm(&mut scheduler, &start, 1002);
        }
        let answer = |worker: &str| {
            let running = vec![start.active_run()];
            let born_unix_ms = if worker == start.worker {
                REBORN_MS
            } else {
                BORN_MS
            };
            Some(Answer {
                born_unix_ms,
                running: if worker == start.worker {
                    running
                } else {
                    Vec::new()
                },
                ..Answer::default()
            })
        };
        for now_ms in (1010..3000).step_by(100) {
            let (starts, _) = drive(&mut scheduler, now_ms, &answer);
            assert!(
                starts.is_empty(),
                "{now_ms} ms: {starts:?} beside {start:?}"
            );
        }
    }
}

/// The registry shows the restart before the worker reports.
#[test]
fn a_task_runs_twice_after_the_registry_lists_the_restart_of_its_worker() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    let start = start_on_restarted(&mut scheduler);
    confirm(&mut scheduler, &start, 1002);
    let entries = ["w1", "w2"].map(|id| {
        let restarted = id == start.worker;
        entry(id, if restarted { REBORN_MS } else { BORN_MS })
    });
    scheduler.apply_registry(&entries, true, at(1005));
    let answer = |worker: &str| {
        let restarted = worker == start.worker;
        let running = restarted.then(|| start.active_run());
        Some(Answer {
            born_unix_ms: if restarted { REBORN_MS } else { BORN_MS },
            running: running.into_iter().collect(),
            ..Answer::default()
        })
    };
    // The new incarnation doesn't answer its first renewal.
    let silent = |worker: &str| answer(worker).filter(|_| worker != start.worker);
    for now_ms in (1010..3000).step_by(100) {
        let (starts, _) = if now_ms < 1500 {
            drive(&mut scheduler, now_ms, &silent)
        } else {
            drive(&mut scheduler, now_ms, &answer)
        };
        assert!(
            starts.is_empty(),
            "{now_ms} ms: {starts:?} beside {start:?}"
        );
    }
}

/// A lost run is started again once the new incarnation has confirmed that it won't start.
#[test]
fn a_run_that_a_restarted_worker_does_not_list_is_never_started_again() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    let start = start_on_restarted(&mut scheduler);
    let outcome = OrderOutcome::NoAnswer;
    scheduler.start_replied(start.incarnation, start.task, start.run, outcome, at(1600));
    let answer = |worker: &str| {
        let restarted = worker == start.worker;
        Some(idle(if restarted { REBORN_MS } else { BORN_MS }))
    };
    let mut stopped = false;
    for now_ms in (1610..5000).step_by(100) {
        let (starts, stops) = drive(&mut scheduler, now_ms, &answer);
        let stop = (start.worker.clone(), start.task, start.run);
        stopped |= stops.contains(&stop);
        if !starts.is_empty() {
            assert!(
                stopped,
                "{now_ms} ms: {starts:?} before the stop of {start:?}"
            );
            return;
        }
    }
    panic!("not started again");
}

/// Tasks that end on restarted workers, of which the owner knows by their reports.
#[test]
fn a_job_is_given_up_for_the_restarts_of_its_workers_before_it() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    submit(&mut scheduler, 1, vec![step(4, 1000)], 1000);
    let (starts, _) = drive(&mut scheduler, 1000, &|_| Some(idle(BORN_MS)));
    assert_eq!(starts.len(), 4);
    for start in &starts {
        confirm(&mut scheduler, start, 1002);
    }
    let answer = |worker: &str| {
        let here = starts.iter().filter(|start| start.worker == worker);
        let completions = (1..).zip(here);
        let completions =
            completions.map(|(sequence, start)| start.completion(sequence, CompletionKind::Done));
        Some(Answer {
            born_unix_ms: REBORN_MS,
            completions: completions.collect(),
            ..Answer::default()
        })
    };
    for now_ms in (1010..4000).step_by(100) {
        let (again, _) = drive(&mut scheduler, now_ms, &answer);
        assert!(again.is_empty(), "{now_ms} ms: {again:?}");
    }
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
}

/// Completions are numbered anew by each incarnation, so that a number of the former one
/// covers those of the next.
#[test]
fn completions_of_a_restarted_worker_are_acknowledged_unread() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    let (starts, _) = drive(&mut scheduler, 100, &|_| Some(idle(BORN_MS)));
    confirm(&mut scheduler, &starts[0], 102);
    let ended = |_: &str| {
        Some(Answer {
            born_unix_ms: BORN_MS,
            completions: vec![starts[0].completion(1, CompletionKind::Done)],
            ..Answer::default()
        })
    };
    drive(&mut scheduler, 110, &ended);
    store_batches(&mut scheduler, 400);
    for now_ms in (800..2000).step_by(100) {
        drive(&mut scheduler, now_ms, &|_| Some(idle(BORN_MS)));
    }
    submit(&mut scheduler, 2, vec![step(1, 1000)], 3000);
    drive(&mut scheduler, 3000, &|_| Some(idle(BORN_MS)));
    scheduler.tick(at(4100));
    let actions = scheduler.take_actions();
    let acknowledged = actions.iter().find_map(|action| match action {
        Action::RenewLease { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    });
    assert_eq!(acknowledged, Some(0), "{actions:?}");
}

/// A restarted worker has forgotten the fencing token of the owner that it had reported
/// a completion to.
#[test]
fn a_former_owner_starts_a_task_again_that_its_successor_has_recorded_as_done() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    let start = start_on_restarted(&mut scheduler);
    confirm(&mut scheduler, &start, 1002);
    let answer = |worker: &str| {
        let restarted = worker == start.worker;
        Some(idle(if restarted { REBORN_MS } else { BORN_MS }))
    };
    let now_ms = 1500;
    for at_ms in (now_ms..now_ms + 1000).step_by(50) {
        scheduler.tick(at(at_ms));
        for action in scheduler.take_actions() {
            match action {
                Action::RenewLease { incarnation, .. } => {
                    let (_, worker) = scheduler.worker_address(incarnation).unwrap();
                    let answer = answer(worker).unwrap();
                    let report = WorkerReport {
                        born_unix_ms: answer.born_unix_ms,
                        clock_ms: at_ms,
                        ..WorkerReport::default()
                    };
                    scheduler.renewal_replied(incarnation, Ok(report), at(at_ms));
                }
                Action::Start { .. } => panic!("{at_ms} ms: {action:?}"),
                _ => {}
            }
        }
    }
    let (starts, _) = drive(&mut scheduler, now_ms + 1000, &answer);
    assert_eq!(starts.len(), 1, "not started though ownership is confirmed");
}

/// The worker that a successor waits for has restarted. A further successor may have read
/// its completions, and the worker has forgotten that owner's fencing token.
#[test]
fn a_former_successor_starts_a_task_again_that_a_later_one_has_recorded_as_done() {
    let (record, spec) = job(vec![step(1, 1000)]);
    let mut scheduler = PoolScheduler::new(POOL, 2, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    let recorded = WorkerRecord {
        id: "w1".to_owned(),
        born_unix_ms: BORN_MS,
        machine: None,
    };
    scheduler.set_predecessor(vec![recorded], 9000);
    scheduler.restore(job_id(1), record, spec, None, at(0));
    scheduler.apply_registry(&[entry("w1", REBORN_MS)], true, at(1000));
    store_batches(&mut scheduler, 1000);
    scheduler.tick(at(1100));
    let report = WorkerReport {
        born_unix_ms: REBORN_MS,
        clock_ms: 1000,
        ..WorkerReport::default()
    };
    scheduler.take_actions();
    scheduler.renewal_replied(0, Ok(report), at(1110));
    scheduler.tick(at(1120));
    let actions = scheduler.take_actions();
    let starts = |actions: &[Action]| {
        let mut actions = actions.iter();
        actions.any(|action| matches!(action, Action::Start { .. }))
    };
    assert!(!starts(&actions), "{actions:?}");
    scheduler.confirm_ownership(1115);
    scheduler.tick(at(1130));
    assert!(starts(&scheduler.take_actions()), "not started in the end");
}
