//! Another program on a worker's machine registers itself in the store, as a
//! service that the manifest does not name.

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
use review_standins::worker::twice;

const JOB: &str = "5c0e7a21d94b36f8";
const WORK: Duration = Duration::from_secs(8);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let fleet = Arc::new(Fleet::start(3, &store, &record));
    limit_run(&fleet);
    let events = Events::default();
    let durations: Durations = Arc::new(|_: &str| WORK);
    let _workers: Vec<RunningWorker> = (1..=2)
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
    let body =
        r#"{"spec":"one","steps":[{"replicas":1,"cpu":1000,"mem_mb":256,"estimate_ms":8000}]}"#;
    if !fleet.submit(asked, JOB, body, Duration::from_secs(10)) {
        fleet.cannot_run("the job is not accepted");
    }
    let started = || {
        let events = events.lock().unwrap();
        let mut starts = events
            .iter()
            .filter(|event| matches!(event.what, What::Start { .. }));
        starts.next().map(|event| event.worker.clone())
    };
    fleet.wait(Duration::from_secs(5), || started().is_some());
    let Some(worker) = started() else {
        fleet.cannot_run("the task is not started");
    };
    thread::sleep(Duration::from_secs(1));
    if is_troubled() {
        let born = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis();
        let machine = worker.replace("i-", "m-");
        let entry = format!(
            r#"{{"service":"disk-monitor","address":"127.0.0.1:9","zone":"z-a","version":"v4","slots":1,"state":"ready","cold_remaining_ms":0,"capacity":{{"cpu":100,"mem_mb":64,"gpu":0}},"labels":["a","r1-1"],"clock_ms":100,"sequence":1,"born":{born},"machine":"{machine}"}}"#
        );
        record.line(&format!("another program writes servers/agent-77: {entry}"));
        store.put("servers", "agent-77", &entry);
    }
    let completed = fleet.wait(WORK + Duration::from_secs(14), || {
        thread::sleep(Duration::from_millis(500));
        fleet.state(asked, JOB).as_deref() == Some("completed")
    });
    record.line(&format!("completed: {completed}"));
    thread::sleep(Duration::from_secs(2));
    let broken = twice(&events.lock().unwrap());
    fleet.verdict("TWICE", &broken);
}
