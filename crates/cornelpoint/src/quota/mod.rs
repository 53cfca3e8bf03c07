//! Keeps what each tenant has running over all pools within its limit.
//!
//! The owners of the pools share one row of the store, the [`QuotaTable`]. It says for
//! each pool and tenant how much of the tenant's limit the pool may use. An owner changes
//! its own pool's entry only, by a write on the condition of the row's version. The
//! [`PoolQuota`] of a pool decides what may start and which write is due.

mod amounts;
mod demand;
mod due_calls;
mod pool_quota;
mod quota_call;
mod quota_table;
mod target;
mod tenant_use;

pub use self::demand::PoolDemand;
pub use self::demand::TenantDemand;
pub use self::pool_quota::PoolQuota;
pub use self::pool_quota::WaitReason;
pub use self::quota_call::QuotaCall;
pub use self::quota_call::QuotaReply;
pub use self::quota_call::QuotaRow;
pub use self::quota_call::QuotaWrite;
pub use self::quota_table::Allotment;
pub use self::quota_table::Limit;
pub use self::quota_table::PoolEntry;
pub use self::quota_table::QuotaTable;
pub use self::tenant_use::TenantIndex;
pub use self::tenant_use::TenantUse;
