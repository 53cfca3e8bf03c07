use std::rc::Rc;
use std::time::Duration;

use cornelpoint::tenant::ConfigurationRead;
use cornelpoint::tenant::ConfirmationSource;
use cornelpoint::tenant::Tenants;
use cornelpoint_platform::operator;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::Rows;
use slog::info;
use slog::warn;

use super::state::Node;
use crate::clock;
use crate::fleet_host::FLEET_SHARD;
use crate::store::FeedHealth;
use crate::store::FeedOutcome;

/// Long-poll wait for changes. A lost response is noticed within this time plus the
/// call timeout, 2 s; the retry has to be answered within the 3 s after which an
/// instance counts as up to date again.
const FEED_WAIT_MS: u64 = 500;
/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Label of a read of all rows, in logs.
const FULL_READ: &str = "full read";

impl Node {
    /// Follows the operator's rows: the configuration and maintenance waves.
    pub(super) async fn follow_operator(self: Rc<Self>) {
        let mut after = None;
        let mut reads = FeedHealth::new(clock::now().steady_ms);
        loop {
            let sent_ms = clock::now().steady_ms;
            let Some(version) = after else {
                if let Some(rows) = self.store.read_all(operator::TABLE, "").await {
                    self.operator_rows_read(&mut reads, &rows, sent_ms, FULL_READ);
                    after = Some(rows.version);
                } else {
                    self.operator_read_failed(&mut reads, sent_ms, FULL_READ);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                continue;
            };
            match self
                .store
                .feed(operator::TABLE, version, FEED_WAIT_MS)
                .await
            {
                FeedOutcome::Changes(rows) => {
                    self.operator_rows_read(&mut reads, &rows, sent_ms, "feed");
                    after = Some(rows.version.max(version));
                }
                FeedOutcome::HistoryExpired => after = None,
                FeedOutcome::Failed => {
                    self.operator_read_failed(&mut reads, sent_ms, "feed");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Applies the rows of a successful read that was sent at `sent_ms`; logs the
    /// first one after failures. A complete read confirms the configuration from when it
    /// was sent: the response may have been delayed.
    fn operator_rows_read(&self, reads: &mut FeedHealth, rows: &Rows, sent_ms: u64, read: &str) {
        let unread_ms = reads.age_ms(clock::now().steady_ms);
        if reads.succeeded(sent_ms) {
            info!(self.platform_log, "Operator's rows can be read again."; "read" => read,
                "unread_ms" => unread_ms);
        }
        let found = self.apply_operator_rows(&rows.rows, read, unread_ms);
        // A full read shows the newest row, so that one without it shows its removal.
        let missing = if read == FULL_READ {
            ConfigurationRead::Unreadable
        } else {
            ConfigurationRead::Unchanged
        };
        let found = found.unwrap_or(missing);
        let now_ms = clock::now().steady_ms;
        let complete = !rows.has_more;
        let is_unreadable = self.configuration.update(|confirmation| {
            confirmation.read_answered(found, sent_ms, complete, now_ms);
            confirmation.is_unreadable()
        });
        if let ConfigurationRead::Parsed { version } = found
            && is_unreadable
        {
            warn!(self.platform_log, "Configuration with a lower version; ignored.";
                "version" => version, "in_force" => self.catalog().map(|it| it.version),
                "read" => read);
        }
        if complete {
            self.record_confirmation(ConfirmationSource::Store);
        }
    }

    /// Logs the first failure after a success. A long poll without a response
    /// fails only at its timeout.
    fn operator_read_failed(&self, reads: &mut FeedHealth, sent_ms: u64, read: &str) {
        if reads.failed() {
            let now_ms = clock::now().steady_ms;
            warn!(self.platform_log, "Operator's rows can't be read."; "read" => read,
                "error" => self.store.last_failure(), "took_ms" => now_ms - sent_ms,
                "unread_ms" => reads.age_ms(now_ms));
        }
    }

    /// Applies rows of the operator. Returns what they say of the configuration; `None` if
    /// they don't hold its row.
    fn apply_operator_rows(
        &self,
        rows: &[Row],
        read: &str,
        unread_ms: u64,
    ) -> Option<ConfigurationRead> {
        let mut found = None;
        for row in rows {
            if row.key.key == operator::CATALOG_KEY {
                self.configuration_row_read(row.version);
                let applied = row
                    .value
                    .as_ref()
                    .and_then(|value| self.apply_catalog(value, read, unread_ms));
                self.routes_changed();
                found = Some(match applied {
                    Some(version) => ConfigurationRead::Parsed { version },
                    None => ConfigurationRead::Unreadable,
                });
                continue;
            }
            let Some(value) = &row.value else { continue };
            if let Some(wave) = operator::parse_wave(&row.key.key, value) {
                info!(self.platform_log, "Maintenance wave ordered."; "wave" => wave.number,
                    "machines" => wave.machines.len(), "most_at_once" => wave.most_at_once,
                    "duration_ms" => wave.duration_ms);
                self.waves.borrow_mut().insert(wave.number, wave);
                if let Some(fleet) = &*self.fleet.borrow() {
                    fleet.wake();
                }
            }
        }
        found
    }

    /// Applies a configuration that a peer has sent, which is newer than the current one.
    pub(super) fn apply_peer_configuration(&self, value: &[u8]) {
        let age_ms = self.configuration_age_ms().unwrap_or_default();
        let version = self.apply_catalog(value, "peer", age_ms);
        let now_ms = clock::now().steady_ms;
        self.configuration.update(|confirmation| match version {
            Some(version) => confirmation.applied(version, now_ms),
            None => confirmation.unreadable_seen(now_ms),
        });
    }

    /// Applies a configuration if it is newer than the current one. It came with a
    /// read of the given kind, `unread_ms` after the one before. Returns its version; `None`
    /// if it can't be parsed.
    fn apply_catalog(&self, value: &[u8], read: &str, unread_ms: u64) -> Option<u64> {
        let catalog = match operator::parse_catalog(value) {
            Ok(catalog) => catalog,
            Err(error) => {
                warn!(self.platform_log, "Configuration can't be parsed; ignored.";
                    "error" => %error, "checks_keys" => self.checks_keys(), "read" => read);
                return None;
            }
        };
        let current_version = self.catalog().map_or(0, |catalog| catalog.version);
        let version = catalog.version;
        if version <= current_version && current_version > 0 {
            return Some(version);
        }
        info!(self.platform_log, "Configuration applied."; "version" => catalog.version,
            "before" => current_version, "queues" => catalog.queues.len(), "read" => read,
            "unread_ms" => unread_ms,
            "tenants" => catalog.tenants.as_ref().map(|tenants| tenants.iter().count()));
        for finding in catalog.tenants.iter().flat_map(Tenants::findings) {
            warn!(self.platform_log, "Fault in the configuration's tenants.";
                "version" => catalog.version, "finding" => %finding);
        }
        self.metrics.configuration_applied(catalog.version);
        for host in self.hosts.borrow().values() {
            host.set_catalog(&catalog);
        }
        let now = clock::now();
        let mut planner = self.planner.borrow_mut();
        for pool in catalog.pools.values().filter(|pool| !pool.spare) {
            planner.add_shard(&pool.name, now.steady_ms);
        }
        if self.settings.fleet_address.is_some() {
            planner.add_shard(FLEET_SHARD, now.steady_ms);
        }
        drop(planner);
        self.planner_changed.notify_one();
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        if self.checks_keys() || self.configuration.has_text() {
            let text = std::str::from_utf8(value).ok();
            self.configuration.set_text(text.map(Rc::from));
        }
        self.configuration.applied.notify_one();
        Some(version)
    }
}
