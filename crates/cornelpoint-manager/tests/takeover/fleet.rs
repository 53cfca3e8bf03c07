use std::fs;
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::catalog::Queue;
use cornelpoint::ownership::OwnerRow;
use cornelpoint_platform::store::RowKey;
use platform_standin::operator;
use platform_standin::settings::InstanceSettings;
use platform_standin::store::StoreSettings;
use platform_standin::store::StoreStandIn;

use crate::caller::Caller;
use crate::instance::Instance;
use crate::slow_link;

/// Pool of the queue.
pub const POOL: &str = "planners";
/// Table of the owners' rows.
pub const CLUSTER_TABLE: &str = "cornelpoint-cluster";
/// Longest wait for a condition that nothing prevents.
const PATIENCE: Duration = Duration::from_secs(20);
/// Interval between checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Last byte of the next instance's address.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Three manager processes and a store, with one queue.
pub struct Fleet {
    pub store: StoreStandIn,
    pub instances: Vec<Instance>,
    pub queue: Queue,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the fleet and waits until every process knows the pool's owner.
    /// `test` names the folder with the output of the processes.
    pub fn start(test: &str, transaction_duration: Duration) -> Self {
        Self::start_with_links(test, transaction_duration, None)
    }

    /// The same with links to the store that carry so many bytes a second.
    pub fn start_with_links(
        test: &str,
        transaction_duration: Duration,
        bytes_per_s: Option<u64>,
    ) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join("takeover")
            .join(test);
        fs::create_dir_all(&folder).unwrap();
        let queue = queue();
        let settings = StoreSettings {
            transaction_duration,
        };
        let mut store = StoreStandIn::start(settings).unwrap();
        let configuration = operator::configuration(1, std::slice::from_ref(&queue));
        store.write(&operator::configuration_row(), &configuration);
        let instances = ["a-1", "b-1", "c-1"].map(|name| {
            let address = store.add_instance(name).unwrap();
            let address = match bytes_per_s {
                Some(bytes_per_s) => slow_link::open(address, bytes_per_s).unwrap(),
                None => address,
            };
            let settings = InstanceSettings {
                node: name.to_owned(),
                zone: name[..1].to_owned(),
                ip: own_ip(),
                store: address,
            };
            Instance::start(&settings, &folder)
        });
        let fleet = Self {
            store,
            instances: instances.into(),
            queue,
            folder,
        };
        for instance in &fleet.instances {
            let caller = fleet.caller(instance);
            wait_until("the count is answered", || caller.waiting() == Some(0));
        }
        fleet
    }

    /// Returns the owner's row of the pool.
    pub fn owner_row(&self) -> Option<OwnerRow> {
        let row = self
            .store
            .read(&RowKey::new(CLUSTER_TABLE, POOL, "owner"))?;
        rmp_serde::from_slice(&row.value?).ok()
    }

    /// Returns the instance that owns the pool.
    pub fn owner(&self) -> &Instance {
        let owner = self.owner_row().unwrap().node;
        let mut instances = self.instances.iter();
        instances.find(|instance| instance.name == owner).unwrap()
    }

    /// Returns the instances that do not own the pool.
    pub fn others(&self) -> Vec<&Instance> {
        let owner = &self.owner().name;
        let others = self.instances.iter();
        others.filter(|instance| instance.name != *owner).collect()
    }

    /// Returns the lines in the output of the processes that tell of a panic.
    pub fn panics(&self) -> Vec<String> {
        let logs = self.instances.iter().map(|instance| {
            let path = self.folder.join(format!("{}.log", instance.name));
            fs::read_to_string(path).unwrap()
        });
        let lines = logs.flat_map(|log| {
            let panics = log.lines().filter(|line| line.contains("panicked"));
            panics.map(str::to_owned).collect::<Vec<_>>()
        });
        lines.collect()
    }

    /// Returns a caller that sends its requests to an instance.
    pub fn caller(&self, instance: &Instance) -> Caller {
        Caller::new(instance.caller_address, &self.queue)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("output of the processes: {}", self.folder.display());
        }
    }
}

/// Waits for a condition, at most [`PATIENCE`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    assert!(holds_within(PATIENCE, condition), "never happened: {what}");
}

/// Whether a condition holds within a time.
pub fn holds_within(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > limit {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

/// Returns a loopback address that no other process uses: the ports of an
/// instance are fixed.
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
        pool: POOL.to_owned(),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 2000,
        objective_ms: 60_000,
        timeout_ms: 3000,
        advice: None,
        public: false,
    }
}
