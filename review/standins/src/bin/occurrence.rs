//! A scheduled job whose first occurrence takes long; the owner of the pool is
//! killed once later occurrences are done, and started again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

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

const JOB: &str = "5c0e7a21d94b36f8";
const OCCURRENCES: u64 = 8;
const INTERVAL_MS: u64 = 1000;
/// Work of the first occurrence, and of each other one.
const LONG: Duration = Duration::from_secs(9);
const SHORT: Duration = Duration::from_millis(400);
const RESTART_DELAY: Duration = Duration::from_secs(1);
const FINISH: Duration = Duration::from_secs(14);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let fleet = Arc::new(Fleet::start(3, &store, &record));
    limit_run(&fleet);
    let events = Events::default();
    let first = format!("{JOB}.0.");
    let durations: Durations = Arc::new(move |task: &str| {
        if task.starts_with(&first) {
            LONG
        } else {
            SHORT
        }
    });
    let workers: Vec<RunningWorker> = (1..=2)
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
    let start_ms = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis() + 500;
    let body = format!(
        r#"{{"spec":"nightly","steps":[{{"replicas":2,"cpu":1000,"mem_mb":256,"estimate_ms":400}}],"repeat_count":{OCCURRENCES},"start_time_ms":{start_ms},"interval_ms":{INTERVAL_MS}}}"#
    );
    if !fleet.submit(asked, JOB, &body, Duration::from_secs(10)) {
        fleet.cannot_run("the job is not accepted");
    }
    // Occurrences 1 to 3 are done by then, occurrence 0 is at work.
    thread::sleep(Duration::from_millis(500 + 4 * INTERVAL_MS + 200));
    if is_troubled() {
        fleet.kill(owner);
        thread::sleep(RESTART_DELAY);
        fleet.run(owner);
    }
    // The last occurrence is due 7 s after the first, and the first takes 9 s.
    thread::sleep(LONG + FINISH);
    let mut broken = Vec::new();
    let state = fleet.state(asked, JOB);
    let done = events.lock().unwrap().clone();
    for occurrence in 0..OCCURRENCES {
        for index in 0..2 {
            let name = format!("{JOB}.{occurrence}.0.{index}");
            let is_done = done.iter().any(
                |event| matches!(&event.what, What::End { task, how: "done", .. } if *task == name),
            );
            if !is_done {
                broken.push(format!(
                    "{name} has not ended done and nothing of it runs; the job is shown as {state:?}, {} runs at work, capacity for 64 tasks",
                    workers.iter().map(|worker| worker.worker.running()).sum::<usize>()
                ));
            }
        }
    }
    let at_work: usize = workers.iter().map(|worker| worker.worker.running()).sum();
    if !broken.is_empty() {
        // Nothing may run of the job for 3 s: look again before the verdict.
        thread::sleep(Duration::from_secs(4));
        let later: usize = workers.iter().map(|worker| worker.worker.running()).sum();
        if at_work + later > 0 {
            fleet.cannot_run("tasks are still at work");
        }
    }
    fleet.verdict("LOST", &broken);
}
