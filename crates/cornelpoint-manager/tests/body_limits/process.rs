use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::catalog::Queue;
use cornelpoint_standin::crowd::ProcessMeter;
use platform_standin::callers::job_body;
use platform_standin::operator;
use platform_standin::settings::InstanceSettings;
use platform_standin::store::StoreSettings;
use platform_standin::store::StoreStandIn;
use ureq::Agent;

use crate::MAX_DESCRIPTORS;
use crate::MEMORY_MB;

/// Port of the messages between processes; the first of the stand-in's settings.
const INTERNAL_PORT: u16 = 7060;
/// Longest wait for a condition that nothing prevents.
const PATIENCE: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of an ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Last byte of the next process's address.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// A manager process with lowered limits, and its store.
pub struct Process {
    pub caller_address: SocketAddr,
    pub internal_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub queue: Queue,
    pub meter: ProcessMeter,
    child: Child,
    _store: StoreStandIn,
}

impl Process {
    /// Starts a process and waits until it owns the pool of its queue.
    pub fn start(test: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join("body_limits")
            .join(test);
        fs::create_dir_all(&folder).unwrap();
        let queue = queue();
        let mut store = StoreStandIn::start(StoreSettings {
            transaction_duration: Duration::from_millis(8),
        })
        .unwrap();
        let configuration = operator::configuration(1, std::slice::from_ref(&queue));
        store.write(&operator::configuration_row(), &configuration);
        let settings = InstanceSettings {
            node: "a-1".to_owned(),
            zone: "a".to_owned(),
            ip: own_ip(),
            store: store.add_instance("a-1").unwrap(),
        };
        let limits = format!("[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_DESCRIPTORS}\n");
        let settings_path = folder.join("a-1.toml");
        fs::write(&settings_path, settings.text() + &limits).unwrap();
        let output = File::create(folder.join("a-1.log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_cornelpoint-manager"))
            .arg("--settings")
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stderr(output.try_clone().unwrap())
            .stdout(output)
            .spawn()
            .unwrap();
        let process = Self {
            caller_address: settings.caller_address(),
            internal_address: SocketAddr::new(settings.ip, INTERNAL_PORT),
            ready_address: SocketAddr::new(settings.ip, READY_PORT),
            queue,
            meter: ProcessMeter::new(child.id()),
            child,
            _store: store,
        };
        let started = Instant::now();
        while process.waiting_status() != Some(200) {
            assert!(
                started.elapsed() < PATIENCE,
                "the process doesn't own the pool"
            );
            thread::sleep(POLL_INTERVAL);
        }
        process
    }

    /// Submits a small job on a new connection; the status of the answer, `None` without
    /// one.
    pub fn submit(&self, number: u64) -> Option<u16> {
        self.submit_body(number, &job_body(crate::NEED, 10))
    }

    /// Submits a job with this body on a new connection.
    pub fn submit_body(&self, number: u64, body: &[u8]) -> Option<u16> {
        let url = format!(
            "http://{}{}{number:016x}",
            self.caller_address, self.queue.path_prefix
        );
        let request = agent().post(url).header("host", &self.queue.host);
        Some(request.send(body).ok()?.status().as_u16())
    }

    /// Asks a page of a listener on a new connection.
    pub fn get(&self, address: SocketAddr, path: &str) -> Option<u16> {
        let request = agent().get(format!("http://{address}{path}"));
        let answer = request.header("host", &self.queue.host).call();
        Some(answer.ok()?.status().as_u16())
    }

    fn waiting_status(&self) -> Option<u16> {
        self.get(self.caller_address, &self.queue.path_prefix)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Port of the load balancer's readiness checks in the stand-in's settings.
const READY_PORT: u16 = 8622;

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    Agent::new_with_config(config)
}

/// Returns a loopback address that no other process uses: the ports of an instance are
/// fixed.
fn own_ip() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    IpAddr::from([127, high, low, host])
}

fn queue() -> Queue {
    Queue {
        name: "plan".to_owned(),
        host: "plan.example".to_owned(),
        path_prefix: "/plan/".to_owned(),
        pool: "planners".to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 2000,
        objective_ms: 60_000,
        timeout_ms: 3000,
        advice: None,
        public: false,
    }
}
