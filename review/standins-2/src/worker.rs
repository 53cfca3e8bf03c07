//! A worker: one life after another on a machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Request;
use crate::http::Server;
use crate::record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1500);
/// An entry is removed after three heartbeats without a word.
const SILENCE: Duration = Duration::from_millis(4500);
/// Longest lease.
const HOLD_MAX_MS: u64 = 6000;
/// Time after which a task that lasts is at work.
const STARTUP_MS: u128 = 300;
const CAPACITY_MILLICORES: u64 = 32_000;

struct Run {
    from: Instant,
    /// When the task is done; tasks that last have no such time.
    lasts: Option<Duration>,
}

struct Life {
    began: Instant,
    born: u64,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    /// Highest number stopped, ended or started, by task.
    highest: BTreeMap<String, u64>,
    ended: BTreeMap<u64, (String, u64, &'static str)>,
    ends: u64,
}

struct Shared {
    id: String,
    life: Mutex<Option<Life>>,
    ends: Condvar,
    /// Whether the worker is cut off: connections are reset, nothing gets through.
    cut: AtomicBool,
    /// Whether it is cut off as soon as it has started a run.
    cut_at_start: AtomicBool,
}

/// A worker that can be killed and started again.
pub struct Worker {
    pub id: String,
    pub machine: String,
    pub rack: String,
    pool: String,
    shared: Arc<Shared>,
    server: Mutex<Server>,
    store: Arc<Store>,
    silent_since: Mutex<Option<Instant>>,
    next_entry: Mutex<Instant>,
}

fn unix_ms() -> u64 {
    let since = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    since.as_millis() as u64
}

impl Life {
    fn new() -> Self {
        Self {
            began: Instant::now(),
            born: unix_ms(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: BTreeMap::new(),
            ends: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let longest_ms = self.clock_ms() + HOLD_MAX_MS;
        let deadline_ms = deadline_ms.unwrap_or(0).min(longest_ms);
        self.deadline_ms = self.deadline_ms.max(deadline_ms);
    }

    fn end(&mut self, worker: &str, task: &str, number: u64, how: &'static str) {
        if self.running.remove(&(task.to_owned(), number)).is_some() {
            self.ends += 1;
            self.ended.insert(self.ends, (task.to_owned(), number, how));
            record::add(worker, task, number, Some(how));
        }
    }

    /// Ends what is done or has no lease any more.
    fn tick(&mut self, worker: &str) {
        let lapsed = self.clock_ms() > self.deadline_ms;
        let over = self.running.iter().filter_map(|(key, run)| {
            let done = run.lasts.is_some_and(|lasts| run.from.elapsed() >= lasts);
            match (done, lapsed) {
                (true, _) => Some((key.clone(), "done")),
                (false, true) => Some((key.clone(), "lapsed")),
                (false, false) => None,
            }
        });
        for ((task, number), how) in over.collect::<Vec<_>>() {
            self.end(worker, &task, number, how);
        }
    }
}

impl Shared {
    /// Handles a call, unless the worker is cut off before it or before its answer: the
    /// cut resets the connection.
    fn handle(&self, request: &Request) -> (u16, Value) {
        let lost = (http::NO_ANSWER, Value::Null);
        if self.cut.load(Ordering::SeqCst) {
            return lost;
        }
        let answer = self.carry_out(request);
        if self.cut.load(Ordering::SeqCst) {
            lost
        } else {
            answer
        }
    }

    fn carry_out(&self, request: &Request) -> (u16, Value) {
        if request.path == "/healthz" {
            return (200, Value::Null);
        }
        let order = request.json();
        let mut guard = self.life.lock().expect("life");
        let Some(life) = guard.as_mut() else {
            return (503, Value::Null);
        };
        life.tick(&self.id);
        let expected = request.header("cornelpoint-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return (421, json!({"clock_ms": life.clock_ms()}));
        }
        let rejection = |life: &Life, reason: &str| {
            (409, json!({"clock_ms": life.clock_ms(), "reason": reason}))
        };
        let fence = order["fencing_token"].as_u64().unwrap_or(0);
        if fence < life.fence {
            return rejection(life, "fence");
        }
        life.fence = fence;
        let task = order["task"].as_str().unwrap_or_default().to_owned();
        let number = order["run"].as_u64().unwrap_or(0);
        let deadline_ms = order["deadline_ms"].as_u64();
        match request.path.as_str() {
            "/cornelpoint/run-start" => {
                if life.running.contains_key(&(task.clone(), number)) {
                    return (200, json!({"clock_ms": life.clock_ms()}));
                }
                let highest = life.highest.get(&task).copied().unwrap_or(0);
                if number <= highest {
                    life.extend(deadline_ms);
                    return rejection(life, "old");
                }
                if deadline_ms.is_none_or(|deadline_ms| deadline_ms <= life.clock_ms()) {
                    return rejection(life, "late");
                }
                life.extend(deadline_ms);
                life.highest.insert(task.clone(), number);
                let spec = order["spec"].as_str().unwrap_or_default();
                let run = Run {
                    from: Instant::now(),
                    lasts: spec.parse().ok().map(Duration::from_millis),
                };
                life.running.insert((task.clone(), number), run);
                record::add(&self.id, &task, number, None);
                if self.cut_at_start.swap(false, Ordering::SeqCst) {
                    record::note(&format!("worker {} is cut off and runs on", self.id));
                    self.cut.store(true, Ordering::SeqCst);
                }
                (200, json!({"clock_ms": life.clock_ms()}))
            }
            "/cornelpoint/run-stop" => {
                record::note(&format!(
                    "stop of {task} number {number} ordered on {}",
                    self.id
                ));
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = number.max(*highest);
                life.end(&self.id, &task, number, "stopped");
                self.ends.notify_all();
                (200, json!({"clock_ms": life.clock_ms()}))
            }
            "/cornelpoint/pace" => (200, json!({"clock_ms": life.clock_ms()})),
            "/cornelpoint/hold" => {
                life.extend(deadline_ms);
                let seen = order["last_seen"].as_u64().unwrap_or(0);
                life.ended.retain(|sequence, _| *sequence > seen);
                let wait_ms = order["wait_ms"].as_u64().unwrap_or(0).min(2000);
                let born = life.born;
                drop(guard);
                self.report(born, Duration::from_millis(wait_ms))
            }
            _ => (400, Value::Null),
        }
    }

    /// Reports what runs and what has ended, once something has or the wait is over.
    fn report(&self, born: u64, wait: Duration) -> (u16, Value) {
        let until = Instant::now() + wait;
        let mut guard = self.life.lock().expect("life");
        loop {
            let Some(life) = guard.as_mut().filter(|life| life.born == born) else {
                return (503, Value::Null);
            };
            life.tick(&self.id);
            let left = until.saturating_duration_since(Instant::now());
            if !life.ended.is_empty() || left.is_zero() {
                let running = life.running.iter().map(|((task, number), run)| {
                    let elapsed = run.from.elapsed().as_millis();
                    let percent = match run.lasts {
                        None if elapsed >= STARTUP_MS => 100,
                        None => 50,
                        Some(lasts) => (elapsed * 100 / lasts.as_millis().max(1)).min(99) as u64,
                    };
                    json!([task, number, "", percent, 0])
                });
                let running: Vec<Value> = running.collect();
                let ended = life.ended.iter().take(500);
                let ended =
                    ended.map(|(sequence, (task, run, how))| json!([sequence, task, run, how, ""]));
                let ended: Vec<Value> = ended.collect();
                return (
                    200,
                    json!({
                        "clock_ms": life.clock_ms(),
                        "born": life.born,
                        "running": running,
                        "finished": ended,
                    }),
                );
            }
            let pause = left.min(Duration::from_millis(20));
            guard = self.ends.wait_timeout(guard, pause).expect("life").0;
        }
    }
}

impl Worker {
    /// Starts a worker of a pool on a machine of its own.
    pub fn start(store: &Arc<Store>, pool: &str, number: usize) -> std::io::Result<Arc<Self>> {
        let id = format!("i-{number:08x}");
        let shared = Arc::new(Shared {
            id: id.clone(),
            life: Mutex::new(Some(Life::new())),
            ends: Condvar::new(),
            cut: AtomicBool::new(false),
            cut_at_start: AtomicBool::new(false),
        });
        let of_server = Arc::clone(&shared);
        let handler = Arc::new(move |request: Request| of_server.handle(&request));
        let worker = Arc::new(Self {
            id,
            machine: format!("m-{number:05}"),
            rack: format!("r1-{number}"),
            pool: pool.to_owned(),
            shared,
            server: Mutex::new(Server::start(0, handler)?),
            store: Arc::clone(store),
            silent_since: Mutex::default(),
            next_entry: Mutex::new(Instant::now()),
        });
        let of_thread = Arc::clone(&worker);
        thread::spawn(move || of_thread.write_entries());
        Ok(worker)
    }

    /// Writes the entry at intervals; the platform removes that of a silent worker.
    fn write_entries(&self) {
        let mut sequence = 0;
        loop {
            thread::sleep(Duration::from_millis(20));
            let life = {
                let mut life = self.shared.life.lock().expect("life");
                if let Some(life) = life.as_mut() {
                    life.tick(&self.id);
                }
                life.as_ref().map(|life| (life.born, life.clock_ms()))
            };
            let cut = self.shared.cut.load(Ordering::SeqCst);
            let mut silent = self.silent_since.lock().expect("silence");
            let Some((born, clock_ms)) = life.filter(|_| !cut) else {
                let since = *silent.get_or_insert_with(Instant::now);
                if since.elapsed() >= SILENCE {
                    self.store.remove("servers", &self.id);
                }
                continue;
            };
            let mut next = self.next_entry.lock().expect("entry");
            if Instant::now() >= *next {
                *next = Instant::now() + HEARTBEAT;
                *silent = None;
                sequence += 1;
                let entry = self.entry(born, clock_ms, sequence);
                self.store.write("servers", &self.id, &entry);
            }
        }
    }

    fn entry(&self, born: u64, clock_ms: u64, sequence: u64) -> Value {
        json!({
            "service": self.pool,
            "address": self.address(),
            "zone": "hu-central-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": CAPACITY_MILLICORES, "mem_mb": 131_072, "gpu": 0},
            "labels": ["a", self.rack],
            "clock_ms": clock_ms,
            "sequence": sequence,
            "born": born,
            "machine": self.machine,
        })
    }

    pub fn address(&self) -> String {
        self.server.lock().expect("server").address.to_string()
    }

    /// Whether a task is at work here.
    pub fn is_at_work(&self, task: &str) -> bool {
        let life = self.shared.life.lock().expect("life");
        let runs = life.iter().flat_map(|life| &life.running);
        let mut runs = runs.filter(|((known, _), _)| known == task);
        runs.any(|(_, run)| run.from.elapsed().as_millis() >= STARTUP_MS)
    }

    /// Whether a task has been started here and has not ended.
    pub fn runs(&self, task: &str) -> bool {
        let life = self.shared.life.lock().expect("life");
        let mut runs = life.iter().flat_map(|life| life.running.keys());
        runs.any(|(known, _)| known == task)
    }

    pub fn is_up(&self) -> bool {
        self.shared.life.lock().expect("life").is_some()
    }

    /// Ends the life at once, with all that runs; nothing is sent.
    pub fn kill(&self) {
        record::note(&format!("worker {} is killed", self.id));
        let life = self.shared.life.lock().expect("life").take();
        self.server.lock().expect("server").kill();
        for ((task, number), _) in life.into_iter().flat_map(|life| life.running) {
            record::add(&self.id, &task, number, Some("lost with its worker"));
        }
    }

    /// Cuts the worker off as soon as it has started a run.
    pub fn cut_off_at_start(&self) {
        self.shared.cut_at_start.store(true, Ordering::SeqCst);
    }

    pub fn is_cut_off(&self) -> bool {
        self.shared.cut.load(Ordering::SeqCst)
    }

    /// Ends the cut.
    pub fn reconnect(&self) {
        record::note(&format!("worker {} is no longer cut off", self.id));
        self.shared.cut.store(false, Ordering::SeqCst);
    }

    /// Starts a new life under the same identifier and address, which writes its first
    /// entry after a time.
    pub fn restart(&self, first_entry: Duration) -> std::io::Result<()> {
        *self.next_entry.lock().expect("entry") = Instant::now() + first_entry;
        let mut server = self.server.lock().expect("server");
        let of_server = Arc::clone(&self.shared);
        let handler = Arc::new(move |request: Request| of_server.handle(&request));
        *self.shared.life.lock().expect("life") = Some(Life::new());
        *server = Server::start(server.address.port(), handler)?;
        record::note(&format!("worker {} has started again", self.id));
        Ok(())
    }
}
