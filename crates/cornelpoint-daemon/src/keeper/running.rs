use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use cornelpoint::connection_budget::ProcessLimits;
use cornelpoint::membership::Member;
use cornelpoint::membership::MemberStatus;
use cornelpoint::membership::Membership;
use cornelpoint::membership::MembershipSettings;
use error_stack::Report;
use error_stack::ResultExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use slog::info;

use super::command::Command;
use super::gauges;
use super::gossip;
use super::keeper_error::KeeperError;
use super::operator::Operator;
use super::peer_sync::PeerSync;
use super::platform_poller::PlatformPoller;
use super::reply_gate::ReplyGate;
use super::routes::Routes;
use super::routes::classify;
use super::state::State;
use super::state_handle::StateHandle;
use super::state_loop::StateLoop;
use crate::clock::MonotonicClock;
use crate::clock::unix_ms;
use crate::control::ControlClient;
use crate::control::ControlServer;
use crate::control::ControlSettings;
use crate::metrics::GaugeThread;
use crate::metrics::Metrics;
use crate::platform_client::PlatformClient;
use crate::settings::BYTES_PER_MB;
use crate::settings::KeeperSettings;

/// Capacity of the state loop's command queue.
const COMMAND_QUEUE_LENGTH: usize = 1024;
/// Capacity of the queue of updates to push to peers.
const UPDATE_QUEUE_LENGTH: usize = 256;
/// Read timeout of the gossip socket, after which the stop flag is checked.
const GOSSIP_READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of a call to another keeper.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a stopping keeper leaves the others to take over its slots.
const TAKEOVER_WAIT: Duration = Duration::from_millis(500);

/// A running keeper.
#[derive(Debug)]
pub struct Keeper {
    control: ControlServer,
    gossip_address: SocketAddr,
    state_handle: StateHandle,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    gauges: Option<GaugeThread>,
    logger: Logger,
}

impl Keeper {
    /// Starts the keeper's threads.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound or the metrics socket cannot be opened.
    pub fn start(settings: &KeeperSettings, logger: Logger) -> Result<Self, Report<KeeperError>> {
        let clock = MonotonicClock::start();
        let metrics = Metrics::from_settings("keeper", settings.metrics)
            .change_context(KeeperError::Metrics)?;
        let socket = UdpSocket::bind(settings.gossip_listen).change_context(KeeperError::Gossip)?;
        socket
            .set_read_timeout(Some(GOSSIP_READ_TIMEOUT))
            .change_context(KeeperError::Gossip)?;
        let gossip_address = socket.local_addr().change_context(KeeperError::Gossip)?;
        let (command_sender, commands) = sync_channel(COMMAND_QUEUE_LENGTH);
        let (update_sender, updates) = sync_channel(UPDATE_QUEUE_LENGTH);
        let state_handle = StateHandle::new(command_sender);
        let platform = PlatformClient::new(
            settings.platform,
            Duration::from_millis(settings.platform_timeout_ms),
        )
        .with_metrics(metrics.clone());

        let routes = Routes {
            state_handle: state_handle.clone(),
            peer_replies: ReplyGate::default(),
            operator_replies: ReplyGate::default(),
            operator: Operator::new(
                state_handle.clone(),
                platform.clone(),
                settings.workspace.clone(),
            ),
        };
        let control_settings = control_settings(settings, metrics.clone());
        let control = ControlServer::start(control_settings, move |r| routes.answer(r))
            .change_context(KeeperError::Control)?;

        let membership = Membership::new(
            own_member(settings, control.address(), gossip_address),
            settings.seeds.clone(),
            MembershipSettings::default(),
            unix_ms(),
            clock.now_ms(),
        );
        let state_loop = StateLoop {
            state: State::new(membership, settings.slot_lease_ms),
            clock,
            socket: socket.try_clone().change_context(KeeperError::Gossip)?,
            commands,
            updates: update_sender,
            logger: logger.clone(),
        };
        let sync = PeerSync {
            state_handle: state_handle.clone(),
            own: settings.instance.clone(),
            client: ControlClient::new(PEER_TIMEOUT),
            updates,
            interval: Duration::from_millis(settings.sync_interval_ms),
            positions: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(unix_ms()),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let poller =
            PlatformPoller::new(state_handle.clone(), platform, settings, Arc::clone(&stop));
        let receiver = {
            let state_handle = state_handle.clone();
            let stop = Arc::clone(&stop);
            thread::spawn(move || gossip::receive(&socket, &state_handle, &stop))
        };
        let threads = vec![
            thread::spawn(move || state_loop.run()),
            thread::spawn(move || sync.run()),
            thread::spawn(move || poller.run()),
            receiver,
        ];
        let gauges = settings.metrics.map(|_| {
            let state_handle = state_handle.clone();
            GaugeThread::start(metrics, move |metrics| {
                gauges::report(&state_handle, metrics);
            })
        });
        info!(logger, "Keeper started."; "address" => %control.address());
        Ok(Self {
            control,
            gossip_address,
            state_handle,
            stop,
            threads,
            gauges,
            logger,
        })
    }

    /// Address of the HTTP interface.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// UDP address for gossip.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.gossip_address
    }

    /// Leaves the membership, waits for the others to take over, and stops.
    pub fn stop(self) {
        info!(self.logger, "Keeper is stopping.");
        let _ = self.state_handle.request(Command::Leave);
        thread::sleep(TAKEOVER_WAIT);
        self.end();
    }

    /// Stops without leaving the membership, like a killed process.
    pub fn kill(self) {
        self.end();
    }

    fn end(self) {
        if let Some(gauges) = self.gauges {
            gauges.stop();
        }
        self.stop.store(true, Ordering::Relaxed);
        self.state_handle.send(Command::Stop);
        self.control.stop();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn control_settings(settings: &KeeperSettings, metrics: Metrics) -> ControlSettings {
    let limits = ProcessLimits {
        memory_bytes: settings.memory_mb * BYTES_PER_MB,
        max_descriptors: settings.max_descriptors,
    };
    ControlSettings {
        listen: settings.listen,
        limits: limits.keeper(settings.control_connections),
        max_message_bytes: settings.max_message_bytes,
        classify,
        metrics,
    }
}

/// Returns this keeper's own member entry. Its first incarnation is the start
/// time, so that a restarted keeper supersedes all earlier gossip about it.
fn own_member(
    settings: &KeeperSettings,
    keeper_address: SocketAddr,
    gossip_address: SocketAddr,
) -> Member {
    Member {
        instance: settings.instance.clone(),
        availability_zone: settings.availability_zone.clone(),
        incarnation: unix_ms(),
        status: MemberStatus::Live,
        keeper_address,
        gossip_address,
    }
}
