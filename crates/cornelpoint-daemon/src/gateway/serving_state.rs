use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use cornelpoint::configuration::Configuration;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::Service;

/// Time from the first configuration until new holders of slots start to lend
/// them.
const SLOT_LENDING_DELAY: Duration = Duration::from_millis(1_500);

/// State that callers' threads read: the configuration in use, and whether the
/// gateway is stopping.
#[derive(Debug, Default)]
pub(super) struct ServingState {
    configuration: RwLock<Option<Arc<Configuration>>>,
    first_configured_at: OnceLock<Instant>,
    stopping: AtomicBool,
}

impl ServingState {
    pub(super) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.read().ok()?.clone()
    }

    pub(super) fn generation(&self) -> Generation {
        self.configuration()
            .map_or(Generation(0), |configuration| configuration.generation)
    }

    /// Whether requests can be served: a configuration is in use, and holders
    /// that started with it have had time to lend slots.
    pub(super) fn is_ready(&self) -> bool {
        self.first_configured_at
            .get()
            .is_some_and(|configured_at| configured_at.elapsed() >= SLOT_LENDING_DELAY)
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Replaces the configuration if the given one is newer.
    pub(super) fn update_configuration(&self, configuration: &Configuration) {
        let Ok(mut current) = self.configuration.write() else {
            return;
        };
        let newer = current
            .as_ref()
            .is_none_or(|current| configuration.generation > current.generation);
        if newer {
            self.first_configured_at.get_or_init(Instant::now);
            *current = Some(Arc::new(configuration.clone()));
        }
    }

    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}

/// Finds the service that a caller's path names.
pub(super) fn service_of<'a>(
    configuration: &'a Configuration,
    target: &str,
) -> Option<&'a Service> {
    let name = service_segment(target);
    configuration
        .services
        .iter()
        .find(|service| service.name.as_str() == name)
}

/// Returns the first segment of a path.
pub(super) fn service_segment(target: &str) -> &str {
    let path = target.strip_prefix('/').unwrap_or(target);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    path.split_at(end).0
}

/// Returns the path without its first segment, as sent to the endpoint.
pub(super) fn endpoint_target(target: &str) -> String {
    let path = target.strip_prefix('/').unwrap_or(target);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let rest = path.split_at(end).1;
    if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    }
}
