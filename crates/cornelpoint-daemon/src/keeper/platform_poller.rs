use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Head;
use cornelpoint::configuration::RecordError;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::decode_body;
use cornelpoint::configuration::head_key;
use cornelpoint::membership::Member;
use cornelpoint::name::AvailabilityZone;
use cornelpoint::name::InstanceId;
use cornelpoint::name::WorkspaceName;
use cornelpoint::platform::Scan;
use cornelpoint::rendezvous::choose_several;
use cornelpoint::replication::DrainRecord;
use cornelpoint::replication::Update;

use super::command::Command;
use super::state_handle::StateHandle;
use crate::platform_client::PlatformClient;
use crate::platform_client::PlatformError;
use crate::settings::KeeperSettings;

/// Number of keepers per availability zone that poll the platform.
const POLLERS_PER_ZONE: usize = 1;
/// Maximum number of operators' marks read at the start.
const MAX_MARK_ROWS: u32 = 100_000;
/// Longest delay after failures, as a multiple of the poll interval.
const MAX_BACKOFF_FACTOR: u32 = 16;
/// Interval at which a waiting thread checks the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Polls the platform for the newest generation and the instance list.
///
/// Only `POLLERS_PER_ZONE` keepers of an availability zone poll; the others
/// receive the updates by replication. A keeper without any configuration polls
/// for itself.
#[derive(Debug)]
pub(super) struct PlatformPoller {
    state_handle: StateHandle,
    platform: PlatformClient,
    own: InstanceId,
    availability_zone: AvailabilityZone,
    workspace: WorkspaceName,
    interval: Duration,
    backoff_factor: u32,
    marks_loaded: bool,
    stop: Arc<AtomicBool>,
}

impl PlatformPoller {
    pub(super) fn new(
        state_handle: StateHandle,
        platform: PlatformClient,
        settings: &KeeperSettings,
        stop: Arc<AtomicBool>,
    ) -> Self {
        Self {
            state_handle,
            platform,
            own: settings.instance.clone(),
            availability_zone: settings.availability_zone.clone(),
            workspace: settings.workspace.clone(),
            interval: Duration::from_millis(settings.platform_poll_ms),
            backoff_factor: 1,
            marks_loaded: false,
            stop,
        }
    }

    /// Polls until the stop flag is set.
    pub(super) fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.should_poll() {
                let result = self.poll();
                self.state_handle
                    .send(Command::PlatformReachable(result.is_ok()));
                self.backoff_factor = match result {
                    Ok(()) => 1,
                    Err(_) => (self.backoff_factor * 2).min(MAX_BACKOFF_FACTOR),
                };
            }
            self.wait();
        }
    }

    fn should_poll(&self) -> bool {
        let Some(generation) = self.state_handle.request(Command::Generation) else {
            return false;
        };
        if generation == Generation(0) {
            return true;
        }
        let members: Vec<Member> = self
            .state_handle
            .request(Command::Members)
            .unwrap_or_default();
        let in_zone = members
            .iter()
            .filter(|member| member.availability_zone == self.availability_zone)
            .map(|member| &member.instance);
        choose_several(0, in_zone, POLLERS_PER_ZONE).contains(&&self.own)
    }

    fn poll(&mut self) -> Result<(), PlatformError> {
        self.load_marks()?;
        if let Some(configuration) = self.newer_configuration()? {
            self.state_handle.send(Command::Apply(Update {
                configuration: Some(configuration),
                marks: Vec::new(),
            }));
        }
        let list = self.platform.instances()?;
        self.state_handle.send(Command::InstanceList(list));
        Ok(())
    }

    /// Reads the operators' marks once; later ones arrive by replication.
    fn load_marks(&mut self) -> Result<(), PlatformError> {
        if self.marks_loaded {
            return Ok(());
        }
        let rows = self.platform.scan(&Scan {
            table: DrainRecord::TABLE.to_owned(),
            prefix: DrainRecord::prefix(&self.workspace),
            limit: MAX_MARK_ROWS,
        })?;
        let records = rows.iter().filter_map(|row| DrainRecord::decode(row).ok());
        self.state_handle.send(Command::Apply(Update {
            configuration: None,
            marks: records.map(|record| record.mark).collect(),
        }));
        self.marks_loaded = true;
        Ok(())
    }

    fn newer_configuration(&self) -> Result<Option<Configuration>, PlatformError> {
        let rows = self.platform.read(&[head_key(&self.workspace)])?;
        let Some(head) = rows.first() else {
            return Ok(None);
        };
        let head = Head::decode(head).map_err(|error| malformed(&error))?;
        let known = self
            .state_handle
            .request(Command::Generation)
            .unwrap_or_default();
        if head.generation <= known {
            return Ok(None);
        }
        let rows = self
            .platform
            .read(&[body_key(&self.workspace, head.generation)])?;
        let body = rows.first().map(decode_body).transpose();
        body.map_err(|error| malformed(&error))
    }

    /// Waits for the poll interval, with exponential backoff after failures.
    fn wait(&self) {
        let mut left = self.interval * self.backoff_factor;
        while !left.is_zero() && !self.stop.load(Ordering::Relaxed) {
            let step = left.min(STOP_CHECK_INTERVAL);
            thread::sleep(step);
            left -= step;
        }
    }
}

fn malformed(error: &RecordError) -> PlatformError {
    PlatformError::Malformed {
        found: error.to_string(),
    }
}
