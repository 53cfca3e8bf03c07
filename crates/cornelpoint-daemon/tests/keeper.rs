//! A single keeper over loopback TCP, with an unreachable platform.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::WorkspaceName;
use cornelpoint::replication::EndpointMark;
use cornelpoint::replication::MarkCause;
use cornelpoint::replication::Update;
use cornelpoint_daemon::control::ControlClient;
use cornelpoint_daemon::keeper::Keeper;
use cornelpoint_daemon::message::EndpointSign;
use cornelpoint_daemon::message::KeeperStatus;
use cornelpoint_daemon::settings::KeeperSettings;
use slog::Discard;
use slog::Logger;
use slog::o;

/// Far longer than any call here takes; only a hang reaches it.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn endpoint() -> InstanceId {
    InstanceId::try_from("quoting-1").unwrap()
}

struct Fixture {
    keeper: Keeper,
    client: ControlClient,
}

impl Fixture {
    fn start() -> Self {
        let settings = KeeperSettings {
            instance: InstanceId::try_from("entry-1").unwrap(),
            availability_zone: AvailabilityZone::try_from("hu-central-a").unwrap(),
            workspace: WorkspaceName::try_from("hu-central").unwrap(),
            listen: any_port(),
            gossip_listen: any_port(),
            seeds: Vec::new(),
            platform: SocketAddr::from(([127, 0, 0, 1], 9)),
            metrics: None,
            platform_timeout_ms: 100,
            platform_poll_ms: 100,
            sync_interval_ms: 100,
            slot_lease_ms: 900,
            memory_mb: 80,
            max_descriptors: 4100,
            control_connections: 256,
            max_message_bytes: 1_835_008,
        };
        Self {
            keeper: Keeper::start(&settings, Logger::root(Discard, o!())).unwrap(),
            client: ControlClient::new(HANG_TIMEOUT),
        }
    }

    fn push_instance_list(&self, epoch: u64, accepts_work: bool) {
        let update = Update {
            configuration: None,
            marks: vec![EndpointMark {
                instance: endpoint(),
                epoch,
                accepts_work,
                cause: MarkCause::InstanceList,
            }],
        };
        self.notify("/peer/push", &update);
    }

    fn announce_leaving(&self, work_epoch: u64) {
        let announcement = EndpointSign {
            instance: endpoint(),
            accepts_work: false,
            work_epoch,
        };
        self.notify("/peer/sign", &announcement);
    }

    fn notify<Q: serde::Serialize>(&self, path: &str, message: &Q) {
        let address = self.keeper.address();
        self.client.call::<_, ()>(address, path, message).unwrap();
    }

    fn endpoint_marks(&self) -> Vec<EndpointMark> {
        let address = self.keeper.address();
        let status: KeeperStatus = self.client.get_json(address, "/operator/status").unwrap();
        let mut marks = status.marks;
        marks.retain(|mark| mark.cause == MarkCause::Endpoint);
        marks
    }
}

#[test]
fn ignores_an_announcement_from_before_a_restart() {
    let fixture = Fixture::start();
    fixture.push_instance_list(2, true);
    fixture.announce_leaving(1);
    assert_eq!(fixture.endpoint_marks(), []);
    fixture.keeper.kill();
}

#[test]
fn an_announcement_to_leave_stops_new_work() {
    let fixture = Fixture::start();
    fixture.push_instance_list(1, true);
    fixture.announce_leaving(1);
    let marks = fixture.endpoint_marks();
    assert_eq!(marks.len(), 1);
    assert!(!marks[0].accepts_work);
    fixture.keeper.kill();
}

#[test]
fn is_not_ready_without_platform_and_peers() {
    let fixture = Fixture::start();
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(300) {
        assert!(!fixture.client.is_healthy(fixture.keeper.address()));
        thread::sleep(Duration::from_millis(20));
    }
    fixture.keeper.kill();
}
