use std::rc::Rc;
use std::time::Duration;

use cornelpoint::catalog::Catalog;
use cornelpoint::catalog::Queue;
use cornelpoint::inbox::InboxKey;
use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobStatus;
use cornelpoint::tenant::Caller;

use super::keys::CallHead;
use super::peers::request_owner;
use crate::message::PoolRequest;
use crate::message::PoolResponse;
use crate::node::Node;
use crate::node::OTHER_TENANT;
use crate::store::INBOX_TABLE;
use crate::store::JOB_TABLE;
use crate::store::PROGRESS_TABLE;
use crate::store::decode;

/// Timeout of a request to an owner that needs no write to the store.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// The job that a request names, and where it may be. A job is known by its identifier in
/// the pools that its route has ever led to; the configuration in force only says where a
/// new one goes.
pub(super) struct JobPlace<'a> {
    pub(super) job: JobId,
    /// Queue that takes the job if it is new; `None` if no route leads there any more.
    pub(super) queue: Option<&'a Queue>,
    /// Pools that may have the job; that of `queue` comes first.
    pub(super) pools: Vec<String>,
}

/// Where a job was found.
pub(super) enum Found {
    /// In this pool.
    At { pool: String, status: JobStatus },
    /// In no pool, or it is another tenant's.
    Nowhere,
    /// A read of the store has failed.
    Unknown,
}

impl<'a> JobPlace<'a> {
    /// Returns the place of the job that a request names; `None` if it names none.
    pub(super) fn of(node: &Node, catalog: &'a Catalog, head: &CallHead) -> Option<Self> {
        let queue = catalog.queue_of(&head.host, &head.path);
        let named = queue.and_then(|queue| {
            let job = head.path[queue.path_prefix.len()..].parse().ok()?;
            Some((job, queue))
        });
        let (former_job, former) = node.job_homes(&head.host, &head.path).unzip();
        let current = named.map(|(_, queue)| queue.pool.clone());
        let former = former.into_iter().flatten();
        let former: Vec<String> = former
            .filter(|pool| Some(pool) != current.as_ref())
            .collect();
        Some(Self {
            job: named.map(|(job, _)| job).or(former_job)?,
            queue: named.map(|(_, queue)| queue),
            pools: current.into_iter().chain(former).collect(),
        })
    }

    /// Returns the pools that no new job of the route goes to any more.
    pub(super) fn former_pools(&self) -> &[String] {
        &self.pools[usize::from(self.queue.is_some())..]
    }

    /// Looks for the job at the owners of its pools, and then in the store.
    pub(super) async fn find(
        &self,
        node: &Rc<Node>,
        pools: &[String],
        caller: &Caller,
        timeout: Duration,
    ) -> Found {
        for pool in pools {
            let request = PoolRequest::Status {
                job: self.job,
                caller: caller.clone(),
            };
            let limit = timeout.min(OWNER_TIMEOUT);
            let answer = request_owner(node, pool, request, limit).await;
            if let Ok(PoolResponse::Status(status)) = answer {
                let pool = pool.clone();
                return Found::At { pool, status };
            }
        }
        if !node.store.is_available() {
            return Found::Unknown;
        }
        self.find_stored(node, pools, caller).await
    }

    /// Looks for the job in the store.
    pub(super) async fn find_stored(
        &self,
        node: &Rc<Node>,
        pools: &[String],
        caller: &Caller,
    ) -> Found {
        for pool in pools {
            match stored_status(node, pool, self.job, caller).await {
                Some(Some(status)) => {
                    let pool = pool.clone();
                    return Found::At { pool, status };
                }
                Some(None) => {}
                None => return Found::Unknown,
            }
        }
        Found::Nowhere
    }
}

/// Reads a job's status from a pool's rows in the store; `None` if a read fails,
/// `Some(None)` if the job is not stored there or is another tenant's.
async fn stored_status(
    node: &Rc<Node>,
    pool: &str,
    job: JobId,
    caller: &Caller,
) -> Option<Option<JobStatus>> {
    let id = job.to_string();
    let progress = node.store.read_value(PROGRESS_TABLE, pool, &id).await?;
    let progress = progress.and_then(|value| decode::<JobProgress>(&value));
    if let Some(progress) = progress {
        // A progress doesn't name the tenant.
        if !caller.is_unchecked() {
            let record = node.store.read_value(JOB_TABLE, pool, &id).await?;
            if !may_access(node, pool, job, caller, record.as_deref()) {
                return Some(None);
            }
        }
        let running = !progress.status.is_final();
        return Some(Some(if running {
            JobStatus::Running
        } else {
            progress.status
        }));
    }
    // The owner moves jobs from its inbox to the job table; in this order one of
    // the reads finds the row.
    let submission = InboxKey::Submit(job).to_string();
    let inbox = node.store.read_row(INBOX_TABLE, pool, &submission).await?;
    if let Some(row) = inbox {
        let allowed = may_access(node, pool, job, caller, row.value.as_deref());
        return Some(allowed.then_some(JobStatus::Pending));
    }
    if caller.is_unchecked() {
        let record = node.store.read_row(JOB_TABLE, pool, &id).await?;
        return Some(record.map(|_| JobStatus::Pending));
    }
    let record = node.store.read_value(JOB_TABLE, pool, &id).await?;
    let allowed = record.is_some_and(|value| may_access(node, pool, job, caller, Some(&value)));
    Some(allowed.then_some(JobStatus::Pending))
}

/// Whether a caller may see a job with this record. One that can't be decoded, or is no
/// longer stored, shows no tenant and is accessible only where keys aren't checked.
fn may_access(node: &Node, pool: &str, job: JobId, caller: &Caller, record: Option<&[u8]>) -> bool {
    if caller.is_unchecked() {
        return true;
    }
    let Some(record) = record.and_then(decode::<JobRecord>) else {
        return false;
    };
    let allowed = caller.may_access(record.tenant.as_deref());
    if !allowed {
        node.call_refused(OTHER_TENANT, &job.to_string(), pool);
    }
    allowed
}
