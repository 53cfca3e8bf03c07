use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use cornelpoint::catalog::Catalog;
use cornelpoint::fleet::PoolReport;
use cornelpoint::fleet::WaveOrder;
use cornelpoint::inbox::OwnerContact;
use cornelpoint::job::JobId;
use cornelpoint::ownership::HeartbeatSchedule;
use cornelpoint::ownership::OwnershipPlanner;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::scheduler::MemoryLimits;
use cornelpoint_daemon::log::Component;
use cornelpoint_daemon::log::RootLog;
use cornelpoint_platform::settings::NodeSettings;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

use super::advice::AdviceEndpoint;
use super::call_refusals::CallRefusals;
use super::configuration::ConfigurationState;
use super::listener_refusals::ListenerRefusals;
use super::routes::RouteState;
use crate::clock;
use crate::edge;
use crate::edge::InboxWriter;
use crate::edge::UncertainJobs;
use crate::fleet_host::FleetHost;
use crate::http::BodyTimeouts;
use crate::http::HttpEndpoint;
use crate::http::Port;
use crate::http::ServerControl;
use crate::http::ServerLimits;
use crate::http::listen;
use crate::http::serve;
use crate::metrics::ProcessMetrics;
use crate::pool_host::PoolHost;
use crate::store::StoreClient;

/// Maximum number of connections to one peer; requests between peers are short.
const MAX_PEER_CONNECTIONS: usize = 8;
/// Maximum number of pools whose rows are read at the same time after takeovers: one
/// more than a slow link needs, since the store may not answer for one of them.
const MAX_RESTORES: usize = 2;
/// Delay before binding again an address that the previous process may still
/// hold.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retries while an address is in use.
const MAX_BIND_RETRIES: u32 = 30;

/// Last status of a pool that its owner reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolStatus {
    pub(crate) fencing_token: u64,
    pub(crate) received_ms: u64,
    /// When the store confirmed what the counts are based on, by the monotonic
    /// clock.
    pub(crate) view_confirmed_ms: u64,
    pub(crate) waiting: BTreeMap<String, usize>,
    pub(crate) report: PoolReport,
}

/// Checks of an owner's store heartbeat that were not made, since the last line
/// that told of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SkippedChecks {
    pub(super) logged_ms: u64,
    pub(super) count: u64,
    pub(super) failed_reads: u64,
}

/// State shared by the tasks of a manager process.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) started_unix_ms: u64,
    pub(crate) address: String,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Rc<ProcessMetrics>,
    pub(crate) edge_log: Logger,
    pub(crate) pool_log: Logger,
    pub(crate) platform_log: Logger,
    pub(crate) main_log: Logger,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    /// Memory of the smallest process that is known.
    pub(crate) least_memory_bytes: Cell<u64>,
    /// The text of the configuration and how recently it was confirmed.
    pub(super) configuration: ConfigurationState,
    pub(super) routes: RouteState,
    pub(crate) uncertain_jobs: RefCell<UncertainJobs>,
    pub(crate) advice: AdviceEndpoint,
    pub(super) call_refusals: CallRefusals,
    pub(crate) waves: RefCell<BTreeMap<u64, WaveOrder>>,
    pub(crate) planner: RefCell<OwnershipPlanner>,
    pub(crate) planner_changed: Notify,
    pub(crate) hosts: RefCell<BTreeMap<String, Rc<PoolHost>>>,
    pub(crate) claiming: RefCell<BTreeSet<String>>,
    /// Pools that this process has stopped to host, with the fencing tokens of its last terms.
    pub(crate) relinquished: RefCell<BTreeMap<String, u64>>,
    /// Permits to read the rows of a pool that was taken over.
    pub(crate) restores: Semaphore,
    pub(super) skipped_checks: RefCell<BTreeMap<String, SkippedChecks>>,
    /// Writers of the inboxes of pools whose owners can't be reached, by pool.
    pub(crate) inbox_writers: RefCell<BTreeMap<String, Rc<InboxWriter>>>,
    /// Connections to the owners of pools in other processes, by address.
    pub(crate) owner_contacts: RefCell<BTreeMap<String, OwnerContact>>,
    pub(crate) peers: RefCell<HashMap<String, Rc<HttpEndpoint>>>,
    pub(crate) peer_addresses: RefCell<BTreeMap<String, (String, u64)>>,
    pub(crate) pool_statuses: RefCell<BTreeMap<String, PoolStatus>>,
    pub(crate) fleet: RefCell<Option<Rc<FleetHost>>>,
    /// Workers to vacate by request of the fleet owner, and when the request was
    /// received.
    pub(crate) to_vacate: RefCell<(BTreeSet<String>, u64)>,
    /// Workers whose machines are due for maintenance, and when they were received,
    /// or sent by the fleet's owner.
    pub(crate) due: RefCell<(BTreeSet<String>, u64)>,
    /// When the last request by which the store confirmed the owner rows was sent,
    /// by the monotonic clock.
    pub(crate) confirmed_ms: Cell<u64>,
    pub(crate) leaving: Cell<bool>,
    pub(super) heartbeats: RefCell<HeartbeatSchedule>,
    pub(super) heartbeat_requested: Notify,
    /// When a change of load last requested a heartbeat.
    pub(super) load_reported_ms: Cell<u64>,
    pub(crate) servers: Rc<ServerControl>,
}

