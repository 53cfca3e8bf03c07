use cornelpoint_platform::store::RowKey;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Processes and owners. Processes have an empty partition, owners the one of
/// their shard, so that a shard's writes can depend on them.
pub(crate) const CLUSTER_TABLE: &str = "cornelpoint-cluster";
/// Accepted jobs; one row each, written once.
pub(crate) const JOB_TABLE: &str = "cornelpoint-job";
/// Jobs' progress; one row each, replaced.
pub(crate) const PROGRESS_TABLE: &str = "cornelpoint-progress";
/// Workers that may run a shard's tasks.
pub(crate) const WORKER_TABLE: &str = "cornelpoint-worker";
/// What was accepted for an owner that could not be reached.
pub(crate) const INBOX_TABLE: &str = "cornelpoint-inbox";
/// Owners' signs of life, by the store's clock.
pub(crate) const STORE_HEARTBEAT_TABLE: &str = "cornelpoint-beat";
/// Key of an owner's sign of life.
pub(crate) const STORE_HEARTBEAT_KEY: &str = "beat";
/// Machines of each maintenance wave that have begun it.
pub(crate) const WAVE_TABLE: &str = "cornelpoint-wave";
/// Key of a shard's owner.
pub(crate) const OWNER_KEY: &str = "owner";
/// Key of a shard's workers.
pub(crate) const WORKERS_KEY: &str = "workers";

/// Place of a shard's owner.
pub(crate) fn owner_row_key(shard: &str) -> RowKey {
    RowKey::new(CLUSTER_TABLE, shard, OWNER_KEY)
}

/// Writes a value of the system's own.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value)
        .unwrap_or_else(|error| unreachable!("a value of plain fields was not written: {error}"))
}

/// Reads a value of the system's own; `None` for anything else.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    rmp_serde::from_slice(value).ok()
}
