//! A worker: runs tasks as ordered, under a lease, and lists what runs and what ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::http::lock;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

const HOLD_MAX_MS: u64 = 6000;
const CPU: u64 = 32_000;
const MEM_MB: u64 = 131_072;
/// Longest that a stop takes is `stop_ms`; this worker is done with it at once.
const STEP: Duration = Duration::from_millis(10);

/// A run as the stand-ins saw it; times are those of the record.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

/// All runs on all workers.
#[derive(Default)]
pub struct RunLog(Mutex<Vec<RunSeen>>);

impl RunLog {
    pub fn all(&self) -> Vec<RunSeen> {
        lock(&self.0).clone()
    }

    fn end(&self, worker: &str, task: &str, run: u64, how: &'static str, now_ms: u64) {
        let mut runs = lock(&self.0);
        let seen = runs.iter_mut().rev().find(|seen| {
            seen.worker == worker && seen.task == task && seen.run == run && seen.ended_ms.is_none()
        });
        if let Some(seen) = seen {
            seen.ended_ms = Some(now_ms);
            seen.how = how;
        }
    }
}

/// How long a worker's tasks take; `None` if they last.
pub type Duty = Arc<dyn Fn(&str) -> Option<Duration> + Send + Sync>;
/// Whether a ticket is good for a step on this worker.
pub type Guard = Arc<dyn Fn(&str, &str, &str) -> bool + Send + Sync>;

/// Tasks whose names begin so save their progress. Only what comes after their first run is
/// recorded one by one.
const SAVING: char = 'f';

struct Running {
    run: u64,
    started: Instant,
    takes: Option<Duration>,
}

impl Running {
    /// Returns what the task has saved: a text as long as those of the pages, from one second
    /// of work on.
    fn saved(&self, task: &str) -> String {
        if task.starts_with(SAVING) && self.started.elapsed() >= Duration::from_secs(1) {
            let index = task.rsplit_once('.').map_or("", |(_, index)| index);
            format!("{:08}{:0>8}", self.run, index)
        } else {
            String::new()
        }
    }
}

struct State {
    started: Instant,
    born: u64,
    alive: bool,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Running>,
    finished: Vec<(u64, String, u64, &'static str)>,
    count: u64,
    highest_ended: BTreeMap<String, u64>,
    /// Runs that have ended done, and whose ends were taken note of.
    noted: Vec<(String, u64)>,
}

impl State {
    fn new() -> Self {
        let since_1970 = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            started: Instant::now(),
            born: u64::try_from(since_1970.as_millis()).unwrap_or(0),
            alive: true,
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            finished: Vec::new(),
            count: 0,
            highest_ended: BTreeMap::new(),
            noted: Vec::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0) + 1
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
    }
}

pub struct Worker {
    pub id: String,
    service: String,
    place: usize,
    state: Mutex<State>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    address: Mutex<String>,
    store: Arc<Store>,
    record: Arc<Record>,
    log: Arc<RunLog>,
    duty: Duty,
    guard: Option<Guard>,
}

