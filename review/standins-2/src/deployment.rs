//! A small deployment: the platform's stand-ins, workers, and processes under test.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http;
use crate::http::Request;
use crate::http::Server;
use crate::manager::Manager;
use crate::record;
use crate::store::Store;
use crate::worker::Worker;

pub const POOL: &str = "quoting";
const HOST: &str = "quoting.example";
const PREFIX: &str = "/quote-layout/";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// What keeps a scenario from running.
pub type Failure = String;

pub struct Deployment {
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub managers: Vec<Manager>,
    cloud: Server,
    folder: PathBuf,
    started: usize,
}

impl Deployment {
    /// Starts the stand-ins and the processes, and waits until these serve callers.
    pub fn start(managers: usize, workers: usize) -> Result<Self, Failure> {
        let failed = |what: &str| {
            let what = what.to_owned();
            move |error: std::io::Error| format!("{what}: {error}")
        };
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(failed("folder"))?;
        let store = Arc::new(Store::start().map_err(failed("store"))?);
        let workers: Result<Vec<_>, _> = (1..=workers)
            .map(|number| Worker::start(&store, POOL, number))
            .collect();
        let workers = workers.map_err(failed("workers"))?;
        let listed = workers.clone();
        let handler = Arc::new(move |request: Request| machines(&listed, &request));
        let cloud = Server::start(0, handler).map_err(failed("machines"))?;
        store.write("op", "config", &manifest());
        let mut deployment = Self {
            store,
            workers,
            managers: Vec::new(),
            cloud,
            folder,
            started: 0,
        };
        for _ in 0..managers {
            deployment.add_manager()?;
        }
        let until = Instant::now() + Duration::from_secs(15);
        while deployment.owner().is_none() {
            if Instant::now() > until {
                return Err("no process has taken the pool".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(deployment)
    }

    /// Starts one more process, at an address of its own.
    pub fn add_manager(&mut self) -> Result<(), Failure> {
        self.started += 1;
        let name = format!("front-hu-central-a-{}", self.started);
        let (store, cloud) = (self.store.server.address, self.cloud.address);
        let manager = Manager::start(&self.folder, &name, store, cloud);
        self.managers
            .push(manager.map_err(|error| format!("{name}: {error}"))?);
        Ok(())
    }

    /// Returns the place of the process that last took the pool by a conditional write
    /// to the store.
    pub fn owner(&self) -> Option<usize> {
        let row = self.store.value("cornelpoint-cluster", POOL, "owner")?;
        let row = String::from_utf8_lossy(&row).into_owned();
        self.managers
            .iter()
            .position(|manager| row.contains(&manager.name))
    }

    /// Hands a job in, at one process after another, until one accepts it.
    pub fn submit(&self, id: &str, job: &Value) -> Result<(), Failure> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            for manager in &self.managers {
                let path = format!("{PREFIX}{id}");
                let body = job.to_string();
                let answer = http::call(manager.front, "POST", &path, HOST, &body, CALL_TIMEOUT);
                let status = answer.map(|(status, _)| status);
                record::note(&format!("POST {path} at {}: {status:?}", manager.name));
                if status == Some(200) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err("the job is not accepted".to_owned())
    }

    /// Asks for a job's state, at one process after another.
    pub fn state(&self, id: &str) -> Option<String> {
        for manager in &self.managers {
            let path = format!("{PREFIX}{id}");
            let answer = http::call(manager.front, "GET", &path, HOST, "", CALL_TIMEOUT);
            record::note(&format!("GET {path} at {}: {answer:?}", manager.name));
            if let Some((200, body)) = answer {
                let body: Value = serde_json::from_str(&body).unwrap_or_default();
                return body["state"].as_str().map(str::to_owned);
            }
        }
        None
    }

    /// Returns the worker on which a task has been started.
    pub fn worker_with(&self, task: &str) -> Option<Arc<Worker>> {
        let mut workers = self.workers.iter();
        workers.find(|worker| worker.runs(task)).cloned()
    }

    /// Returns the worker on which a task is at work.
    pub fn worker_of(&self, task: &str) -> Option<Arc<Worker>> {
        let mut workers = self.workers.iter();
        workers.find(|worker| worker.is_at_work(task)).cloned()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for manager in &mut self.managers {
            if !manager.is_running() {
                record::note(&format!(
                    "process of {} was not running at the end",
                    manager.name
                ));
            }
            manager.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What is left lies in the folder for temporary files.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until something holds.
pub fn wait_for<T>(
    what: &str,
    seconds: f64,
    mut found: impl FnMut() -> Option<T>,
) -> Result<T, Failure> {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    loop {
        if let Some(found) = found() {
            return Ok(found);
        }
        if Instant::now() > until {
            return Err(format!("{what}: not within {seconds} s"));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn manifest() -> Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "r-quote", "host": HOST, "prefix": PREFIX, "kind": "non_idempotent",
            "timeout_ms": 3000, "slo_ms": 600, "priority": 0, "service": POOL,
            "max_attempts": 2, "stretch": 1.6,
        }],
        "services": [{
            "name": POOL, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
            "tls": false, "admission_control": false, "spare": false,
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 262_144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15_000,
        },
    })
}

static ORDERS: Mutex<u64> = Mutex::new(0);

fn machines(workers: &[Arc<Worker>], request: &Request) -> (u16, Value) {
    if request.method == "GET" {
        let machines = workers.iter().map(|worker| {
            json!({
                "machine": worker.machine, "pool": POOL,
                "state": if worker.is_up() { "up" } else { "down" },
                "zone": "hu-central-a", "labels": ["a", worker.rack],
                "capacity": {"cpu": 32_000, "mem_mb": 131_072, "gpu": 0},
                "id": worker.id,
            })
        });
        let machines: Vec<Value> = machines.collect();
        return (200, json!({"machines": machines, "next_page_token": ""}));
    }
    // There is one pool and no wave, so that no order is due.
    *ORDERS.lock().expect("orders") += 1;
    record::note(&format!("unexpected order to {}", request.path));
    (409, json!({"reason": "busy"}))
}
