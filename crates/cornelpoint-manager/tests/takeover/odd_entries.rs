//! Registry entries that another program has written.

use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use cornelpoint_platform::store::RowKey;
use platform_standin::worker::WorkerStandIn;
use serde_json::Value;
use serde_json::json;

use crate::TAKEOVER;
use crate::TRANSACTION_DURATION;
use crate::caller::job;
use crate::fleet::Fleet;
use crate::fleet::POOL;
use crate::fleet::holds_within;
use crate::fleet::wait_until;

/// Time for several reads of the registry.
const READS: Duration = Duration::from_secs(2);

#[test]
fn processes_stop_following_the_registry_at_an_odd_entry() {
    let fleet = Fleet::start("odd_entries", TRANSACTION_DURATION);
    // Accepts connections and never answers.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listening = listener.local_addr().unwrap().to_string();
    for (id, value) in odd_entries(&listening) {
        let row = RowKey::new("servers", "", id);
        fleet.store.write(&row, &value);
    }
    thread::sleep(READS);
    let worker = WorkerStandIn::start(&fleet.store, "w-1", POOL, None).unwrap();
    let caller = fleet.caller(fleet.others()[0]);
    let starts = |number| {
        wait_until("a job is accepted", || caller.submit(job(number)));
        let started = || {
            let runs = worker.started_runs();
            runs.iter().any(|run| run.task.step.job == job(number))
        };
        holds_within(TAKEOVER, started)
    };
    assert!(starts(1), "the job was not started beside odd entries");
    fleet.owner().kill();
    assert!(starts(2), "the job was not started by the next owner");
    assert_eq!(fleet.panics(), Vec::<String>::new());
}

/// Returns odd entries and their identifiers. Connections to `listening` are accepted.
fn odd_entries(listening: &str) -> Vec<(String, Vec<u8>)> {
    const DEPTH: usize = 20_000;
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let text = |field: &str, value: &str| {
        let entry = entry(&json!({ field: "MARK" }));
        String::from_utf8(entry)
            .unwrap()
            .replace("\"MARK\"", value)
            .into_bytes()
    };
    let odd = [
        text("labels", &nested),
        text("unknown", &nested),
        text("cold_remaining_ms", "1e400"),
        text("born", "18446744073709551616"),
        text(
            "capacity",
            r#"{"cpu":18446744073709551615,"mem_mb":18446744073709551615}"#,
        ),
        entry(&json!({ "address": "127.0.0.1:99999" })),
        entry(&json!({ "address": "127.0.0.1:80\r\n" })),
        entry(&json!({ "address": "no address" })),
        entry(&json!({ "address": "" })),
        b"\xff\xfe".to_vec(),
        Vec::new(),
    ];
    let mut entries: Vec<_> = odd
        .into_iter()
        .enumerate()
        .map(|(number, value)| (format!("odd-{number}"), value))
        .collect();
    for id in ["line\r\nfeed", "\u{f6}dd", ""] {
        let value = entry(&json!({ "address": listening }));
        entries.push((id.to_owned(), value));
    }
    entries
}

/// Returns a worker's entry with some fields replaced.
fn entry(changes: &Value) -> Vec<u8> {
    let mut entry = json!({
        "service": POOL,
        "address": "127.0.0.1:9",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": { "cpu": 1000, "mem_mb": 1000 },
        "labels": ["a"],
        "sequence": 1,
        "born": 1,
        "clock_ms": 1,
    });
    if let (Some(entry), Some(changes)) = (entry.as_object_mut(), changes.as_object()) {
        entry.extend(changes.clone());
    }
    entry.to_string().into_bytes()
}
