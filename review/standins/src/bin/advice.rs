//! A pool of more workers than one call for advice may name. The queue's policy
//! allows five of them.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::fleet::Fleet;
use review_standins::fleet::POOL;
use review_standins::fleet::is_troubled;
use review_standins::fleet::limit_run;
use review_standins::fleet::record_path;
use review_standins::http::Server;
use review_standins::http::reply;
use review_standins::json::Json;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::worker::Durations;
use review_standins::worker::Events;
use review_standins::worker::RunningWorker;
use review_standins::worker::What;
use review_standins::worker::WorkerPlan;

const WORKERS: usize = 120;
const MOST_WORKERS: usize = 100;
const FINISH: Duration = Duration::from_secs(14);

fn main() {
    let record = Arc::new(Record::create(&record_path()));
    let store = Store::start(&record);
    // The policy allows workers 110 to 114, or 10 to 14.
    let first = if is_troubled() { 110 } else { 10 };
    let noted = Arc::clone(&record);
    let advice = Server::start("127.0.0.1:0", move |request| {
        let Some(call) = Json::parse(&request.body) else {
            return reply(400, "");
        };
        let workers = call.list("workers");
        if workers.len() > MOST_WORKERS {
            return reply(400, "");
        }
        thread::sleep(Duration::from_micros(10_000 + 500 * workers.len() as u64));
        let good = workers.iter().filter_map(|worker| match worker {
            Json::Text(id) => {
                let number: usize = id.trim_start_matches("i-").parse().ok()?;
                (first..first + 5)
                    .contains(&number)
                    .then(|| format!(r#"["{id}","t-{id}"]"#))
            }
            _ => None,
        });
        let good: Vec<String> = good.collect();
        noted.line(&format!(
            "advice for {}: {} workers asked for, {} may run it",
            call.text("step"),
            workers.len(),
            good.len()
        ));
        reply(
            200,
            format!(r#"{{"good":[{}],"valid_ms":3000}}"#, good.join(",")),
        )
    });
    let advice = advice.expect("no free port");
    let address = advice.address.to_string();
    let fleet = Arc::new(Fleet::start_with_advice(3, &store, &record, Some(&address)));
    limit_run(&fleet);
    let events = Events::default();
    let durations: Durations = Arc::new(|_: &str| Duration::from_millis(800));
    let _workers: Vec<RunningWorker> = (0..WORKERS)
        .map(|number| {
            let plan = WorkerPlan {
                id: format!("i-{number:03}"),
                machine: format!("m-{number:03}"),
                pool: POOL.to_owned(),
                cpu: 32_000,
            };
            RunningWorker::start(&plan, &store, &record, &events, &durations)
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let Some(owner) = fleet.owner() else {
        fleet.cannot_run("the pool has no owner");
    };
    let asked = (owner + 1) % 3;
    let body =
        r#"{"spec":"quote","steps":[{"replicas":4,"cpu":1800,"mem_mb":256,"estimate_ms":800}]}"#;
    let mut accepted = Vec::new();
    for number in 0..3 {
        let id = format!("b{number:015x}");
        if fleet.submit(asked, &id, body, Duration::from_secs(4)) {
            accepted.push(id);
        }
    }
    thread::sleep(FINISH);
    let mut broken = Vec::new();
    for id in &accepted {
        let prefix = format!("{id}.");
        let has_begun = events.lock().unwrap().iter().any(
            |event| matches!(&event.what, What::Start { task, .. } if task.starts_with(&prefix)),
        );
        if !has_begun {
            broken.push(format!(
                "job {id} was accepted and has not begun after {} s, shown as {:?}; five idle workers of 32 cores may run it",
                FINISH.as_secs(),
                fleet.state(asked, id)
            ));
        }
    }
    fleet.verdict("LOST", &broken);
}
