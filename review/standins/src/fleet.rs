//! Manager processes, started with the command of the deploy file, and clients.

use std::env;
use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Server;
use crate::http::reply;
use crate::http::send;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const POOL: &str = "planners";
const HOST: &str = "plan.example";
const PREFIX: &str = "/plan/";
/// The kernel ends the managers if the script itself is killed.
const PR_SET_PDEATHSIG: i32 = 1;
/// How long a client waits for a response.
const CLIENT_LIMIT: Duration = Duration::from_millis(3000);

const SIGKILL: u64 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

struct Manager {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    front: String,
    ready: String,
    process: Option<Child>,
}

/// Manager processes in one zone, ended when dropped.
pub struct Fleet {
    managers: Mutex<Vec<Manager>>,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    folder: PathBuf,
    _cloud: Server,
}

impl Fleet {
    /// Starts `count` managers and waits until all are ready.
    pub fn start(count: usize, store: &Arc<Store>, record: &Arc<Record>) -> Fleet {
        Self::start_with_advice(count, store, record, None)
    }

    /// Starts `count` managers, and a queue whose steps need tickets of the advice
    /// service at an address.
    pub fn start_with_advice(
        count: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
        advice: Option<&str>,
    ) -> Fleet {
        Self::start_with(count, store, record, advice, 1, None)
    }

    /// Starts `count` managers and a number of pools. Each manager reaches the store
    /// over a link of its own, of so many bytes a second each way, if that is set.
    pub fn start_with(
        count: usize,
        store: &Arc<Store>,
        record: &Arc<Record>,
        advice: Option<&str>,
        pools: usize,
        link_bytes_per_s: Option<u64>,
    ) -> Fleet {
        store.put("op", "config", &manifest(advice.is_some(), pools));
        let listed = Arc::clone(store);
        let cloud = Server::start("127.0.0.1:0", move |request| match request.path.as_str() {
            "/cornelpoint/machines" => reply(200, machines(&listed)),
            _ => reply(503, ""),
        });
        let cloud = cloud.expect("no free port");
        let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let [.., high, low] = std::process::id().to_be_bytes();
        let mut managers = Vec::new();
        for number in 1..=count {
            let ip = format!("127.{}.{low}.{number}", 64 + high % 128);
            let name = format!("front-z-a-{number}");
            // All are held at the same time, so that they differ.
            let held =
                [0; 3].map(|port| TcpListener::bind(format!("{ip}:{port}")).expect("no free port"));
            let [front, ready, internal] = held
                .each_ref()
                .map(|listener| listener.local_addr().unwrap().port());
            drop(held);
            let settings = folder.join(format!("{name}.toml"));
            let text = settings_text(
                &name,
                &ip,
                (front, ready, internal),
                &match link_bytes_per_s {
                    Some(rate) => link(store.address(), rate),
                    None => store.address(),
                },
                &cloud.address.to_string(),
                advice,
                link_bytes_per_s.map_or(1000, |rate| rate * 8 / 1_000_000),
            );
            fs::write(&settings, text).expect("settings can't be written");
            managers.push(Manager {
                log: folder.join(format!("{name}.log")),
                name,
                settings,
                front: format!("{ip}:{front}"),
                ready: format!("{ip}:{ready}"),
                process: None,
            });
        }
        let fleet = Fleet {
            managers: Mutex::new(managers),
            record: Arc::clone(record),
            store: Arc::clone(store),
            folder,
            _cloud: cloud,
        };
        for number in 0..count {
            fleet.run(number);
        }
        let ready = fleet.wait(Duration::from_secs(15), || {
            (0..count).all(|number| fleet.is_ready(number)) && fleet.owner().is_some()
        });
        if !ready {
            for manager in fleet.managers.lock().unwrap().iter() {
                let log = fs::read_to_string(&manager.log).unwrap_or_default();
                let last = log.lines().last().unwrap_or_default();
                record.line(&format!("{}: {last}", manager.name));
            }
            fleet.cannot_run("the managers don't get ready");
        }
        fleet
    }