impl Node {
    /// Runs the process until it receives a signal to stop.
    pub(crate) async fn run(settings: NodeSettings, log: &RootLog) -> io::Result<()> {
        let now = clock::now();
        let address = format!("{}:{}", settings.ip, settings.internal_ports.0);
        let mut planner = OwnershipPlanner::new(
            &settings.node,
            now.unix_ms,
            now.steady_ms,
            OwnershipSettings::default(),
        );
        planner.set_millicores(settings.millicores);
        let metrics = Rc::new(ProcessMetrics::new());
        let store_log = log.component(Component::Platform);
        let store = StoreClient::new(&settings.store_address, Rc::clone(&metrics), store_log);
        let refusals = ListenerRefusals::new(Rc::clone(&metrics), log.component(Component::Edge));
        let limits = ServerLimits {
            memory_bytes: settings.memory_bytes,
            max_descriptors: settings.max_descriptors,
            body_timeouts: BodyTimeouts::default(),
        };
        let on_refusal = Box::new(move |port, reason| refusals.record(port, reason));
        let servers = Rc::new(ServerControl::new(&limits, on_refusal));
        let node = Rc::new(Self {
            started_unix_ms: now.unix_ms,
            address: address.clone(),
            store,
            metrics,
            edge_log: log.component(Component::Edge),
            pool_log: log.component(Component::Planner),
            platform_log: log.component(Component::Platform),
            main_log: log.component(Component::Main),
            catalog: RefCell::default(),
            least_memory_bytes: Cell::new(settings.memory_bytes),
            configuration: ConfigurationState::default(),
            routes: RouteState::default(),
            uncertain_jobs: RefCell::default(),
            advice: AdviceEndpoint::new(settings.advice_address.as_deref()),
            call_refusals: CallRefusals::default(),
            waves: RefCell::default(),
            planner: RefCell::new(planner),
            planner_changed: Notify::new(),
            hosts: RefCell::default(),
            relinquished: RefCell::default(),
            claiming: RefCell::default(),
            restores: Semaphore::new(MAX_RESTORES),
            skipped_checks: RefCell::default(),
            inbox_writers: RefCell::default(),
            owner_contacts: RefCell::default(),
            peers: RefCell::default(),
            peer_addresses: RefCell::default(),
            pool_statuses: RefCell::default(),
            fleet: RefCell::default(),
            to_vacate: RefCell::default(),
            due: RefCell::default(),
            confirmed_ms: Cell::new(0),
            leaving: Cell::new(false),
            heartbeats: RefCell::default(),
            heartbeat_requested: Notify::new(),
            load_reported_ms: Cell::new(0),
            servers,
            settings,
        });
        node.serve_all().await?;
        let socket = Rc::new(UdpSocket::bind(&address).await?);
        spawn_local(Rc::clone(&node).receive_heartbeats(Rc::clone(&socket)));
        spawn_local(Rc::clone(&node).send_heartbeats(socket));
        spawn_local(Rc::clone(&node).follow_operator());
        spawn_local(Rc::clone(&node).follow_routes());
        spawn_local(Rc::clone(&node).confirm_through_peers());
        spawn_local(Rc::clone(&node).follow_cluster());
        spawn_local(Rc::clone(&node).claim_shards());
        spawn_local(Rc::clone(&node).write_store_heartbeats());
        if node.settings.has_tenant_limits {
            spawn_local(Rc::clone(&node).follow_quota());
        }
        node.run_until_stopped().await
    }

