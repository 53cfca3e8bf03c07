//! A scheduled job runs several hundred times, while clients hand in other jobs.

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
const INTERVAL_MS: u64 = 100;
const TASKS: u64 = 8;
const MANAGERS: usize = 4;
/// Times that the job runs, and without the disruption.
const TIMES: u64 = 300;
const FEW_TIMES: u64 = 60;
/// When the clients begin, and how many jobs each hands in, one after another.
const CLIENTS_BEGIN: Duration = Duration::from_secs(18);
const JOBS_PER_CLIENT: u64 = 16;
const PAUSE: Duration = Duration::from_millis(1100);
/// Retries of a client after no answer, a 502 or a 504 (SYSTEM.md).
const RETRIES: u64 = 4;
const FINISH: Duration = Duration::from_secs(14);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let fleet = Arc::new(Fleet::start(MANAGERS, &store, &record));
    limit_run(&fleet);
    let events = Events::default();
    let durations: Durations = Arc::new(|_: &str| Duration::from_millis(50));
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
    let asked = (owner + 1) % MANAGERS;
    let now_ms = SystemTime::UNIX_EPOCH.elapsed().unwrap().as_millis();
    let times = if is_troubled() { TIMES } else { FEW_TIMES };
    let body = format!(
        r#"{{"spec":"check","steps":[{{"replicas":{TASKS},"cpu":100,"mem_mb":16,"estimate_ms":50}}],"repeat_count":{times},"start_time_ms":{},"interval_ms":{INTERVAL_MS}}}"#,
        now_ms + 500
    );
    if !fleet.submit(asked, JOB, &body, Duration::from_secs(10)) {
        fleet.cannot_run("the scheduled job is not accepted");
    }
    thread::sleep(CLIENTS_BEGIN);
    let clients: Vec<_> = (1..MANAGERS)
        .map(|client| {
            let fleet = Arc::clone(&fleet);
            let entry = (owner + client) % MANAGERS;
            thread::spawn(move || hand_in_jobs(&fleet, entry, client as u64))
        })
        .collect();
    let accepted: Vec<String> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    record.say(&format!(
        "{} of {} further jobs are accepted",
        accepted.len(),
        (MANAGERS as u64 - 1) * JOBS_PER_CLIENT
    ));
    thread::sleep(FINISH);
    let mut broken = Vec::new();
    for id in &accepted {
        let task = format!("{id}.0.0.0");
        let has_begun = events
            .lock()
            .unwrap()
            .iter()
            .any(|event| matches!(&event.what, What::Start { task: of, .. } if *of == task));
        if !has_begun {
            let at_work: usize = workers.iter().map(|worker| worker.worker.running()).sum();
            broken.push(format!(
                "job {id} was accepted and has not begun {} s after the end of the traffic, shown as {:?}; {at_work} runs of 0.1 cores at work on 64 cores",
                FINISH.as_secs(),
                fleet.state(asked, id)
            ));
        }
    }
    let state = fleet.state(asked, JOB);
    record.say(&format!("the scheduled job is shown as {state:?}"));
    fleet.verdict("LOST", &broken);
}

/// Hands jobs in at one manager, one after another; returns the accepted ones.
fn hand_in_jobs(fleet: &Fleet, entry: usize, client: u64) -> Vec<String> {
    let body =
        r#"{"spec":"one","steps":[{"replicas":1,"cpu":1000,"mem_mb":256,"estimate_ms":50}]}"#;
    thread::sleep(PAUSE * client as u32 / 3);
    let mut accepted = Vec::new();
    for number in 0..JOBS_PER_CLIENT {
        let id = format!("{:016x}", client << 16 | number);
        for _ in 0..=RETRIES {
            match fleet.request(entry, "POST", &id, body) {
                Some((status, _)) if (200..300).contains(&status) => {
                    accepted.push(id);
                    break;
                }
                None | Some((502 | 504, _)) => thread::sleep(Duration::from_millis(500)),
                Some(_) => break,
            }
        }
        thread::sleep(PAUSE);
    }
    accepted
}
