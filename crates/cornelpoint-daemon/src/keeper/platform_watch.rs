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
use super::core_handle::CoreHandle;
use crate::platform_client::PlatformClient;
use crate::platform_client::PlatformError;
use crate::settings::KeeperSettings;

/// Keepers of an availability zone that read the platform.
const POLLERS_PER_ZONE: usize = 1;
/// Most operators' marks that are read at the start.
const MARKS_LIMIT: u32 = 100_000;
/// Longest wait after failures, as a multiple of the interval.
const MAX_BACK_OFF: u32 = 16;
/// Time between two looks at the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Reads the newest generation and the instance list from the platform.
///
/// Few keepers of a zone do so; the others hear of it from them. While no
/// configuration is known at all, each keeper reads for itself.
#[derive(Debug)]
pub(super) struct PlatformWatch {
    core: CoreHandle,
    platform: PlatformClient,
    own: InstanceId,
    availability_zone: AvailabilityZone,
    workspace: WorkspaceName,
    interval: Duration,
    back_off: u32,
    marks_loaded: bool,
    stop: Arc<AtomicBool>,
}

impl PlatformWatch {
    pub(super) fn new(
        core: CoreHandle,
        platform: PlatformClient,
        settings: &KeeperSettings,
        stop: Arc<AtomicBool>,
    ) -> Self {
        Self {
            core,
            platform,
            own: settings.instance.clone(),
            availability_zone: settings.availability_zone.clone(),
            workspace: settings.workspace.clone(),
            interval: Duration::from_millis(settings.platform_poll_ms),
            back_off: 1,
            marks_loaded: false,
            stop,
        }
    }

    /// Runs until told to stop.
    pub(super) fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            if self.reads() {
                let result = self.read();
                self.core.tell(Command::PlatformReachable(result.is_ok()));
                self.back_off = match result {
                    Ok(()) => 1,
                    Err(_) => (self.back_off * 2).min(MAX_BACK_OFF),
                };
            }
            self.wait();
        }
    }

    fn reads(&self) -> bool {
        let Some(generation) = self.core.ask(Command::Generation) else {
            return false;
        };
        if generation == Generation(0) {
            return true;
        }
        let members: Vec<Member> = self.core.ask(Command::Members).unwrap_or_default();
        let in_zone = members
            .iter()
            .filter(|member| member.availability_zone == self.availability_zone)
            .map(|member| &member.instance);
        choose_several(0, in_zone, POLLERS_PER_ZONE).contains(&&self.own)
    }

    fn read(&mut self) -> Result<(), PlatformError> {
        self.load_marks()?;
        if let Some(configuration) = self.newer_configuration()? {
            self.core.tell(Command::Apply(Update {
                configuration: Some(configuration),
                marks: Vec::new(),
            }));
        }
        let list = self.platform.instances()?;
        self.core.tell(Command::Listed(list));
        Ok(())
    }

    /// Reads the operators' marks once; later ones come from other keepers.
    fn load_marks(&mut self) -> Result<(), PlatformError> {
        if self.marks_loaded {
            return Ok(());
        }
        let rows = self.platform.scan(&Scan {
            table: DrainRecord::TABLE.to_owned(),
            prefix: DrainRecord::prefix(&self.workspace),
            limit: MARKS_LIMIT,
        })?;
        let records = rows.iter().filter_map(|row| DrainRecord::decode(row).ok());
        self.core.tell(Command::Apply(Update {
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
        let known = self.core.ask(Command::Generation).unwrap_or_default();
        if head.generation <= known {
            return Ok(None);
        }
        let rows = self
            .platform
            .read(&[body_key(&self.workspace, head.generation)])?;
        let body = rows.first().map(decode_body).transpose();
        body.map_err(|error| malformed(&error))
    }

    /// Waits one interval, longer after failures.
    fn wait(&self) {
        let mut left = self.interval * self.back_off;
        while !left.is_zero() && !self.stop.load(Ordering::Relaxed) {
            let step = left.min(STOP_CHECK);
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