    async fn serve_all(self: &Rc<Self>) -> io::Result<()> {
        let internal = bind(&self.address).await?;
        let node = Rc::clone(self);
        let servers = Rc::clone(&self.servers);
        spawn_local(serve(internal, Port::Peers, servers, move |request| {
            edge::handle_peer(Rc::clone(&node), request)
        }));
        if let Some(address) = &self.settings.caller_address {
            let callers = bind(address).await?;
            let node = Rc::clone(self);
            let servers = Rc::clone(&self.servers);
            spawn_local(serve(callers, Port::Callers, servers, move |request| {
                edge::handle_caller(Rc::clone(&node), request)
            }));
        }
        if let Some(address) = &self.settings.ready_address {
            let balancer = bind(address).await?;
            let node = Rc::clone(self);
            let servers = Rc::clone(&self.servers);
            spawn_local(serve(balancer, Port::Balancer, servers, move |request| {
                edge::handle_balancer(Rc::clone(&node), request)
            }));
        }
        Ok(())
    }

    /// Returns the current configuration; `None` until the first one is read.
    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Whether a submission of a job by this process may still be written.
    pub(crate) fn is_uncertain(&self, job: JobId) -> bool {
        let now_ms = clock::now().steady_ms;
        self.uncertain_jobs.borrow().contains(job, now_ms)
    }

    /// Returns what the jobs of a pool may hold: they have to fit the smallest process.
    pub(crate) fn memory_limits(&self, catalog: &Catalog) -> MemoryLimits {
        MemoryLimits::new(self.least_memory_bytes.get(), catalog.pools.len())
    }

    /// Whether this process reaches neither the store nor most peers; another
    /// process should serve callers then.
    pub(crate) fn is_isolated(&self) -> bool {
        let now_ms = clock::now().steady_ms;
        !self.store.is_available() && !self.planner.borrow().most_peers_responsive(now_ms)
    }

    /// Returns the connection pool to a peer, creating it on first use.
    pub(crate) fn peer(&self, address: &str) -> Rc<HttpEndpoint> {
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .entry(address.to_owned())
            .or_insert_with(|| Rc::new(HttpEndpoint::new(address, MAX_PEER_CONNECTIONS)));
        Rc::clone(peer)
    }

    /// Returns the writer of a pool's inbox, creating it on first use.
    pub(crate) fn inbox_writer(&self, pool: &str) -> Rc<InboxWriter> {
        let mut writers = self.inbox_writers.borrow_mut();
        let writer = writers
            .entry(pool.to_owned())
            .or_insert_with(|| Rc::new(InboxWriter::new(&self.settings.node, pool)));
        Rc::clone(writer)
    }

    /// Returns the host of a pool if this process owns the pool.
    pub(crate) fn host(&self, pool: &str) -> Option<Rc<PoolHost>> {
        self.hosts.borrow().get(pool).cloned()
    }
}

/// Binds an address, retrying while the previous process on the machine still
/// holds it.
async fn bind(address: &str) -> io::Result<TcpListener> {
    let mut retries = 0;
    loop {
        match listen(address).await {
            Err(error)
                if retries < MAX_BIND_RETRIES && error.kind() == io::ErrorKind::AddrInUse =>
            {
                retries += 1;
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            bound => return bound,
        }
    }
}
