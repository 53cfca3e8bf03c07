//! A lasting job runs on five workers of eight. The worker of its first task crashes
//! and starts again, four times; each time the task has to start elsewhere.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::fleet::Fleet;
use review_standins::fleet::POOL;
use review_standins::fleet::is_troubled;
use review_standins::fleet::limit_run;
use review_standins::fleet::record_path;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Durations;
use review_standins::worker::Events;
use review_standins::worker::RunningWorker;
use review_standins::worker::What;
use review_standins::worker::WorkerPlan;

const JOB: &str = "a00000000000001c";
const WORKERS: usize = 8;
const TASKS: usize = 5;
const CRASHES: usize = 4;
/// Time that a worker is down.
const DOWN: Duration = Duration::from_secs(2);
/// Time between a crash and the start of the task elsewhere, at most: the worker's
/// lease and some more.
const PATIENCE: Duration = Duration::from_secs(10);
/// Time that the task is at work again before the next crash.
const AT_WORK: Duration = Duration::from_secs(2);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let fleet = Arc::new(Fleet::start(3, &store, &record));
    limit_run(&fleet);
    let events = Events::default();
    let durations: Durations = Arc::new(|_: &str| Duration::from_secs(3600));
    let plan = |number: usize| WorkerPlan {
        id: format!("i-{number}"),
        machine: format!("m-{number}"),
        pool: POOL.to_owned(),
        cpu: 32_000,
    };
    let mut workers: Vec<RunningWorker> = (0..WORKERS)
        .map(|number| RunningWorker::start(&plan(number), &store, &record, &events, &durations))
        .collect();
    thread::sleep(Duration::from_secs(2));
    let Some(owner) = fleet.owner() else {
        fleet.cannot_run("the pool has no owner");
    };
    let asked = (owner + 1) % 3;
    let body = format!(
        r#"{{"spec":"watch","steps":[{{"replicas":{TASKS},"cpu":1000,"mem_mb":64,"anti_affinity":1,"long_running":true,"may_miss":1}}]}}"#
    );
    if !fleet.submit(asked, JOB, &body, Duration::from_secs(10)) {
        fleet.cannot_run("the job is not accepted");
    }
    let task = format!("{JOB}.0.0.0");
    let starts = || {
        let events = events.lock().unwrap();
        let starts = events
            .iter()
            .filter(|event| matches!(&event.what, What::Start { task: of, .. } if *of == task));
        starts.map(|event| event.worker.clone()).collect::<Vec<_>>()
    };
    let at_work = |workers: &[RunningWorker]| {
        workers
            .iter()
            .map(|worker| worker.worker.running())
            .sum::<usize>()
    };
    if !fleet.wait(PATIENCE, || at_work(&workers) == TASKS) {
        fleet.cannot_run("the job's tasks are not at work");
    }
    for number in 0..CRASHES {
        thread::sleep(AT_WORK);
        if !is_troubled() {
            continue;
        }
        let placed = starts();
        let Some(last) = placed.last() else {
            fleet.cannot_run("the task is not at work");
        };
        let crashed: usize = last.trim_start_matches("i-").parse().unwrap();
        workers[crashed].crash();
        thread::sleep(DOWN);
        let address = workers[crashed].address.clone();
        workers[crashed] = RunningWorker::start_at(
            &address,
            &plan(crashed),
            &store,
            &record,
            &events,
            &durations,
        );
        let is_last = number + 1 == CRASHES;
        let started = fleet.wait(PATIENCE, || starts().len() > placed.len());
        if !started && !is_last {
            fleet.cannot_run("the task is not started elsewhere");
        }
    }
    thread::sleep(Duration::from_secs(6));
    // The job is never cancelled and no worker drains: its budget of one task
    // allows no second stop while the first task is away.
    let stopped: Vec<String> = {
        let events = events.lock().unwrap();
        let ends = events.iter().filter_map(|event| match &event.what {
            What::End {
                task,
                how: "stopped",
                ..
            } => Some(format!("{task} on {} at {} ms", event.worker, event.at_ms)),
            _ => None,
        });
        ends.collect()
    };
    let state = fleet.state(asked, JOB);
    record.say(&format!(
        "the job is shown as {state:?}, {} of its {TASKS} tasks are at work",
        at_work(&workers)
    ));
    let mut broken = Vec::new();
    for stop in stopped.iter().skip(1) {
        broken.push(format!(
            "a stop ends {stop}, at work on a sound worker; {} is stopped as well, and one may be away",
            stopped[0]
        ));
    }
    fleet.verdict("AVAIL", &broken);
}
