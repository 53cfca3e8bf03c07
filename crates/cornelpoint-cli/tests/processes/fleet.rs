use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::configuration::Generation;
use cornelpoint_standin::history::History;
use cornelpoint_standin::history::Recorder;
use serde_json::Value;

use super::process::Process;
use super::settings;
use super::zone::Zone;
use super::zone::free_address;
use super::zone::get;

/// Availability zones; each has a gateway, a keeper and an endpoint.
pub const ZONES: [&str; 2] = ["a", "b"];

/// Longest wait for a condition; reached only if the test hangs.
const TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fleet of processes with one service, `quoting`.
pub struct Fleet {
    pub gateways: Vec<Process>,
    pub keepers: Vec<Process>,
    pub zones: Vec<Zone>,
    stand_ins: Vec<Process>,
    folder: PathBuf,
    platform: SocketAddr,
}

impl Fleet {
    /// Starts all processes, accepts a configuration and waits until each
    /// gateway answers requests.
    pub fn start() -> Self {
        let mut fleet = Self {
            gateways: Vec::new(),
            keepers: Vec::new(),
            zones: ZONES.map(Zone::free).into(),
            stand_ins: Vec::new(),
            folder: new_folder(),
            platform: free_address(),
        };
        fleet.start_stand_ins();
        for number in 0..ZONES.len() {
            let keeper = fleet.start_keeper(number);
            fleet.keepers.push(keeper);
            let gateway = fleet.start_gateway(number);
            fleet.gateways.push(gateway);
        }
        for zone in &fleet.zones {
            wait_for("a keeper", || get(zone.keeper, "/dump").is_some());
        }
        fleet.accept(100);
        for zone in &fleet.zones {
            wait_for("a gateway", || {
                get(zone.callers, "/quoting/first").is_some()
            });
        }
        fleet
    }

    // Queries.

    /// Returns whether a gateway passes its health check.
    pub fn is_healthy(&self, number: usize) -> bool {
        get(self.zones[number].gateway_control, "/health").is_some()
    }

    /// Returns the generation that a gateway applies, if it answers.
    pub fn generation(&self, number: usize) -> Option<Generation> {
        let dump = get(self.zones[number].gateway_control, "/dump")?;
        serde_json::from_value(dump["generation"].clone()).ok()
    }

    /// Returns the number of requests that wait or run at a gateway.
    pub fn requests(&self, number: usize) -> u64 {
        let dump = get(self.zones[number].gateway_control, "/dump");
        dump.map_or(0, |dump| dump["dispatcher"]["requests"].as_u64().unwrap())
    }

    /// Returns the number of requests that run at the endpoints.
    pub fn running(&self) -> usize {
        let dumps = self.zones.iter().map(Zone::endpoint_dump);
        dumps.map(|dump| dump.running + dump.abandoned).sum()
    }

    /// Returns the number of runs that the endpoints have started.
    pub fn runs(&self) -> usize {
        self.zones.iter().map(|zone| zone.runs().len()).sum()
    }

    // Commands.

    /// Runs the command line against the first keeper.
    pub fn command(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_cornelpoint"))
            .args(arguments)
            .args(["--keeper", &self.zones[0].keeper.to_string()])
            .output()
            .unwrap()
    }

    /// Accepts a configuration with the given queue limit.
    pub fn accept(&self, queue_limit: u64) {
        let template = self.write("template.json", &settings::template(queue_limit));
        let workspace = self.write("workspace.json", &settings::workspace(&self.zones));
        let files = [template.to_str().unwrap(), workspace.to_str().unwrap()];
        let change = ["--why", "test", "--who", "operator"];
        let output = self.command(&[&["workspace", "accept"], &files[..], &change].concat());
        assert!(output.status.success(), "{output:?}");
    }

    /// Stops the remaining daemons, waits until the endpoints are idle, stops
    /// the stand-ins, expects exit code 0 of each process, and returns the history.
    pub fn finish(mut self, recorder: Recorder) -> History {
        let daemons = self.gateways.drain(..).chain(self.keepers.drain(..));
        for mut process in daemons {
            assert_eq!(process.terminate(), Some(0));
        }
        wait_for("idle endpoints", || self.running() == 0);
        let mut history = recorder.into_history();
        for zone in &self.zones {
            history.endpoints.push(zone.endpoint_dump());
            history.runs.extend(zone.runs());
        }
        for mut process in self.stand_ins.drain(..) {
            assert_eq!(process.terminate(), Some(0));
        }
        history
    }

    fn write(&self, file: &str, content: &Value) -> PathBuf {
        let path = self.folder.join(file);
        fs::write(&path, content.to_string()).unwrap();
        path
    }

    fn start_stand_ins(&mut self) {
        let platform = settings::platform(self.platform);
        let settings = self.write("platform.json", &platform);
        let platform = Process::start("cornelpoint-platform-standin", &settings);
        self.stand_ins.push(platform);
        for zone in &self.zones {
            let file = format!("endpoint-{}.json", zone.name);
            let settings = self.write(&file, &settings::endpoints(zone));
            let endpoint = Process::start("cornelpoint-endpoint-standin", &settings);
            self.stand_ins.push(endpoint);
        }
    }

    fn start_keeper(&self, number: usize) -> Process {
        let settings = settings::keeper(&self.zones, number, self.platform);
        let settings = self.write(&format!("keeper-{number}.json"), &settings);
        Process::start("cornelpoint-keeper", &settings)
    }

    fn start_gateway(&self, number: usize) -> Process {
        let settings = settings::gateway(&self.zones, number, self.platform);
        let settings = self.write(&format!("gateway-{number}.json"), &settings);
        Process::start("cornelpoint-gateway", &settings)
    }
}

/// Starts a keeper without other processes and waits until it answers at its address.
pub fn start_single_keeper(platform: SocketAddr) -> (Process, SocketAddr) {
    let zone = Zone::free(ZONES[0]);
    let address = zone.keeper;
    let path = new_folder().join("keeper.json");
    let settings = settings::keeper(&[zone], 0, platform);
    fs::write(&path, settings.to_string()).unwrap();
    let keeper = Process::start("cornelpoint-keeper", &path);
    wait_for("a keeper", || get(address, "/dump").is_some());
    (keeper, address)
}

/// Waits until a condition holds.
pub fn wait_for(expected: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "expected {expected}, timed out");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the instance name of a gateway.
pub fn gateway_name(number: usize) -> String {
    format!("gateway-{}", ZONES[number])
}

fn new_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("processes-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).unwrap();
    folder
}
