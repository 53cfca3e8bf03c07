//! Managers with links of 10 Mbit/s own the pools of five services, each with 300
//! lasting jobs. All managers but one are lost.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::fleet::Fleet;
use review_standins::fleet::is_troubled;
use review_standins::fleet::limit_run;
use review_standins::fleet::pool;
use review_standins::fleet::prefix;
use review_standins::fleet::record_path;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Durations;
use review_standins::worker::Events;
use review_standins::worker::RunningWorker;
use review_standins::worker::WorkerPlan;

const MANAGERS: usize = 3;
const POOLS: usize = 5;
const JOBS: usize = 300;
/// 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;
const RECOVER: Duration = Duration::from_secs(15);
const FINISH: Duration = Duration::from_secs(14);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    let link = Some(LINK_BYTES_PER_S);
    let fleet = Arc::new(Fleet::start_with(
        MANAGERS, &store, &record, None, POOLS, link,
    ));
    limit_run(&fleet);
    let events = Events::default();
    let durations: Durations = Arc::new(|_: &str| Duration::from_secs(3600));
    let workers: Vec<RunningWorker> = (0..POOLS)
        .map(|number| {
            let plan = WorkerPlan {
                id: format!("i-{number}"),
                machine: format!("m-{number}"),
                pool: pool(number),
                cpu: 64_000,
            };
            RunningWorker::start(&plan, &store, &record, &events, &durations)
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let body = format!(
        r#"{{"spec":"{}","steps":[{{"replicas":1,"cpu":100,"mem_mb":64,"long_running":true}}]}}"#,
        "x".repeat(4000)
    );
    let clients: Vec<_> = (0..POOLS)
        .map(|number| {
            let (fleet, body) = (Arc::clone(&fleet), body.clone());
            thread::spawn(move || {
                let accepted = (0..JOBS).filter(|job| {
                    let path = format!("{}{:016x}", prefix(number), number << 16 | job);
                    let answer = || fleet.request_at(number % MANAGERS, "POST", &path, &body);
                    (0..4).any(|_| answer().is_some_and(|(status, _)| status == 200))
                });
                accepted.count()
            })
        })
        .collect();
    let accepted: Vec<usize> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    record.say(&format!("accepted by pool: {accepted:?}"));
    let at_work = || {
        let all = workers.iter().map(|worker| worker.worker.running());
        all.collect::<Vec<_>>()
    };
    if !fleet.wait(Duration::from_secs(15), || at_work() == accepted) {
        fleet.cannot_run("not all lasting tasks are at work");
    }
    if is_troubled() {
        for number in 1..MANAGERS {
            fleet.kill(number);
        }
    }
    thread::sleep(RECOVER + FINISH);
    let before = at_work();
    thread::sleep(Duration::from_secs(4));
    let after = at_work();
    record.say(&format!(
        "tasks at work by pool: {before:?}, 4 s later {after:?}"
    ));
    let mut broken = Vec::new();
    for number in 0..POOLS {
        if before[number] == 0 && after[number] == 0 {
            broken.push(format!(
                "none of {} lasting jobs of {} is at work {} s after the loss, with a sound worker of 64 cores idle",
                accepted[number],
                pool(number),
                (RECOVER + FINISH).as_secs()
            ));
        }
    }
    fleet.verdict("LOST", &broken);
}
