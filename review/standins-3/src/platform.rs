//! A small deployment: the store, workers, the list of machines, and the project's own
//! processes, started as the deploy file says.

use std::io::Error;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
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
use crate::http::call;
use crate::http::lock;
use crate::record::Record;
use crate::store::Store;
use crate::worker::RunLog;
use crate::worker::Worker;

const DEPLOY_FILE: &str = "deploy/system.toml";
/// The bounds of the small deployments.
const BOUNDS: &str = "contact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n\
    config_apply_ms = 2000\nhold_max_ms = 6000\nstop_ms = 400\ngang_ms = 3000\n\
    cancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\nmove_s = 1.5\n\
    upkeep_s = 2\nrequire_fence = true\nlease_ms = 3000\n";

pub type Outcome<T> = Result<T, String>;

/// A process of an entry instance.
pub struct Node {
    pub name: String,
    pub front: String,
    ports: [u16; 3],
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Starts the process as the deploy file says.
    pub fn start(&mut self) -> Outcome<()> {
        let deploy = std::fs::read_to_string(DEPLOY_FILE).map_err(text)?;
        let run = quoted(&deploy, "run = ").ok_or("no command in the deploy file")?;
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command.args(words).env_clear();
        for kept in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(kept) {
                command.env(kept, value);
            }
        }
        for name in ["MIMALLOC_PURGE_DELAY", "MIMALLOC_ARENA_EAGER_COMMIT"] {
            if let Some(value) = quoted(&deploy, &format!("{name} = ")) {
                command.env(name, value);
            }
        }
        command.env("CORNELPOINT_CONFIG", &self.settings);
        let output = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.output)
            .map_err(text)?;
        command.stdout(output.try_clone().map_err(text)?).stderr(output);
        self.child = Some(command.stdin(Stdio::null()).spawn().map_err(text)?);
        Ok(())
    }

    /// Whether the process runs and listens on its ports.
    fn is_up(&mut self) -> bool {
        let listens = |port: &u16| TcpStream::connect(("127.0.0.1", *port)).is_ok();
        !self.has_ended() && self.ports.iter().all(listens)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.as_mut().map(Child::try_wait);
        matches!(ended, Some(Ok(Some(_))))
    }

    /// Returns the memory that the process holds beside its files, in kB; 0 if it has ended.
    pub fn memory_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let value = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        value.unwrap_or(0)
    }

    /// Ends the process without notice.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub log: Arc<RunLog>,
    pub workers: Arc<Mutex<Vec<Arc<Worker>>>>,
    pub nodes: Vec<Node>,
    cloud: Server,
    folder: PathBuf,
}

impl Deployment {
    pub fn new(record: &Arc<Record>) -> Outcome<Self> {
        let workers: Arc<Mutex<Vec<Arc<Worker>>>> = Arc::default();
        let listed = Arc::clone(&workers);
        let cloud = Server::start("127.0.0.1:0", move |request| {
            if request.path == "/cornelpoint/machines" {
                let machines: Vec<String> =
                    lock(&listed).iter().map(|worker| worker.machine()).collect();
                let machines = machines.join(",");
                return Some((
                    200,
                    format!("{{\"machines\":[{machines}],\"next_page_token\":null}}"),
                ));
            }
            Some((409, "{\"reason\":\"busy\"}".to_owned()))
        });
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        Ok(Self {
            record: Arc::clone(record),
            store: Store::new(record),
            log: Arc::default(),
            workers,
            nodes: Vec::new(),
            cloud: cloud.map_err(text)?,
            folder,
        })
    }

    /// Starts processes, one in each of as many zones. One that can't listen, since another
    /// program has taken a port of its, is replaced by one with other ports.
    pub fn start_nodes(&mut self, count: usize, advice: &str) -> Outcome<()> {
        for (number, ports) in free_ports(count)?.into_iter().enumerate() {
            let name = format!("front-z-{number}-1");
            let store = self.store.open(&name).map_err(text)?;
            let node = self.start_node(number, ports, &store, advice)?;
            self.nodes.push(node);
        }
        for _ in 0..3 {
            thread::sleep(Duration::from_millis(200));
            for number in 0..count {
                if !self.nodes[number].is_up() {
                    let name = self.nodes[number].name.clone();
                    self.record.line(&format!("process {name} doesn't listen, is replaced"));
                    let store = self.store.open(&name).map_err(text)?;
                    let ports = free_ports(1)?[0];
                    self.nodes[number] = self.start_node(number, ports, &store, advice)?;
                }
            }
        }
        Ok(())
    }

    /// Starts a process that was killed again.
    pub fn restart(&mut self, name: &str) -> Outcome<()> {
        for node in self.nodes.iter_mut().filter(|node| node.name == name) {
            node.start()?;
            self.record.line(&format!("process {name} is started again"));
        }
        Ok(())
    }

