//! The workers of a rack crash while they are idle and start again under their
//! ids. A job is handed in after that.

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
use review_standins::worker::Event;
use review_standins::worker::Events;
use review_standins::worker::RunningWorker;
use review_standins::worker::What;
use review_standins::worker::WorkerPlan;

const ROUNDS: u64 = 5;
const WORK: Duration = Duration::from_millis(200);
/// Time that the workers are down.
const DOWN: Duration = Duration::from_millis(300);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let fleet = Arc::new(Fleet::start(3, &store, &record));
    limit_run(&fleet);
    let events = Events::default();
    let durations: Durations = Arc::new(|_: &str| WORK);
    let plan = |number: u64| WorkerPlan {
        id: format!("i-{number}"),
        machine: format!("m-{number}"),
        pool: POOL.to_owned(),
        cpu: 32_000,
    };
    let start = |number| RunningWorker::start(&plan(number), &store, &record, &events, &durations);
    let again = |number, before: &RunningWorker| {
        RunningWorker::start_at(
            &before.address,
            &plan(number),
            &store,
            &record,
            &events,
            &durations,
        )
    };
    let mut workers = vec![start(1), start(2)];
    thread::sleep(Duration::from_secs(2));
    let Some(owner) = fleet.owner() else {
        fleet.cannot_run("the pool has no owner");
    };
    let asked = (owner + 1) % 3;
    let body =
        r#"{"spec":"one","steps":[{"replicas":4,"cpu":1000,"mem_mb":256,"estimate_ms":200}]}"#;
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        if is_troubled() {
            for worker in &workers {
                worker.crash();
            }
            thread::sleep(DOWN);
            workers = vec![again(1, &workers[0]), again(2, &workers[1])];
        }
        let job = format!("{:016x}", 0x5c0e_7a21_0000 + round);
        if !fleet.submit(asked, &job, body, Duration::from_secs(10)) {
            fleet.cannot_run("a job is not accepted");
        }
        let is_final = || {
            let state = fleet.state(asked, &job);
            matches!(state.as_deref(), Some("completed" | "failed" | "cancelled"))
        };
        fleet.wait(WORK + Duration::from_secs(6), || {
            thread::sleep(Duration::from_millis(500));
            is_final()
        });
        let state = fleet.state(asked, &job);
        if state.as_deref() == Some("failed") {
            broken.push(explain(&job, &events.lock().unwrap()));
        }
        thread::sleep(Duration::from_millis(700));
    }
    fleet.verdict("LOST", &broken);
}

/// Says how the runs of a job that is shown as failed have ended.
fn explain(job: &str, events: &[Event]) -> String {
    let of_job = |task: &str| task.starts_with(job);
    let starts = events
        .iter()
        .filter(|event| matches!(&event.what, What::Start { task, .. } if of_job(task)));
    let starts = starts.count();
    let ended = |wanted: &str| {
        let ends = events.iter().filter(
            |event| matches!(&event.what, What::End { task, how, .. } if of_job(task) && *how == wanted),
        );
        ends.count()
    };
    let (done, failed) = (ended("done"), ended("failed"));
    format!(
        "job {job} is shown as failed: {starts} starts of its 4 tasks, {done} ended done, {failed} ended failed, no worker has crashed since it was handed in"
    )
}
