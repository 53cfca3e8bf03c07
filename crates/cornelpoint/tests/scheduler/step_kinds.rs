//! Gangs, scheduled jobs, advice tickets and fillers.

use cornelpoint::catalog::Advice;
use cornelpoint::catalog::Queue;
use cornelpoint::job::JobSpec;
use cornelpoint::job::RawJob;
use cornelpoint::job::RawStep;
use cornelpoint::scheduler::Action;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::WorkerReport;

use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::ready_scheduler;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let gang = |replicas| RawStep {
        gang: true,
        ..step(replicas, 3000)
    };
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    let (record, spec) = job(vec![gang(3)]);
    scheduler.submit_from_inbox(job_id(1), record, spec, at(100));
    store_batches(&mut scheduler, 100);
    assert!(starts(&mut scheduler, 200).is_empty());
    let (record, spec) = job(vec![gang(2)]);
    scheduler.submit_from_inbox(job_id(2), record, spec, at(300));
    store_batches(&mut scheduler, 300);
    let started = starts(&mut scheduler, 400);
    assert_eq!(started.len(), 2);
    assert_eq!(started[0].2, started[1].2);
}

#[test]
fn an_occurrence_starts_when_it_is_due() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let (mut record, _) = job(vec![step(1, 1000)]);
    record.job = RawJob {
        repeat_count: 2,
        first_unix_ms: at(2000).unix_ms,
        interval_ms: 1000,
        ..record.job
    };
    let spec = JobSpec::try_from(record.job.clone()).expect("a valid job");
    scheduler.submit_from_inbox(job_id(1), record, spec, at(100));
    store_batches(&mut scheduler, 100);
    assert!(starts(&mut scheduler, 1900).is_empty());
    scheduler.confirm_ownership(2000);
    let first = starts(&mut scheduler, 2000);
    assert_eq!(first[0].1, "0000000000000001.0.0.0");
    scheduler.confirm_ownership(3000);
    let second = starts(&mut scheduler, 3000);
    assert_eq!(second[0].1, "0000000000000001.1.0.0");
}

#[test]
fn a_step_whose_queue_has_advice_runs_only_where_it_has_a_ticket() {
    let mut scheduler = ready_scheduler(&["w1", "w2"]);
    let advised = Queue {
        advice: Some(Advice {
            decide_ms: 10,
            each_ms: 1,
            valid_ms: 3000,
        }),
        ..queue()
    };
    scheduler.set_queues(std::iter::once(&advised));
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit_from_inbox(job_id(1), record, spec, at(100));
    store_batches(&mut scheduler, 100);
    scheduler.tick(at(200));
    let advice_request = scheduler
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::RequestAdvice { step, incarnations } => Some((step, incarnations)),
            _ => None,
        });
    let (step, incarnations) = advice_request.expect("advice is requested");
    assert_eq!(incarnations.len(), 2);
    let ticket = vec![(1, "ticket".to_owned())];
    scheduler.advice_replied(step, Some((ticket, 3000)), at(250));
    let started = starts(&mut scheduler, 260);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, "w2");
}

/// Guards against a step that never starts: a request names 100 workers at most, and in a
/// pool of 120 the same first 100 were asked about each time.
#[test]
fn all_workers_of_a_large_pool_are_asked_about() {
    const WORKERS: usize = 120;
    const ALLOWED: &str = "w117";
    let ids: Vec<String> = (0..WORKERS).map(|number| format!("w{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut scheduler = ready_scheduler(&ids);
    let advised = Queue {
        advice: Some(Advice {
            decide_ms: 10,
            each_ms: 1,
            valid_ms: 3000,
        }),
        ..queue()
    };
    scheduler.set_queues(std::iter::once(&advised));
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit_from_inbox(job_id(1), record, spec, at(100));
    store_batches(&mut scheduler, 100);
    let mut started = Vec::new();
    for now_ms in (200..4000).step_by(200) {
        scheduler.tick(at(now_ms));
        for action in scheduler.take_actions() {
            match action {
                Action::RequestAdvice { step, incarnations } => {
                    assert!(incarnations.len() <= 100);
                    let allowed = incarnations.into_iter().filter(|&incarnation| {
                        let worker = scheduler.worker_address(incarnation);
                        worker.is_some_and(|(_, id)| id == ALLOWED)
                    });
                    let tickets = allowed.map(|worker| (worker, "ticket".to_owned()));
                    let tickets = tickets.collect();
                    scheduler.advice_replied(step, Some((tickets, 3000)), at(now_ms + 100));
                }
                Action::Start { incarnation, .. } => started.push(incarnation),
                _ => {}
            }
        }
    }
    assert_eq!(started.len(), 1);
    let worker = scheduler.worker_address(started[0]);
    assert_eq!(worker.map(|(_, id)| id), Some(ALLOWED));
}

/// Fillers disturb serving tasks. Their speed is halved while a tail latency
/// misses its target, and not raised before the latency is well below.
#[test]
fn fillers_are_throttled_while_a_serving_task_misses_its_target() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let serving = RawStep {
        long_running: true,
        target_ms: 100,
        ..step(1, 1000)
    };
    let filler = RawStep {
        long_running: true,
        fills: true,
        ..step(1, 1000)
    };
    let (record, spec) = job(vec![serving, filler]);
    scheduler.submit_from_inbox(job_id(1), record, spec, at(100));
    store_batches(&mut scheduler, 100);
    let started = starts(&mut scheduler, 200);
    assert_eq!(started.len(), 2);
    let mut paces = Vec::new();
    for (now_ms, tail_ms) in [(1000, 150), (2000, 150), (3000, 80), (4000, 30)] {
        let running = started.iter().map(|(_, task, run)| ActiveRun {
            task: task.parse().expect("a valid task ID"),
            run: *run,
            checkpoint: String::new(),
            speed_percent: 100,
            gauge: if task.contains(".0.0.") { tail_ms } else { 500 },
        });
        let report = WorkerReport {
            born_unix_ms: 5,
            clock_ms: now_ms + 1000,
            running: running.collect(),
            ..WorkerReport::default()
        };
        scheduler.renewal_replied(0, Ok(report), at(now_ms));
        for action in scheduler.take_actions() {
            if let Action::Pace { percent, .. } = action {
                paces.push((now_ms, percent));
            }
        }
    }
    assert_eq!(paces, [(1000, 50), (2000, 25), (4000, 40)]);
}