impl Worker {
    pub fn start(
        service: &str,
        place: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
        log: &Arc<RunLog>,
        duty: &Duty,
        guard: Option<&Guard>,
    ) -> std::io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            id: format!("i-{service}-{place}"),
            service: service.to_owned(),
            place,
            state: Mutex::new(State::new()),
            ended: Condvar::new(),
            server: Mutex::default(),
            address: Mutex::new("127.0.0.1:0".to_owned()),
            store: Arc::clone(store),
            record: Arc::clone(record),
            log: Arc::clone(log),
            duty: Arc::clone(duty),
            guard: guard.cloned(),
        });
        worker.open()?;
        let advancing = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                advancing.advance();
            }
        });
        Ok(worker)
    }

    fn open(self: &Arc<Self>) -> std::io::Result<()> {
        let worker = Arc::clone(self);
        let address = lock(&self.address).clone();
        let server = Server::start(&address, move |request| worker.handle(request))?;
        *lock(&self.address) = server.address.to_string();
        *lock(&self.server) = Some(server);
        self.register();
        Ok(())
    }

    fn register(&self) {
        let state = lock(&self.state);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpu\":0}},\
             \"labels\":[\"a\",\"r-{}\"],\"born\":{},\"clock_ms\":{},\"machine\":\"m-{}-{}\"}}",
            self.service,
            lock(&self.address),
            self.place % 3,
            self.place / 4,
            state.born,
            state.clock_ms(),
            self.service,
            self.place
        );
        drop(state);
        self.store.write("servers", &self.id, &entry);
    }

    /// Entry of the worker's machine in the list of machines.
    pub fn machine(&self) -> String {
        format!(
            "{{\"machine\":\"m-{}-{}\",\"pool\":\"{}\",\"state\":\"{}\",\"zone\":\"z-{}\",\
             \"labels\":[\"a\",\"r-{}\"],\"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpu\":0}},\
             \"id\":\"{}\"}}",
            self.service,
            self.place,
            self.service,
            if lock(&self.state).alive { "up" } else { "down" },
            self.place % 3,
            self.place / 4,
            self.id
        )
    }

    /// Returns the runs that have ended done, and whose ends were taken note of.
    pub fn noted(&self) -> Vec<(String, u64)> {
        lock(&self.state).noted.clone()
    }

    fn advance(&self) {
        let mut state = lock(&self.state);
        if !state.alive {
            return;
        }
        let lapsed = state.clock_ms() > state.deadline_ms;
        let over: Vec<(String, u64, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, running)| {
                let is_done = running.takes.is_some_and(|takes| running.started.elapsed() >= takes);
                let how = match (is_done, lapsed) {
                    (true, _) => "done",
                    (false, true) => "lapsed",
                    (false, false) => return None,
                };
                Some((task.clone(), running.run, how))
            })
            .collect();
        for (task, run, how) in over {
            self.end(&mut state, &task, run, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, run: u64, how: &'static str) {
        state.running.remove(task);
        state.count += 1;
        let number = state.count;
        state.finished.push((number, task.to_owned(), run, how));
        let highest = state.highest_ended.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        self.log.end(&self.id, task, run, how, self.record.now_ms());
        if !task.starts_with(SAVING) {
            self.record.line(&format!("worker {}: {task} run {run} ends {how}", self.id));
        }
        self.ended.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        if request.path == "/healthz" {
            return Some((200, String::new()));
        }
        let expected = request.header("cornelpoint-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some((421, String::new()));
        }
        let Some(order) = Json::parse(&request.body) else {
            return Some((400, String::new()));
        };
        let mut state = lock(&self.state);
        let fence = order.get("fencing_token").number();
        if fence < state.fence {
            return Some((409, rejection(&state, "fence")));
        }
        state.fence = fence;
        let (task, run) = (order.get("task").text(), order.get("run").number());
        match request.path.as_str() {
            "/cornelpoint/run-start" => Some(self.start_run(&mut state, &order, task, run)),
            "/cornelpoint/run-stop" => {
                let highest = state.highest_ended.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
                if state.running.get(task).is_some_and(|running| running.run == run) {
                    self.end(&mut state, task, run, "stopped");
                }
                Some((200, clock(&state)))
            }
            "/cornelpoint/hold" => {
                if let Some(deadline_ms) = order.get("deadline_ms").optional_number() {
                    state.extend(deadline_ms);
                }
                let last_seen = order.get("last_seen").number();
                let noted: Vec<(String, u64)> = state
                    .finished
                    .iter()
                    .filter(|(number, _, _, how)| *number <= last_seen && *how == "done")
                    .map(|(_, task, run, _)| (task.clone(), *run))
                    .collect();
                state.noted.extend(noted);
                state.finished.retain(|(number, ..)| *number > last_seen);
                let wait = Duration::from_millis(order.get("wait_ms").number().min(2000));
                let deadline = Instant::now() + wait;
                while state.finished.is_empty() && state.alive {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    let waited = self.ended.wait_timeout(state, left);
                    state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
                }
                Some((200, lists(&state)))
            }
            "/cornelpoint/pace" => Some((200, clock(&state))),
            _ => Some((404, String::new())),
        }
    }

    fn start_run(&self, state: &mut State, order: &Json, task: &str, run: u64) -> (u16, String) {
        let deadline_ms = order.get("deadline_ms").number();
        if state.running.get(task).is_some_and(|running| running.run == run) {
            state.extend(deadline_ms);
            return (200, clock(state));
        }
        let highest = state.highest_ended.get(task).copied().unwrap_or(0);
        let running = state.running.get(task).map_or(0, |running| running.run);
        if run <= highest.max(running) {
            state.extend(deadline_ms);
            return (409, rejection(state, "old"));
        }
        if deadline_ms <= state.clock_ms() {
            return (409, rejection(state, "late"));
        }
        let step = task.rsplit_once('.').map_or("", |(step, _)| step);
        let ticket = order.get("token").text();
        let is_allowed = self.guard.as_ref().is_none_or(|guard| guard(step, &self.id, ticket));
        if !is_allowed {
            self.record.line(&format!("worker {}: {task} run {run} rejected: ticket", self.id));
            return (409, rejection(state, "ticket"));
        }
        state.extend(deadline_ms);
        let takes = (self.duty)(task);
        state.running.insert(
            task.to_owned(),
            Running {
                run,
                started: Instant::now(),
                takes,
            },
        );
        lock(&self.log.0).push(RunSeen {
            worker: self.id.clone(),
            task: task.to_owned(),
            run,
            started_ms: self.record.now_ms(),
            ended_ms: None,
            how: "",
        });
        if run > 1 || !task.starts_with(SAVING) {
            self.record.line(&format!(
                "worker {}: {task} run {run} starts, fencing token {}",
                self.id, state.fence
            ));
        }
        (200, clock(state))
    }
}

fn clock(state: &State) -> String {
    format!("{{\"clock_ms\":{}}}", state.clock_ms())
}

fn rejection(state: &State, reason: &str) -> String {
    format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", state.clock_ms())
}

fn lists(state: &State) -> String {
    let running = state.running.iter().map(|(task, running)| {
        let cpu = 100;
        format!("[\"{task}\",{},\"{}\",100,{cpu}]", running.run, running.saved(task))
    });
    let running: Vec<String> = running.collect();
    let finished = state.finished.iter().take(500);
    let finished = finished
        .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"));
    let finished: Vec<String> = finished.collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        state.clock_ms(),
        state.born,
        running.join(","),
        finished.join(",")
    )
}
