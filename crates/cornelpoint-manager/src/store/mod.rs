//! Client of the platform's store, and the tables that the system keeps in it.

mod feed_health;
mod partition_reader;
mod shard_writer;
mod store_client;
mod tables;
mod wide_rows;

pub(crate) use self::feed_health::FeedHealth;
pub(crate) use self::partition_reader::PartitionReader;
pub(crate) use self::shard_writer::ShardWriter;
pub(crate) use self::shard_writer::WriteOutcome;
pub(crate) use self::store_client::FeedOutcome;
pub(crate) use self::store_client::StoreClient;
pub(crate) use self::store_client::TransactionOutcome;
pub(crate) use self::tables::CLUSTER_TABLE;
pub(crate) use self::tables::INBOX_TABLE;
pub(crate) use self::tables::JOB_TABLE;
pub(crate) use self::tables::OWNER_KEY;
pub(crate) use self::tables::PROGRESS_TABLE;
pub(crate) use self::tables::QUOTA_KEY;
pub(crate) use self::tables::QUOTA_TABLE;
pub(crate) use self::tables::ROUTE_TABLE;
pub(crate) use self::tables::STORE_HEARTBEAT_KEY;
pub(crate) use self::tables::STORE_HEARTBEAT_TABLE;
pub(crate) use self::tables::TASK_TABLE;
pub(crate) use self::tables::WAVE_TABLE;
pub(crate) use self::tables::WORKER_TABLE;
pub(crate) use self::tables::WORKERS_KEY;
pub(crate) use self::tables::decode;
pub(crate) use self::tables::encode;
pub(crate) use self::tables::owner_row_key;
