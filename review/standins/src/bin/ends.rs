//! Tasks of one job end while their pool's owner is frozen, more of them than a
//! worker lists in one response.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::fleet::Fleet;
use review_standins::fleet::POOL;
use review_standins::fleet::SIGCONT;
use review_standins::fleet::SIGSTOP;
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
const TASKS: u64 = 700;
/// Tasks take from 3 to 4 s.
const SHORTEST_MS: u64 = 3000;
const SPREAD_MS: u64 = 1000;
const FREEZE: Duration = Duration::from_millis(2200);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let fleet = Arc::new(Fleet::start(3, &store, &record));
    limit_run(&fleet);
    let events = Events::default();
    let durations: Durations = Arc::new(|task: &str| {
        let index: u64 = task.rsplit('.').next().unwrap().parse().unwrap();
        Duration::from_millis(SHORTEST_MS + index * SPREAD_MS / TASKS)
    });
    let plan = WorkerPlan {
        id: "i-1".to_owned(),
        machine: "m-1".to_owned(),
        pool: POOL.to_owned(),
        cpu: 32_000,
    };
    let _worker = RunningWorker::start(&plan, &store, &record, &events, &durations);
    thread::sleep(Duration::from_secs(2));
    let Some(owner) = fleet.owner() else {
        fleet.cannot_run("the pool has no owner");
    };
    let asked = (owner + 1) % 3;
    let body = format!(
        r#"{{"spec":"many","steps":[{{"replicas":{TASKS},"cpu":40,"mem_mb":16,"estimate_ms":3500}}]}}"#
    );
    if !fleet.submit(asked, JOB, &body, Duration::from_secs(10)) {
        fleet.cannot_run("the job is not accepted");
    }
    let starts = || {
        let events = events.lock().unwrap();
        let starts = events
            .iter()
            .filter(|event| matches!(event.what, What::Start { .. }));
        starts.count() as u64
    };
    if !fleet.wait(Duration::from_secs(3), || starts() == TASKS) {
        fleet.cannot_run("not all tasks are started in time");
    }
    // The first task ends 3 s after its start, the last a second later.
    let first_ms = events.lock().unwrap()[0].at_ms;
    let freeze_ms = first_ms + SHORTEST_MS - 100;
    thread::sleep(Duration::from_millis(
        freeze_ms.saturating_sub(record.now_ms()),
    ));
    if is_troubled() {
        fleet.signal(owner, SIGSTOP);
        thread::sleep(FREEZE);
        fleet.signal(owner, SIGCONT);
    }
    let completed = fleet.wait(Duration::from_secs(30), || {
        thread::sleep(Duration::from_millis(500));
        fleet.state(asked, JOB).as_deref() == Some("completed")
    });
    record.line(&format!(
        "completed: {completed}, {} starts of {TASKS} tasks",
        starts()
    ));
    thread::sleep(Duration::from_secs(2));
    let broken = twice(&events.lock().unwrap());
    fleet.verdict("TWICE", &broken);
}
