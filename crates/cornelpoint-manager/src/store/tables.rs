use cornelpoint_platform::store::RowKey;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Rows of processes and shard owners. Process rows are in the empty partition,
/// owner rows in the partition of their shard, so that a transaction on the
/// shard can be conditional on its owner.
pub(crate) const CLUSTER_TABLE: &str = "cornelpoint-cluster";
/// Accepted jobs; one row per job, written once.
pub(crate) const JOB_TABLE: &str = "cornelpoint-job";
/// Progress of jobs; one row per job, overwritten.
pub(crate) const PROGRESS_TABLE: &str = "cornelpoint-progress";
/// Progress of tasks of large jobs; several rows per job, overwritten.
pub(crate) const TASK_TABLE: &str = "cornelpoint-task";
/// Workers that may run a shard's tasks.
pub(crate) const WORKER_TABLE: &str = "cornelpoint-worker";
/// Jobs and cancellations accepted for an owner that could not be reached.
pub(crate) const INBOX_TABLE: &str = "cornelpoint-inbox";
/// Store heartbeats of shard owners: time of the last write, by the store's
/// clock.
pub(crate) const STORE_HEARTBEAT_TABLE: &str = "cornelpoint-beat";
/// Key of a shard's store heartbeat.
pub(crate) const STORE_HEARTBEAT_KEY: &str = "beat";
/// Machines that have begun their maintenance, by wave.
pub(crate) const WAVE_TABLE: &str = "cornelpoint-wave";
/// What routes have led to: queues and their pools.
pub(crate) const ROUTE_TABLE: &str = "cornelpoint-route";
/// What each pool may use of the limits of tenants; one row.
pub(crate) const QUOTA_TABLE: &str = "cornelpoint-quota";
/// Key of that row.
pub(crate) const QUOTA_KEY: &str = "allotments";
/// Key of a shard's owner row.
pub(crate) const OWNER_KEY: &str = "owner";
/// Key of the row that lists a shard's workers.
pub(crate) const WORKERS_KEY: &str = "workers";

/// Returns the key of a shard's owner row.
pub(crate) fn owner_row_key(shard: &str) -> RowKey {
    RowKey::new(CLUSTER_TABLE, shard, OWNER_KEY)
}

/// Encodes a value as `MessagePack` with named fields.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value)
        .unwrap_or_else(|error| unreachable!("value of plain fields can't be encoded: {error}"))
}

/// Decodes a value written by [`encode`]; `None` if it does not fit the type.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    rmp_serde::from_slice(value).ok()
}
