//! The processes under test.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use crate::record;

/// An entry instance with its process.
pub struct Manager {
    pub name: String,
    pub front: SocketAddr,
    child: Child,
}

/// Returns ports that are free for TCP and UDP; all are held until the last is chosen.
fn free_ports() -> std::io::Result<[u16; 3]> {
    let mut held = Vec::new();
    let mut ports = Vec::new();
    while ports.len() < 3 && held.len() < 50 {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let datagrams = UdpSocket::bind(("127.0.0.1", port));
        if datagrams.is_ok() {
            ports.push(port);
        }
        held.push((listener, datagrams));
    }
    ports
        .try_into()
        .map_err(|_| std::io::Error::other("no free ports"))
}

impl Manager {
    /// Starts the program of the deploy file with a settings file.
    pub fn start(
        folder: &Path,
        name: &str,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> std::io::Result<Self> {
        let [front, ready, internal] = free_ports()?;
        let settings = settings(name, front, ready, internal, store, cloud);
        let path: PathBuf = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/cornelpoint-manager")
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| matches!(name.as_str(), "PATH" | "HOME" | "LANG")),
            )
            .env("CORNELPOINT_CONFIG", &path)
            .env("MIMALLOC_PURGE_DELAY", "0")
            .env("MIMALLOC_ARENA_EAGER_COMMIT", "0")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record::note(&format!("process of {name} starts"));
        Ok(Self {
            name: name.to_owned(),
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            child,
        })
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        record::note(&format!("process of {} is killed", self.name));
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(
    name: &str,
    front: u16,
    ready: u16,
    internal: u16,
    store: SocketAddr,
    cloud: SocketAddr,
) -> String {
    format!(
        r#"node_name = "{name}"
role = "manager"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "hu-central-a"
region = "hu-central"
internal_ports = [{internal},{internal}]
seeds = []
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
control_mode = "call"
[zones]
hu-central-a = "hu-central"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
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
