//! Processor time of a pool's owner in a surge: a real manager process, workers
//! and the store as stand-ins in this process.
//!
//! Submits jobs at a steady rate for some seconds and prints the processor time
//! of the owner's process for each task, for pools of several sizes. Set
//! `WORKERS`, `JOBS_PER_S` and `SECONDS` for another load. The times depend on the
//! machine; compare them as ratios.

use std::env;
use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::catalog::Queue;
use cornelpoint::job::Resources;
use platform_standin::callers::wide_job_body;
use platform_standin::operator;
use platform_standin::settings::InstanceSettings;
use platform_standin::store::StoreSettings;
use platform_standin::store::StoreStandIn;
use platform_standin::worker::WorkerStandIn;
use ureq::Agent;

const POOL: &str = "quoting";
const TASKS_PER_JOB: u32 = 8;
const TASK_DURATION: Duration = Duration::from_millis(640);
const TASK_NEED: Resources = Resources {
    cpu_millicores: 1600,
    memory_mb: 100,
    accelerators: 0,
};
/// Threads that submit jobs; one waits for the store at a time.
const CALLERS: u32 = 32;
const DEFAULT_WORKERS: [u32; 2] = [32, 96];
const DEFAULT_JOBS_PER_S: u32 = 100;
const DEFAULT_SECONDS: u32 = 6;

fn main() {
    let workers = match setting("WORKERS") {
        Some(workers) => vec![workers],
        None => DEFAULT_WORKERS.to_vec(),
    };
    println!("workers   jobs/s  accepted    tasks  owner ms  us per task");
    for workers in workers {
        measure(workers);
    }
}

fn setting(name: &str) -> Option<u32> {
    env::var(name).ok()?.parse().ok()
}

fn measure(workers: u32) {
    let jobs_per_s = setting("JOBS_PER_S").unwrap_or(DEFAULT_JOBS_PER_S);
    let seconds = setting("SECONDS").unwrap_or(DEFAULT_SECONDS);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("owner_surge");
    fs::create_dir_all(&folder).expect("the folder can be created");
    let mut store = StoreStandIn::start(StoreSettings {
        transaction_duration: Duration::from_millis(8),
    })
    .expect("the store starts");
    let queue = queue();
    let configuration = operator::configuration(1, std::slice::from_ref(&queue));
    store.write(&operator::configuration_row(), &configuration);
    let started: Vec<WorkerStandIn> = (0..workers)
        .map(|number| {
            WorkerStandIn::start(&store, &format!("w-{number}"), POOL, Some(TASK_DURATION))
                .expect("the worker starts")
        })
        .collect();
    let [.., high, low] = std::process::id().to_be_bytes();
    let settings = InstanceSettings {
        node: "a-1".to_owned(),
        zone: "a".to_owned(),
        ip: IpAddr::from([127, high, low, 1]),
        store: store.add_instance("a-1").expect("the store listens"),
    };
    let owner = Owner::start(&settings, &folder);
    let submitter = Submitter::new(&settings, &queue);
    // The first jobs wait until the owner has claimed the pool and knows its workers.
    while !submitter.submit(u64::MAX - u64::from(workers)) {
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    let tasks_before = count_runs(&started);
    let cpu_before = owner.cpu_time();
    let accepted = submitter.submit_steadily(jobs_per_s, seconds);
    thread::sleep(TASK_DURATION * 2);
    let cpu = owner.cpu_time().saturating_sub(cpu_before);
    let tasks = count_runs(&started) - tasks_before;
    let us_per_task = cpu.as_micros() / u128::from(tasks.max(1));
    println!(
        "{workers:>7}  {jobs_per_s:>7}  {accepted:>8}  {tasks:>7}  {:>8}  {us_per_task:>11}",
        cpu.as_millis()
    );
}

fn count_runs(workers: &[WorkerStandIn]) -> u64 {
    let runs = workers.iter().map(|worker| worker.started_runs().len());
    runs.sum::<usize>() as u64
}

fn queue() -> Queue {
    Queue {
        name: "quote-layout".to_owned(),
        host: "quote.example".to_owned(),
        path_prefix: "/quote/".to_owned(),
        pool: POOL.to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 1600,
        objective_ms: 600,
        timeout_ms: 3000,
        advice: None,
        public: false,
    }
}

/// Submits jobs to the owner's process.
struct Submitter {
    agent: Agent,
    prefix: String,
    host: String,
    body: Vec<u8>,
}

impl Submitter {
    fn new(settings: &InstanceSettings, queue: &Queue) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(Duration::from_secs(4)))
            .build();
        let duration_ms = u64::try_from(TASK_DURATION.as_millis()).expect("a short time");
        Self {
            agent: Agent::new_with_config(config),
            prefix: format!("http://{}{}", settings.caller_address(), queue.path_prefix),
            host: queue.host.clone(),
            body: wide_job_body(TASKS_PER_JOB, TASK_NEED, duration_ms),
        }
    }

    /// Whether a job is accepted.
    fn submit(&self, number: u64) -> bool {
        let request = self.agent.post(format!("{}{number:016x}", self.prefix));
        let answer = request
            .header("host", &self.host)
            .header("content-type", "application/json")
            .send(&self.body);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Submits jobs at a steady rate; returns how many were accepted.
    fn submit_steadily(&self, jobs_per_s: u32, seconds: u32) -> u32 {
        let accepted = AtomicU32::new(0);
        let next = AtomicU32::new(0);
        let began = Instant::now();
        thread::scope(|scope| {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= jobs_per_s * seconds {
                            return;
                        }
                        let due = Duration::from_secs(1) * number / jobs_per_s;
                        thread::sleep(due.saturating_sub(began.elapsed()));
                        if self.submit(u64::from(number)) {
                            accepted.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                });
            }
        });
        accepted.into_inner()
    }
}

/// The manager process, killed when dropped.
struct Owner {
    process: Child,
}

impl Owner {
    fn start(settings: &InstanceSettings, folder: &Path) -> Self {
        let path = folder.join("owner.toml");
        fs::write(&path, settings.text()).expect("the settings can be written");
        let output = File::create(folder.join("owner.log")).expect("the log can be created");
        let process = Command::new(env!("CARGO_BIN_EXE_cornelpoint-manager"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .stdout(output)
            .spawn()
            .expect("the process starts");
        Self { process }
    }

    /// Returns the processor time that the process has used.
    fn cpu_time(&self) -> Duration {
        const TICK_MS: u64 = 10;
        let path = format!("/proc/{}/stat", self.process.id());
        let stat = fs::read_to_string(path).expect("the process runs");
        // The process's name, in parentheses, may contain spaces; the times in user
        // and system mode are the 12th and 13th field after it.
        let (_, fields) = stat.rsplit_once(')').expect("the name is in parentheses");
        let times = fields.split_whitespace().skip(11).take(2);
        let ticks = times.map(|time| time.parse::<u64>().expect("a number of ticks"));
        Duration::from_millis(ticks.sum::<u64>() * TICK_MS)
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