    fn start_node(
        &self,
        number: usize,
        ports: [u16; 3],
        store: &str,
        advice: &str,
    ) -> Outcome<Node> {
        let name = format!("front-z-{number}-1");
        let [internal, front, ready] = ports;
        let front = format!("127.0.0.1:{front}");
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"manager\"\nmachine_class = \"front\"\n\
             serves = [\"front\"]\nip = \"127.0.0.1\"\nzone = \"z-{number}\"\nregion = \"z\"\n\
             internal_ports = [{internal},{internal}]\nseeds = []\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\
             \"platform\",\"advice\",\"upkeep\",\"sharing\"]\ncontrol_mode = \"call\"\n\
             advice = \"{advice}\"\n[listen]\nfront = \"{front}\"\n\
             ready = \"127.0.0.1:{ready}\"\n[limits]\ncpu_share = 0.25\ncores = 1\n\
             memory_mb = 260\nmax_fds = 4100\n[bounds]\n{BOUNDS}[platform]\n\
             address = \"{store}\"\nform = \"table\"\nwrites_per_s = 800\n\
             reads_per_s = 2000\ntx_ms = 8.0\nappends_per_s = 150\nrow_bytes = 65536\n\
             across = false\nhistory_s = 20\n[cloud]\naddress = \"{}\"\nrate_per_s = 64.0\n\
             duties = []\nduty_per_s = 64.0\n",
            self.cloud.address
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).map_err(text)?;
        self.record.line(&format!("process {name} started, callers at {front}"));
        let mut node = Node {
            output: self.folder.join(format!("{name}.log")),
            name,
            front,
            ports,
            settings: path,
            child: None,
        };
        node.start()?;
        Ok(node)
    }

    /// The operator writes a manifest.
    pub fn write_manifest(&self, version: u64, routes: &[Route], services: &[&str]) {
        let services: Vec<String> = services
            .iter()
            .map(|name| {
                format!(
                    "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":64,\
                     \"protocol\":\"h1\",\"tls\":false,\"admission_control\":false,\
                     \"spare\":false}}"
                )
            })
            .collect();
        let list: Vec<String> = routes.iter().map(Route::json).collect();
        let manifest = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            list.join(","),
            services.join(",")
        );
        self.store.write("op", "config", &manifest);
        let names: Vec<String> = routes
            .iter()
            .map(|route| format!("{} -> {}", route.prefix, route.service))
            .collect();
        self.record.line(&format!(
            "operator: manifest {version} confirmed, routes {}",
            names.join(", ")
        ));
    }

    /// Waits until jobs of a route are accepted and run to their end.
    pub fn wait_until_ready(&self, route: &Route, body: &str) -> Outcome<()> {
        let deadline = Instant::now() + Duration::from_secs(25);
        let mut number = 0;
        while Instant::now() < deadline {
            for node in &self.nodes {
                number += 1;
                let id = format!("00000000000f{number:04x}");
                let client = Client::new(&self.record, &route.host);
                let sent = client.post(&node.front, &format!("{}{id}", route.prefix), body);
                if sent == Some(200) {
                    let task = format!("{id}.0.0.0");
                    let started = Instant::now() + Duration::from_secs(6);
                    while Instant::now() < started {
                        let runs = self.log.all();
                        if runs.iter().any(|run| run.task == task && run.how == "done") {
                            return Ok(());
                        }
                        thread::sleep(Duration::from_millis(50));
                    }
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err("the deployment serves no job".to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route of a manifest.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub service: String,
    pub timeout_ms: u64,
    /// `decide_ms`, `each_ms`, `valid_ms`.
    pub advice: Option<(u64, u64, u64)>,
}

impl Route {
    pub fn new(name: &str, prefix: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            host: "plan.example".to_owned(),
            prefix: prefix.to_owned(),
            service: service.to_owned(),
            timeout_ms: 3000,
            advice: None,
        }
    }

    fn json(&self) -> String {
        let advice = self.advice.map(|(decide, each, valid)| {
            format!(
                ",\"advice\":{{\"decide_ms\":{decide},\"each_ms\":{each},\"valid_ms\":{valid}}}"
            )
        });
        format!(
            "{{\"name\":\"{}\",\"host\":\"{}\",\"prefix\":\"{}\",\"kind\":\"non_idempotent\",\
             \"timeout_ms\":{},\"slo_ms\":600,\"priority\":0,\"service\":\"{}\",\
             \"max_attempts\":2,\"stretch\":1.6{}}}",
            self.name,
            self.host,
            self.prefix,
            self.timeout_ms,
            self.service,
            advice.unwrap_or_default()
        )
    }
}

/// A caller.
pub struct Client {
    record: Arc<Record>,
    host: String,
}

impl Client {
    pub fn new(record: &Arc<Record>, host: &str) -> Self {
        Self {
            record: Arc::clone(record),
            host: host.to_owned(),
        }
    }

    /// Sends a request; returns the status and the body, `None` without a response.
    pub fn send(&self, at: &str, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let answer = call(at, method, path, &self.host, body, Duration::from_secs(3));
        let said = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no response".to_owned(),
        };
        self.record.line(&format!("client: {method} {path} at {at}: {said}"));
        answer
    }

    pub fn post(&self, at: &str, path: &str, body: &str) -> Option<u16> {
        self.send(at, "POST", path, body).map(|(status, _)| status)
    }
}

fn quoted(file: &str, name: &str) -> Option<String> {
    let (_, rest) = file.split_once(name)?;
    let rest = rest.strip_prefix('"')?;
    Some(rest.split('"').next()?.to_owned())
}

/// Ports that are free for TCP and UDP at this moment, three for each process. All are held
/// until the last one is chosen.
fn free_ports(processes: usize) -> Outcome<Vec<[u16; 3]>> {
    let mut held = Vec::new();
    let mut all = vec![[0; 3]; processes];
    for port in all.iter_mut().flatten() {
        loop {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
            *port = listener.local_addr().map_err(text)?.port();
            if let Ok(socket) = UdpSocket::bind(("127.0.0.1", *port)) {
                held.push((listener, socket));
                break;
            }
        }
    }
    Ok(all)
}

fn text(error: Error) -> String {
    error.to_string()
}
