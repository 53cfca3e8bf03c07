use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use cornelpoint::tenant::Confirmation;
use cornelpoint::tenant::ConfirmationSource;
use tokio::sync::Notify;

use super::state::Node;
use crate::clock;
use crate::message::ConfigurationRequest;
use crate::message::ConfigurationResponse;

/// The configuration as the operator wrote it, and how recently it was confirmed.
#[derive(Default)]
pub(super) struct ConfigurationState {
    confirmation: Cell<Confirmation>,
    /// Kept for peers that have lost the store, once keys are checked.
    text: RefCell<Option<Rc<str>>>,
    /// Notified when a configuration has been applied.
    pub(super) applied: Notify,
}

impl ConfigurationState {
    pub(super) fn confirmation(&self) -> Confirmation {
        self.confirmation.get()
    }

    pub(super) fn update<R>(&self, update: impl FnOnce(&mut Confirmation) -> R) -> R {
        let mut confirmation = self.confirmation.get();
        let outcome = update(&mut confirmation);
        self.confirmation.set(confirmation);
        outcome
    }

    pub(super) fn has_text(&self) -> bool {
        self.text.borrow().is_some()
    }

    pub(super) fn set_text(&self, text: Option<Rc<str>>) {
        *self.text.borrow_mut() = text;
    }
}

impl Node {
    /// Whether callers need keys: the configuration has tenants, or the settings say that
    /// it is to have them.
    pub(crate) fn checks_keys(&self) -> bool {
        let catalog = self.catalog.borrow();
        let has_tenants = catalog.as_ref().is_some_and(|it| it.tenants.is_some());
        has_tenants || self.settings.has_tenants
    }

    /// Returns the time since the configuration in force was known to be the newest, by a
    /// read of this process or of a peer; `None` if it is not confirmed.
    pub(crate) fn configuration_age_ms(&self) -> Option<u64> {
        let confirmation = self.configuration.confirmation();
        confirmation.age_ms(clock::now().steady_ms)
    }

    /// Counts a confirmation for the metrics.
    pub(super) fn record_confirmation(&self, source: ConfirmationSource) {
        if let Some(confirmed_ms) = self.configuration.confirmation().confirmed_ms() {
            self.metrics
                .configuration_confirmed(confirmed_ms, source.label());
        }
    }

    /// Answers a peer that has lost the store. The configuration is sent only if it is newer
    /// than the peer's: it may have hundreds of kilobytes.
    pub(crate) fn answer_configuration(
        &self,
        request: &ConfigurationRequest,
    ) -> ConfigurationResponse {
        let version = self.catalog().map_or(0, |catalog| catalog.version);
        let text = self.configuration.text.borrow();
        let newer = text.as_ref().filter(|_| version > request.version);
        let confirmation = self.configuration.confirmation();
        ConfigurationResponse {
            version,
            age_ms: confirmation.store_age_ms(clock::now().steady_ms),
            configuration: newer.map(ToString::to_string),
        }
    }
}