    /// Starts a manager's process: `run` and `env` of deploy/system.toml.
    pub fn run(&self, number: usize) {
        let mut managers = self.managers.lock().unwrap();
        let manager = &mut managers[number];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&manager.log)
            .expect("log can't be written");
        let mut command = Command::new("target/release/cornelpoint-manager");
        // SAFETY: the call only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let process = command
            .env("CORNELPOINT_CONFIG", &manager.settings)
            .env("MIMALLOC_PURGE_DELAY", "0")
            .env("MIMALLOC_ARENA_EAGER_COMMIT", "0")
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        match process {
            Ok(process) => {
                self.record.line(&format!(
                    "{} starts, process {}",
                    manager.name,
                    process.id()
                ));
                manager.process = Some(process);
            }
            Err(error) => {
                drop(managers);
                self.cannot_run(&format!("the manager can't be started: {error}"));
            }
        }
    }

    /// Sends a signal to a manager's process.
    pub fn signal(&self, number: usize, signal: i32) {
        let managers = self.managers.lock().unwrap();
        let manager = &managers[number];
        if let Some(process) = &manager.process {
            self.record
                .line(&format!("{} gets signal {signal}", manager.name));
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Kills a manager's process with SIGKILL and waits for its end.
    pub fn kill(&self, number: usize) {
        let mut managers = self.managers.lock().unwrap();
        let manager = &mut managers[number];
        if let Some(mut process) = manager.process.take() {
            self.record.line(&format!("{} is killed", manager.name));
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns the manager that owns the pool: the one that last wrote its row
    /// under a condition.
    pub fn owner(&self) -> Option<usize> {
        let row = self.store.get("cornelpoint-cluster", POOL, "owner")?;
        let text = String::from_utf8_lossy(&row).into_owned();
        let managers = self.managers.lock().unwrap();
        managers
            .iter()
            .position(|manager| text.contains(&manager.name))
    }

    fn is_ready(&self, number: usize) -> bool {
        let ready = self.managers.lock().unwrap()[number].ready.clone();
        let path = "/cornelpoint/readyz";
        let answer = send(&ready, "GET", path, &[("host", "x")], "", CLIENT_LIMIT);
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Sends a client's request to a manager and records it.
    pub fn request(
        &self,
        number: usize,
        method: &str,
        rest: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        self.request_at(number, method, &format!("{PREFIX}{rest}"), body)
    }

    /// Sends a client's request with a whole path.
    pub fn request_at(
        &self,
        number: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let (front, name) = {
            let managers = self.managers.lock().unwrap();
            (
                managers[number].front.clone(),
                managers[number].name.clone(),
            )
        };
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("cornelpoint-deadline-ms", "3000"),
        ];
        let sent_ms = self.record.now_ms();
        let answer = send(&front, method, path, &headers, body, CLIENT_LIMIT);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        let shown: String = body.chars().take(200).collect();
        let took_ms = self.record.now_ms() - sent_ms;
        self.record.line(&format!(
            "client: {method} {path} to {name} {shown} -> {text} ({took_ms} ms)"
        ));
        answer
    }

    /// Hands a job in at a manager; asks again with the same ID after no answer,
    /// a 502 or a 504, and after a 429 or 503. Whether it is accepted in time.
    pub fn submit(&self, number: usize, id: &str, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            let answer = self.request(number, "POST", id, body);
            match answer {
                Some((status, _)) if (200..300).contains(&status) => return true,
                Some((400 | 404 | 413, _)) => return false,
                _ => {}
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(1000));
        }
    }

    /// Returns a job's state as a manager tells it.
    pub fn state(&self, number: usize, id: &str) -> Option<String> {
        let (status, body) = self.request(number, "GET", id, "")?;
        match status {
            200 => Some(Json::parse(&body)?.text("state").to_owned()),
            410 => Some("410".to_owned()),
            _ => None,
        }
    }

    /// Waits for a condition; whether it came true in time.
    pub fn wait(&self, limit: Duration, condition: impl Fn() -> bool) -> bool {
        let until = Instant::now() + limit;
        while !condition() {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Ends all processes and exits: the case couldn't run.
    pub fn cannot_run(&self, why: &str) -> ! {
        self.record.say(&format!("couldn't run: {why}"));
        self.end();
        std::process::exit(2)
    }

    /// Ends all processes and exits by whether the rule was broken.
    pub fn verdict(&self, rule: &str, broken: &[String]) -> ! {
        for line in broken.iter().take(20) {
            self.record.say(&format!("{rule} broken: {line}"));
        }
        if broken.is_empty() {
            self.record.say(&format!("{rule} held"));
        } else {
            self.record
                .say(&format!("{rule} broken {} times", broken.len()));
        }
        self.end();
        std::process::exit(i32::from(!broken.is_empty()))
    }

    fn end(&self) {
        let count = self.managers.lock().unwrap().len();
        for number in 0..count {
            self.signal(number, SIGCONT);
            self.kill(number);
        }
        if env::var_os("KEEP_LOGS").is_some() {
            println!("logs: {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

/// Whether the disruption is to happen.
pub fn is_troubled() -> bool {
    env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Ends the case as one that couldn't run if it takes too long.
pub fn limit_run(fleet: &Arc<Fleet>) {
    let fleet = Arc::clone(fleet);
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(115));
        fleet.cannot_run("it takes too long");
    });
}

/// Path of the case's record: the first argument of the program.
pub fn record_path() -> PathBuf {
    PathBuf::from(env::args().nth(1).expect("expected the path of the record"))
}

/// Opens a link to an address that carries so many bytes a second each way, for all
/// channels together; returns its address.
fn link(to: String, bytes_per_s: u64) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port for a link");
    let address = listener.local_addr().unwrap().to_string();
    let ways: [Arc<Mutex<Instant>>; 2] = [0; 2].map(|_| Arc::new(Mutex::new(Instant::now())));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(&to) else {
                continue;
            };
            let ends = [
                (near.try_clone(), far.try_clone()),
                (far.try_clone(), near.try_clone()),
            ];
            for ((from, into), way) in ends.into_iter().zip(&ways) {
                let (Ok(from), Ok(into)) = (from, into) else {
                    continue;
                };
                let way = Arc::clone(way);
                thread::spawn(move || carry(from, into, &way, bytes_per_s));
            }
        }
    });
    address
}

/// Carries bytes one way; `free` is when the link is free again.
fn carry(mut from: TcpStream, mut into: TcpStream, free: &Mutex<Instant>, bytes_per_s: u64) {
    let _ = into.set_nodelay(true);
    let mut buffer = [0; 4096];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 {
            break;
        }
        let arrives = {
            let mut free = free.lock().unwrap();
            let takes = Duration::from_micros(length as u64 * 1_000_000 / bytes_per_s);
            *free = (*free).max(Instant::now()) + takes;
            *free
        };
        thread::sleep(arrives.saturating_duration_since(Instant::now()));
        if into.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = into.shutdown(Shutdown::Both);
}

/// Lists the machines of the workers that are registered. No service is spare, so
/// that none is ordered to move.
fn machines(store: &Store) -> String {
    let entries = store.values("servers");
    let entries = entries.iter().filter_map(|(id, value)| {
        let entry = Json::parse(value)?;
        let pool = entry.text("service");
        pool.starts_with(POOL).then(|| {
            format!(
                r#"{{"machine":"{}","pool":"{pool}","state":"up","zone":"z-a","labels":["a","r1-1"],"capacity":{{"cpu":{},"mem_mb":131072,"gpu":0}},"id":"{id}"}}"#,
                entry.text("machine"),
                entry.get("capacity").and_then(|capacity| capacity.number("cpu")).unwrap_or(0)
            )
        })
    });
    let entries: Vec<String> = entries.collect();
    format!(
        r#"{{"machines":[{}],"next_page_token":null}}"#,
        entries.join(",")
    )
}

/// Returns the name of a pool.
pub fn pool(number: usize) -> String {
    match number {
        0 => POOL.to_owned(),
        _ => format!("{POOL}-{number}"),
    }
}

/// Returns the prefix of a pool's queue.
pub fn prefix(number: usize) -> String {
    match number {
        0 => PREFIX.to_owned(),
        _ => format!("/plan-{number}/"),
    }
}

fn manifest(has_advice: bool, pools: usize) -> String {
    let advice = match has_advice {
        true => r#","advice":{"decide_ms":10,"each_ms":0.5,"valid_ms":3000}"#,
        false => "",
    };
    let routes = (0..pools).map(|number| {
        format!(
            r#"{{"name":"r-{number}","host":"{HOST}","prefix":"{}","kind":"non_idempotent","timeout_ms":3000,"slo_ms":60000,"priority":0,"service":"{}","max_attempts":3,"stretch":2.0{advice}}}"#,
            prefix(number),
            pool(number)
        )
    });
    let services = (0..pools).map(|number| {
        format!(
            r#"{{"name":"{}","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"spare":false}}"#,
            pool(number)
        )
    });
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

fn settings_text(
    name: &str,
    ip: &str,
    ports: (u16, u16, u16),
    store: &str,
    cloud: &str,
    advice: Option<&str>,
    link_mbps: u64,
) -> String {
    let (front, ready, internal) = ports;
    let advice = advice.map_or(String::new(), |address| format!("advice = \"{address}\"\n"));
    format!(
        r#"node_name = "{name}"
role = "manager"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "z-a"
region = "z"
internal_ports = [{internal},{internal}]
seeds = []
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
control_mode = "call"
{advice}[zones]
z-a = "z"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = {link_mbps}.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recover_s = 12
hold_max_ms = 6000
stop_ms = 400
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_factor = 1.5
save_s = 1
restore_ms = 100
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 8.0
appends_per_s = 150
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_per_s = 80.0
[cloud]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"#
    )
}
