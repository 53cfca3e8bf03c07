//! Single decisions of the scheduler. Each test that guards against a fault
//! names it.

use std::collections::BTreeSet;

use cornelpoint::job::JobStatus;
use cornelpoint::job::RawStep;
use cornelpoint::scheduler::CancelAnswer;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;
use expect_test::expect;

use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

fn report(now_ms: u64) -> WorkerReport {
    WorkerReport {
        born_unix_ms: 5,
        clock_ms: now_ms + 1000,
        ..WorkerReport::default()
    }
}

/// Returns a report of one run at full speed.
fn report_at_full_speed(task: &str, run: u64, now_ms: u64) -> WorkerReport {
    let active_run = ActiveRun {
        task: task.parse().expect("a valid task ID"),
        run,
        checkpoint: String::new(),
        speed_percent: 100,
        gauge: 0,
    };
    WorkerReport {
        running: vec![active_run],
        ..report(now_ms)
    }
}

#[test]
fn a_job_starts_only_once_it_is_stored() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let (record, spec) = job(vec![step(2, 1000)]);
    scheduler.submit(job_id(1), record, spec, at(100));
    assert!(starts(&mut scheduler, 100).is_empty());
    assert_eq!(scheduler.status(job_id(1)), None);
    store_batches(&mut scheduler, 100);
    let started = starts(&mut scheduler, 120);
    expect![[r#"
        [
            (
                "w1",
                "0000000000000001.0.0.0",
                1,
            ),
            (
                "w1",
                "0000000000000001.0.0.1",
                1,
            ),
        ]
    "#]]
    .assert_debug_eq(&started);
}

#[test]
fn a_step_waits_for_its_dependencies() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let second = RawStep {
        after: vec![0],
        ..step(1, 1000)
    };
    submit(&mut scheduler, 1, vec![step(1, 1000), second], 100);
    let started = starts(&mut scheduler, 120);
    assert_eq!(started.len(), 1);
    let task = started[0].1.parse().expect("a valid task ID");
    let completion = RunCompletion {
        sequence: 1,
        task,
        run: 1,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    let done = WorkerReport {
        completions: vec![completion],
        ..report(600)
    };
    scheduler.renewal_replied(0, Ok(done), at(600));
    let started = starts(&mut scheduler, 600);
    assert_eq!(started[0].1, "0000000000000001.0.1.0");
}

#[test]
fn a_final_status_is_visible_only_once_it_is_stored() {
    let mut scheduler = ready_scheduler(&["w1"]);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    starts(&mut scheduler, 120);
    assert_eq!(scheduler.cancel(job_id(1), at(200)), CancelAnswer::Storing);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Running));
    store_batches(&mut scheduler, 200);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Cancelled));
}

/// Guards against a lost cancellation: one stored in the owner's inbox was read
/// before the job that it cancels.
#[test]
fn a_cancellation_that_arrives_before_its_job_takes_effect() {
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.cancel_from_inbox(job_id(1), at(100));
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit_from_inbox(job_id(1), record, spec, at(110));
    store_batches(&mut scheduler, 110);
    assert!(starts(&mut scheduler, 200).is_empty());
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Cancelled));
}

/// Guards against lost jobs: renewals sent to an unresponsive worker extended
/// its lease, so its tasks were never freed.
#[test]
fn tasks_of_an_unresponsive_worker_start_elsewhere_once_its_lease_has_expired() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    submit(&mut scheduler, 1, vec![step(1, 4000)], 100);
    let first = starts(&mut scheduler, 120);
    assert_eq!(first.len(), 1);
    let incarnation = u32::from(first[0].0 == "w2");
    let task = first[0].1.parse().expect("a valid task ID");
    let done = OrderOutcome::Done { clock_ms: 1120 };
    scheduler.start_replied(incarnation, task, 1, done, at(120));
    let mut restarted_ms = None;
    for now_ms in (200..8000).step_by(100) {
        scheduler.confirm_ownership(now_ms);
        scheduler.renewal_replied(incarnation, Err(RenewalFailure::NoAnswer), at(now_ms));
        if !starts(&mut scheduler, now_ms).is_empty() {
            restarted_ms = Some(now_ms);
            break;
        }
    }
    let lease_ms = SchedulerSettings::default().lease_ms;
    let restarted_ms = restarted_ms.expect("the task is restarted");
    assert!(
        restarted_ms > 120 + lease_ms,
        "restarted at {restarted_ms} ms"
    );
    assert!(
        restarted_ms < 120 + lease_ms * 103 / 100 + 400,
        "restarted at {restarted_ms} ms"
    );
}

