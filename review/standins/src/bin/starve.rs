//! A pool runs lasting jobs with one task on each of its workers. One worker is
//! lost for good. Then clients hand in short jobs.

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

const WORKERS: u64 = 8;
const LASTING_JOBS: u64 = 30;
const SHORT_JOBS: u64 = 10;
const WORK: Duration = Duration::from_millis(800);
const FINISH: Duration = Duration::from_secs(14);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let fleet = Arc::new(Fleet::start(3, &store, &record));
    limit_run(&fleet);
    let events = Events::default();
    // IDs of lasting jobs begin with an `a`.
    let durations: Durations = Arc::new(|task: &str| match task.starts_with('a') {
        true => Duration::from_secs(3600),
        false => WORK,
    });
    let workers: Vec<RunningWorker> = (1..=WORKERS)
        .map(|number| {
            let plan = WorkerPlan {
                id: format!("i-{number}"),
                machine: format!("m-{number}"),
                pool: POOL.to_owned(),
                cpu: 32_000,
            };
            RunningWorker::start(&plan, &store, &record, &events, &durations)
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let Some(owner) = fleet.owner() else {
        fleet.cannot_run("the pool has no owner");
    };
    let asked = (owner + 1) % 3;
    let lasting = format!(
        r#"{{"spec":"watch","steps":[{{"replicas":{WORKERS},"cpu":100,"mem_mb":64,"anti_affinity":1,"long_running":true,"may_miss":1}}]}}"#
    );
    for number in 0..LASTING_JOBS {
        let id = format!("a{number:015x}");
        if !fleet.submit(asked, &id, &lasting, Duration::from_secs(10)) {
            fleet.cannot_run("a lasting job is not accepted");
        }
    }
    let at_work = || {
        workers
            .iter()
            .map(|worker| worker.worker.running() as u64)
            .sum::<u64>()
    };
    if !fleet.wait(Duration::from_secs(10), || {
        at_work() == LASTING_JOBS * WORKERS
    }) {
        fleet.cannot_run("not all lasting tasks are at work");
    }
    if is_troubled() {
        workers[0].crash();
        // Its lease has lapsed and its entry is gone by then.
        thread::sleep(Duration::from_secs(8));
    }
    let short =
        r#"{"spec":"quote","steps":[{"replicas":6,"cpu":1800,"mem_mb":256,"estimate_ms":800}]}"#;
    let mut accepted = Vec::new();
    for number in 0..SHORT_JOBS {
        let id = format!("b{number:015x}");
        if fleet.submit(asked, &id, short, Duration::from_secs(4)) {
            accepted.push(id);
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.say(&format!(
        "{} of {SHORT_JOBS} short jobs are accepted",
        accepted.len()
    ));
    thread::sleep(FINISH);
    let mut broken = Vec::new();
    for id in &accepted {
        let first = format!("{id}.");
        let has_begun = events.lock().unwrap().iter().any(
            |event| matches!(&event.what, What::Start { task, .. } if task.starts_with(&first)),
        );
        if !has_begun {
            broken.push(format!(
                "job {id} was accepted and has not begun {} s after the end of the traffic, shown as {:?}; {} lasting tasks of 0.1 cores at work on 224 cores",
                FINISH.as_secs(),
                fleet.state(asked, id),
                at_work()
            ));
        }
    }
    if accepted.is_empty() {
        fleet.cannot_run("no short job is accepted");
    }
    fleet.verdict("LOST", &broken);
}
