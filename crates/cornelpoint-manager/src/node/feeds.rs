use std::rc::Rc;
use std::time::Duration;

use cornelpoint_platform::operator;
use cornelpoint_platform::store::Row;
use slog::info;
use slog::warn;

use super::state::Node;
use crate::fleet_host::FLEET_SHARD;
use crate::store::FeedOutcome;

/// Long-poll wait for changes. A dead connection is detected within this time
/// plus the call timeout.
const FEED_WAIT_MS: u64 = 2000;
/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

impl Node {
    /// Follows the operator's rows: the configuration and maintenance waves.
    pub(super) async fn follow_operator(self: Rc<Self>) {
        let mut after = None;
        loop {
            let Some(version) = after else {
                match self.store.read_all(operator::TABLE, "").await {
                    Some(rows) => {
                        self.apply_operator_rows(&rows.rows);
                        after = Some(rows.version);
                    }
                    None => tokio::time::sleep(RETRY_DELAY).await,
                }
                continue;
            };
            match self
                .store
                .feed(operator::TABLE, version, FEED_WAIT_MS)
                .await
            {
                FeedOutcome::Changes(rows) => {
                    self.apply_operator_rows(&rows.rows);
                    after = Some(rows.version.max(version));
                }
                FeedOutcome::HistoryExpired => after = None,
                FeedOutcome::Failed => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    fn apply_operator_rows(&self, rows: &[Row]) {
        for row in rows {
            let Some(value) = &row.value else { continue };
            if row.key.key == operator::CATALOG_KEY {
                self.apply_catalog(value);
            } else if let Some(wave) = operator::parse_wave(&row.key.key, value) {
                info!(self.platform_log, "Maintenance wave ordered."; "wave" => wave.number,
                    "machines" => wave.machines.len(), "most_at_once" => wave.most_at_once,
                    "duration_ms" => wave.duration_ms);
                self.waves.borrow_mut().insert(wave.number, wave);
                if let Some(fleet) = &*self.fleet.borrow() {
                    fleet.wake();
                }
            }
        }
    }

    /// Applies a configuration if it is newer than the current one.
    fn apply_catalog(&self, value: &[u8]) {
        let catalog = match operator::parse_catalog(value) {
            Ok(catalog) => catalog,
            Err(error) => {
                warn!(self.platform_log, "Configuration can't be parsed; ignored.";
                    "error" => %error);
                return;
            }
        };
        let current_version = self.catalog().map_or(0, |catalog| catalog.version);
        if catalog.version <= current_version && current_version > 0 {
            return;
        }
        info!(self.platform_log, "Configuration applied."; "version" => catalog.version,
            "before" => current_version, "queues" => catalog.queues.len());
        for host in self.hosts.borrow().values() {
            host.set_queues(&catalog);
        }
        let now = crate::clock::now();
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
    }
}
