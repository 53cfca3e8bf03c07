//! Runs that are stopped for tasks of priority 0.

use cornelpoint::job::RawStep;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::POOL;
use crate::support::answer_renewals;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

/// Returns a scheduler with a worker of four cores that runs four tasks of a job of
/// priority 1, beside which two tasks of priority 0 wait.
fn pressed(weighs_loss: bool, low: RawStep) -> PoolScheduler {
    let settings = SchedulerSettings {
        weighs_loss,
        ..SchedulerSettings::default()
    };
    let mut scheduler = PoolScheduler::new(POOL, 1, settings);
    scheduler.set_queues(std::iter::once(&queue()));
    scheduler.confirm_ownership(0);
    scheduler.apply_registry(&[entry("w1", 5)], true, at(0));
    scheduler.tick(at(0));
    store_batches(&mut scheduler, 0);
    answer_renewals(&mut scheduler, 0);
    for (number, priority, step) in [(1, 1, low), (2, 0, step(2, 1000))] {
        let (mut record, spec) = job(vec![step]);
        record.priority = priority;
        record.accepted_unix_ms = at(100).unix_ms;
        let answer = scheduler.submit(job_id(number), record, spec, at(100));
        assert_eq!(answer, SubmitAnswer::Storing);
        store_batches(&mut scheduler, 100);
        start(&mut scheduler, 120);
    }
    scheduler
}

/// Confirms the starts that are ordered now, and returns their number.
fn start(scheduler: &mut PoolScheduler, now_ms: u64) -> usize {
    let ordered = starts(scheduler, now_ms);
    for (_, task, run) in &ordered {
        let done = OrderOutcome::Done {
            clock_ms: now_ms + 1000,
        };
        scheduler.start_replied(0, task.parse().unwrap(), *run, done, at(now_ms));
    }
    ordered.len()
}

/// Returns the tasks that are ordered to stop.
fn stops(scheduler: &mut PoolScheduler, now_ms: u64) -> Vec<String> {
    scheduler.confirm_ownership(now_ms);
    scheduler.tick(at(now_ms));
    let actions = scheduler.take_actions().into_iter();
    let stopped = actions.filter_map(|action| match action {
        Action::Stop { task, .. } => Some(task.to_string()),
        _ => None,
    });
    stopped.collect()
}

fn low() -> RawStep {
    RawStep {
        estimate_ms: 1500,
        ..step(4, 1000)
    }
}

/// Guards against urgent jobs that are late behind long ones, and against tasks that are
/// stopped again and again.
#[test]
fn tasks_of_priority_0_take_the_room_of_others_once() {
    let mut scheduler = pressed(true, low());
    assert!(stops(&mut scheduler, 200).is_empty(), "there is time");
    let stopped = stops(&mut scheduler, 400);
    assert_eq!(stopped.len(), 2);
    assert!(stops(&mut scheduler, 450).is_empty());
    let low = (0..4).map(|index| format!("{}.0.0.{index}", job_id(1)));
    let others: Vec<String> = low.filter(|task| !stopped.contains(task)).collect();
    end_runs(
        &mut scheduler,
        0,
        (&stopped, CompletionKind::Stopped),
        &others,
        550,
    );
    let urgent = starts(&mut scheduler, 560);
    let urgent: Vec<String> = urgent.into_iter().map(|(_, task, _)| task).collect();
    assert!(
        urgent
            .iter()
            .all(|task| task.starts_with(&job_id(2).to_string()))
    );
    assert_eq!(urgent.len(), 2);
    end_runs(
        &mut scheduler,
        2,
        (&urgent, CompletionKind::Done),
        &others,
        600,
    );
    assert_eq!(start(&mut scheduler, 610), 2, "the stopped tasks again");
    let (mut record, spec) = job(vec![step(4, 1000)]);
    record.accepted_unix_ms = at(620).unix_ms;
    scheduler.submit_from_inbox(job_id(3), record, spec, at(620));
    store_batches(&mut scheduler, 620);
    let stopped_later = stops(&mut scheduler, 950);
    assert_eq!(stopped_later.len(), 2, "only the others");
    assert!(stopped_later.iter().all(|task| !stopped.contains(task)));
}

/// Reports the ends of the first runs of tasks, and that others go on.
fn end_runs(
    scheduler: &mut PoolScheduler,
    earlier: u64,
    (tasks, kind): (&[String], CompletionKind),
    going_on: &[String],
    now_ms: u64,
) {
    let completions = (earlier + 1..)
        .zip(tasks)
        .map(|(sequence, task)| RunCompletion {
            sequence,
            task: task.parse().unwrap(),
            run: 1,
            kind,
            checkpoint: String::new(),
        });
    let running = going_on.iter().map(|task| ActiveRun {
        task: task.parse().unwrap(),
        run: 1,
        checkpoint: String::new(),
        speed_percent: 100,
        gauge: 0,
    });
    let report = WorkerReport {
        born_unix_ms: 5,
        clock_ms: now_ms + 1000,
        running: running.collect(),
        completions: completions.collect(),
        ..WorkerReport::default()
    };
    scheduler.renewal_replied(0, Ok(report), at(now_ms));
    scheduler.confirm_ownership(now_ms);
}

/// Guards against protected tasks that are stopped, and against stops without pressure.
#[test]
fn protected_tasks_are_not_stopped() {
    assert!(stops(&mut pressed(false, low()), 400).is_empty());
    let gang = RawStep {
        gang: true,
        ..low()
    };
    assert!(stops(&mut pressed(true, gang), 400).is_empty());
    let lasting = RawStep {
        long_running: true,
        may_miss: 1,
        ..low()
    };
    assert!(stops(&mut pressed(true, lasting), 400).is_empty());
}