/// Guards against tasks that run twice. An owner cut off from the store assumed
/// that a lease had expired that its successor had renewed. After its own
/// partition had healed, an owner restarted a task without requesting the
/// worker's completions first.
#[test]
fn an_expired_lease_counts_only_once_ownership_is_confirmed_after_it() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    submit(&mut scheduler, 1, vec![step(1, 4000)], 100);
    let first = starts(&mut scheduler, 120);
    let incarnation = u32::from(first[0].0 == "w2");
    scheduler.confirm_ownership(150);
    for now_ms in (200..8000).step_by(100) {
        scheduler.renewal_replied(incarnation, Err(RenewalFailure::NoAnswer), at(now_ms));
        assert!(
            starts(&mut scheduler, now_ms).is_empty(),
            "started at {now_ms} ms"
        );
    }
    scheduler.confirm_ownership(7900);
    // One more lease renewal must fail, since the partition may have healed.
    assert!(starts(&mut scheduler, 8400).is_empty());
    scheduler.renewal_replied(incarnation, Err(RenewalFailure::NoAnswer), at(8500));
    assert_eq!(starts(&mut scheduler, 8600).len(), 1);
}

/// Guards against tasks that run twice: when the partition of an availability
/// zone heals, the owner in it learns that a worker's incarnation has ended,
/// whose completions a successor may have recorded meanwhile.
#[test]
fn an_ended_incarnation_frees_its_tasks_only_once_ownership_is_confirmed_after_it() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    let started = starts(&mut scheduler, 120);
    assert_eq!(started.len(), 1);
    let (worker, _, _) = &started[0];
    let other = if worker == "w1" { "w2" } else { "w1" };
    let next_incarnation = RegistryEntry {
        machine: Some(format!("machine-{worker}")),
        ..entry("w3", 900)
    };
    scheduler.apply_registry(&[entry(other, 5), next_incarnation], true, at(1000));
    assert!(starts(&mut scheduler, 1000).is_empty());
    scheduler.confirm_ownership(999);
    assert!(starts(&mut scheduler, 1100).is_empty());
    scheduler.confirm_ownership(1100);
    let started = starts(&mut scheduler, 1200);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, other);
}

fn successor(leases_end_ms: u64) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new("quoting", 2, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    let recorded = ["w1", "w2"].map(|id| WorkerRecord {
        id: id.to_owned(),
        born_unix_ms: 5,
        machine: Some(format!("machine-{id}")),
    });
    scheduler.set_predecessor(recorded.to_vec(), leases_end_ms);
    let (record, spec) = job(vec![step(1, 1000)]);
    let progress = cornelpoint::job::JobProgress::default();
    scheduler.restore(job_id(1), record, spec, Some(&progress), at(0));
    scheduler.confirm_ownership(0);
    scheduler
}

/// Guards against tasks that run twice: a partitioned worker dropped out of the
/// registry and counted as having reported.
#[test]
fn a_successor_waits_for_a_worker_that_the_registry_no_longer_lists() {
    let mut scheduler = successor(9000);
    let both = [entry("w1", 5), entry("w2", 5)];
    scheduler.apply_registry(&both, true, at(0));
    scheduler.tick(at(0));
    store_batches(&mut scheduler, 0);
    scheduler.renewal_replied(0, Ok(report(10)), at(10));
    scheduler.renewal_replied(1, Err(RenewalFailure::NoAnswer), at(10));
    scheduler.apply_registry(&both[..1], true, at(3000));
    scheduler.apply_registry(&both[..1], true, at(4000));
    scheduler.confirm_ownership(8900);
    assert!(starts(&mut scheduler, 9500).is_empty());
    scheduler.confirm_ownership(9000);
    assert_eq!(starts(&mut scheduler, 9500).len(), 1);
}

/// Guards against lost jobs: a successor waited for a worker whose machine had
/// long since started another incarnation.
#[test]
fn a_successor_does_not_wait_for_a_superseded_incarnation() {
    let mut scheduler = successor(9000);
    let mut moved = entry("w3", 50);
    moved.machine = Some("machine-w2".to_owned());
    moved.pool = "design".to_owned();
    scheduler.apply_registry(&[entry("w1", 5), moved], true, at(100));
    scheduler.tick(at(100));
    store_batches(&mut scheduler, 100);
    scheduler.renewal_replied(0, Ok(report(110)), at(110));
    // A later owner may have read the completions of the superseded one.
    assert_eq!(starts(&mut scheduler, 120).len(), 0);
    scheduler.confirm_ownership(110);
    assert_eq!(starts(&mut scheduler, 130).len(), 1);
}

/// Guards against too few available tasks: tasks on partitioned workers counted
/// as running by outdated reports.
#[test]
fn no_task_is_moved_while_another_of_its_step_may_be_unavailable() {
    let mut scheduler = ready_scheduler(&["w1", "w2", "w3"]);
    let long_running_step = RawStep {
        long_running: true,
        max_per_worker: 1,
        may_miss: 1,
        ..step(2, 1000)
    };
    submit(&mut scheduler, 1, vec![long_running_step], 100);
    let started = starts(&mut scheduler, 120);
    assert_eq!(started.len(), 2);
    let incarnation_of = |id: &str| u32::from(id.as_bytes()[1] - b'1');
    for (id, task, run) in &started {
        let outcome = Ok(report_at_full_speed(task, *run, 200));
        scheduler.renewal_replied(incarnation_of(id), outcome, at(200));
    }
    let leaving = BTreeSet::from([started[0].0.clone()]);
    scheduler.vacate(&leaving, at(200));
    scheduler.tick(at(4000));
    let stops = |scheduler: &mut PoolScheduler| {
        let actions = scheduler.take_actions();
        let stops = actions
            .iter()
            .filter(|action| matches!(action, cornelpoint::scheduler::Action::Stop { .. }));
        stops.count()
    };
    assert_eq!(stops(&mut scheduler), 0);
    let (id, task, run) = &started[1];
    scheduler.renewal_replied(
        incarnation_of(id),
        Ok(report_at_full_speed(task, *run, 4100)),
        at(4100),
    );
    scheduler.tick(at(4100));
    assert_eq!(stops(&mut scheduler), 1);
}

