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
use super::core::Core;
use super::core_handle::CoreHandle;
use super::gauges;
use super::gossip;
use super::keeper_error::KeeperError;
use super::operator::Operator;
use super::peer_sync::PeerSync;
use super::platform_watch::PlatformWatch;
use super::routes::Routes;
use super::state::State;
use crate::clock::MonotonicClock;
use crate::clock::unix_ms;
use crate::control::ControlClient;
use crate::control::ControlServer;
use crate::metrics::GaugeThread;
use crate::metrics::Metrics;
use crate::platform_client::PlatformClient;
use crate::settings::KeeperSettings;

/// Commands that may wait for the thread that owns the state.
const COMMAND_RING: usize = 1024;
/// News that may wait to be pushed.
const NEWS_RING: usize = 256;
/// Longest wait for a datagram before the stop flag is looked at.
const GOSSIP_WAIT: Duration = Duration::from_millis(100);
/// Longest wait for an answer of another keeper.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which the others take over before a stopping keeper ends.
const HAND_OVER: Duration = Duration::from_millis(500);

/// A running keeper.
#[derive(Debug)]
pub struct Keeper {
    control: ControlServer,
    gossip_address: SocketAddr,
    core: CoreHandle,
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
    /// When an address cannot be listened on, or metrics cannot be sent.
    pub fn start(settings: &KeeperSettings, logger: Logger) -> Result<Self, Report<KeeperError>> {
        let clock = MonotonicClock::start();
        let metrics = Metrics::from_settings("keeper", settings.metrics)
            .change_context(KeeperError::Metrics)?;
        let socket = UdpSocket::bind(settings.gossip_listen).change_context(KeeperError::Gossip)?;
        socket
            .set_read_timeout(Some(GOSSIP_WAIT))
            .change_context(KeeperError::Gossip)?;
        let gossip_address = socket.local_addr().change_context(KeeperError::Gossip)?;
        let (ring, commands) = sync_channel(COMMAND_RING);
        let (news_ring, news) = sync_channel(NEWS_RING);
        let core = CoreHandle::new(ring);
        let platform = PlatformClient::new(
            settings.platform,
            Duration::from_millis(settings.platform_timeout_ms),
        )
        .with_metrics(metrics.clone());

        let routes = Routes {
            core: core.clone(),
            operator: Operator::new(core.clone(), platform.clone(), settings.workspace.clone()),
        };
        let control =
            ControlServer::start(settings.listen, settings.control_connections, move |r| {
                routes.answer(r)
            })
            .change_context(KeeperError::Control)?;

        let membership = Membership::new(
            own_member(settings, control.address(), gossip_address),
            settings.seeds.clone(),
            MembershipSettings::default(),
            unix_ms(),
            clock.now_ms(),
        );
        let owner = Core {
            state: State::new(membership, settings.slot_lease_ms),
            clock,
            socket: socket.try_clone().change_context(KeeperError::Gossip)?,
            commands,
            news: news_ring,
            logger: logger.clone(),
        };
        let sync = PeerSync {
            core: core.clone(),
            own: settings.instance.clone(),
            client: ControlClient::new(PEER_TIMEOUT),
            news,
            interval: Duration::from_millis(settings.sync_interval_ms),
            positions: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(unix_ms()),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let watch = PlatformWatch::new(core.clone(), platform, settings, Arc::clone(&stop));
        let receiver = {
            let core = core.clone();
            let stop = Arc::clone(&stop);
            thread::spawn(move || gossip::receive(&socket, &core, &stop))
        };
        let threads = vec![
            thread::spawn(move || owner.run()),
            thread::spawn(move || sync.run()),
            thread::spawn(move || watch.run()),
            receiver,
        ];
        let gauges = settings.metrics.map(|_| {
            let core = core.clone();
            GaugeThread::start(metrics, move |metrics| gauges::report(&core, metrics))
        });
        info!(logger, "Keeper started."; "address" => %control.address());
        Ok(Self {
            control,
            gossip_address,
            core,
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

    /// Address for probes.
    #[must_use]
    pub fn gossip_address(&self) -> SocketAddr {
        self.gossip_address
    }

    /// Leaves the membership, lets the others take over, and ends.
    pub fn stop(self) {
        info!(self.logger, "Keeper stops.");
        let _ = self.core.ask(Command::Leave);
        thread::sleep(HAND_OVER);
        self.end();
    }

    /// Ends at once, as a killed process would.
    pub fn kill(self) {
        self.end();
    }

    fn end(self) {
        if let Some(gauges) = self.gauges {
            gauges.stop();
        }
        self.stop.store(true, Ordering::Relaxed);
        self.core.tell(Command::End);
        self.control.stop();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// The first incarnation is the time of the start, so that a restarted keeper
/// is newer than all that was said of it before.
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