/// In a surge, a job that could only be late is rejected at once with a retry
/// time, and counts as demand for machines.
#[test]
fn a_surge_is_rejected_once_the_backlog_exceeds_the_objective() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut rejected = 0;
    let mut accepted = 0;
    for number in 0..40 {
        let (record, spec) = job(vec![step(4, 1000)]);
        match scheduler.submit(job_id(number), record, spec, at(100)) {
            SubmitAnswer::Rejected { retry_after_ms } => {
                assert!(retry_after_ms >= 1000);
                rejected += 1;
            }
            _ => accepted += 1,
        }
    }
    let report = scheduler.report(at(100));
    expect!["accepted 4, rejected 36, backlog 8000, rejected work 72000"].assert_eq(&format!(
        "accepted {accepted}, rejected {rejected}, backlog {}, rejected work {}",
        report.backlog_core_ms, report.refused_core_ms
    ));
}

/// In a surge some job is always being stored, which is no reason to reject
/// others while workers have free capacity.
#[test]
fn no_job_is_rejected_while_capacity_is_free_beside_all_waiting_tasks() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let long = RawStep {
        estimate_ms: 20_000,
        ..step(1, 1000)
    };
    submit(&mut scheduler, 1, vec![long], 100);
    assert_eq!(starts(&mut scheduler, 120).len(), 1);
    for (number, cpu_millicores, accepted) in [(2, 1000, true), (3, 1000, true), (4, 3000, false)] {
        let (record, spec) = job(vec![step(1, cpu_millicores)]);
        let answer = scheduler.submit(job_id(number), record, spec, at(200));
        assert_eq!(answer == SubmitAnswer::Storing, accepted, "job {number}");
    }
}

/// An unanswered start may still be carried out: it keeps its capacity reserved
/// until the worker has confirmed a stop and no longer lists the run.
#[test]
fn an_unanswered_start_is_stopped_before_its_task_starts_elsewhere() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    submit(&mut scheduler, 1, vec![step(1, 4000)], 100);
    let first = starts(&mut scheduler, 120);
    let incarnation = u32::from(first[0].0 == "w2");
    let task = first[0].1.parse().expect("a valid task ID");
    scheduler.start_replied(incarnation, task, 1, OrderOutcome::NoAnswer, at(700));
    scheduler.renewal_replied(incarnation, Ok(report(710)), at(710));
    assert!(starts(&mut scheduler, 720).is_empty());
    let done = OrderOutcome::Done { clock_ms: 1730 };
    scheduler.stop_replied(incarnation, task, 1, done, at(730));
    // This renewal was sent before the stop, so its report proves nothing yet.
    scheduler.renewal_replied(incarnation, Ok(report(740)), at(740));
    assert!(starts(&mut scheduler, 750).is_empty());
    scheduler.tick(at(800));
    scheduler.take_actions();
    scheduler.renewal_replied(incarnation, Ok(report(810)), at(810));
    let second = starts(&mut scheduler, 820);
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].2, 2);
}

/// Guards against rejected starts: a worker whose machine had been ordered to
/// leave counted as usable again until the registry dropped it.
#[test]
fn a_vacated_worker_is_contacted_before_it_gets_tasks_again() {
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.vacate(&BTreeSet::from(["w1".to_owned()]), at(50));
    scheduler.vacate(&BTreeSet::new(), at(60));
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    assert!(starts(&mut scheduler, 120).is_empty());
    scheduler.renewal_replied(0, Ok(report(130)), at(130));
    assert_eq!(starts(&mut scheduler, 140).len(), 1);
}

/// Guards against tasks that run twice after two takeovers within one partition: the
/// first successor's row of workers left out those that were cut off and no longer
/// listed, so that the second one did not wait for them.
#[test]
fn a_successor_records_the_workers_that_it_waits_for() {
    let mut scheduler = successor(9000);
    scheduler.apply_registry(&[entry("w1", 5)], true, at(0));
    scheduler.tick(at(0));
    let batch = scheduler.begin_batch(at(0)).unwrap();
    let workers = batch.workers.unwrap();
    let recorded: BTreeSet<&str> = workers.iter().map(|worker| worker.id.as_str()).collect();
    assert_eq!(recorded, BTreeSet::from(["w1", "w2"]));
    assert_eq!(workers.len(), 2);
}
