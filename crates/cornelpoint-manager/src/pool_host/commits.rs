use std::rc::Rc;
use std::time::Duration;

use cornelpoint::inbox::InboxKey;
use cornelpoint::inbox::Withdrawal;
use cornelpoint::job::JobId;
use cornelpoint::job::JobStatus;
use cornelpoint::scheduler::Batch;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::EndedJob;
use cornelpoint::scheduler::StoredJobs;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::RowKey;
use cornelpoint_platform::store::Transaction;
use slog::info;

use super::host::PoolHost;
use crate::clock;
use crate::message::PoolResponse;
use crate::metrics::ProcessMetrics;
use crate::store::INBOX_TABLE;
use crate::store::JOB_TABLE;
use crate::store::PROGRESS_TABLE;
use crate::store::TASK_TABLE;
use crate::store::WORKER_TABLE;
use crate::store::WORKERS_KEY;
use crate::store::WriteOutcome;
use crate::store::encode;

/// Duration of a commit that is logged; callers wait for it.
const SLOW_COMMIT_MS: u64 = 500;
/// Time after which the caller of a job that the store refuses may retry: the same job
/// would be refused again.
const UNSTORABLE_RETRY_AFTER_MS: u64 = 30_000;
/// Delay after a batch that is not stored, or may not be, before the next one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl PoolHost {
    /// Writes a batch to the store, on the condition that this process still owns
    /// the pool, and answers the callers that wait for it.
    pub(super) async fn commit(self: Rc<Self>, batch: Batch) {
        let transaction = self.build_transaction(&batch);
        let requested_ms = clock::now().steady_ms;
        let absent = batch.absent.iter();
        let absent = absent.map(|key| RowKey::new(INBOX_TABLE, &self.pool, key.to_string()));
        let absent: Vec<RowKey> = absent.collect();
        let Transaction {
            writes, removals, ..
        } = &transaction;
        let written = self
            .writer
            .write(&self.node.store, writes, removals, &absent);
        let written = written.await;
        let took_ms = clock::now().steady_ms.saturating_sub(requested_ms);
        if took_ms >= SLOW_COMMIT_MS {
            info!(self.log, "Slow commit."; "pool" => &self.pool, "took_ms" => took_ms,
                "outcome" => ?written);
        }
        let outcome = match written {
            WriteOutcome::Blocked(rows) => {
                let withdrawn = rows.iter().filter_map(withdrawn_job).collect();
                let stored = self.apply(|scheduler, now| scheduler.batch_withdrawn(withdrawn, now));
                self.answer_waiters(stored);
                return;
            }
            WriteOutcome::Stored => {
                self.heartbeat_stored_ms.set(requested_ms);
                BatchOutcome::Stored
            }
            WriteOutcome::Fenced => BatchOutcome::Fenced,
            WriteOutcome::Invalid => {
                tokio::time::sleep(RETRY_DELAY).await;
                BatchOutcome::Invalid
            }
            WriteOutcome::Unknown => {
                tokio::time::sleep(RETRY_DELAY).await;
                BatchOutcome::Unknown
            }
        };
        let stored = self.apply(|scheduler, now| scheduler.batch_replied(outcome, now));
        self.answer_waiters(stored);
    }

    /// Answers the callers that have waited for the store.
    fn answer_waiters(&self, stored: StoredJobs) {
        let mut waiters = self.waiters.borrow_mut();
        for (id, withdrawal) in stored.withdrawn {
            info!(self.log, "Job not accepted: it is withdrawn."; "job" => %id,
                "pool" => &self.pool, "why" => ?withdrawal);
            for waiter in waiters.remove(&InboxKey::Submit(id)).unwrap_or_default() {
                let _ = waiter.send(withdrawn_response(withdrawal));
            }
        }
        for id in stored.accepted {
            info!(self.log, "Job accepted."; "job" => %id, "pool" => &self.pool);
            for waiter in waiters.remove(&InboxKey::Submit(id)).unwrap_or_default() {
                // Sending fails only if the caller no longer waits.
                let _ = waiter.send(PoolResponse::Accepted);
            }
        }
        for id in stored.rejected {
            for waiter in waiters.remove(&InboxKey::Submit(id)).unwrap_or_default() {
                let _ = waiter.send(PoolResponse::Refused {
                    retry_after_ms: UNSTORABLE_RETRY_AFTER_MS,
                });
            }
        }
        for ended in stored.ended {
            let EndedJob { id, status, .. } = ended;
            ProcessMetrics::count(&self.node.metrics.final_jobs, status_label(status));
            info!(self.log, "Job reached a final status."; "job" => %id, "pool" => &self.pool,
                "status" => ?status, "took_ms" => ended.took_ms, "late_ms" => ended.late_ms);
            let response = match status {
                JobStatus::Cancelled => PoolResponse::Cancelled,
                status => PoolResponse::Status(status),
            };
            for waiter in waiters.remove(&InboxKey::Cancel(id)).unwrap_or_default() {
                let _ = waiter.send(response.clone());
            }
        }
    }

    /// Whether no write has renewed the store heartbeat within the interval.
    pub(crate) fn needs_heartbeat(&self, interval_ms: u64) -> bool {
        self.heartbeat_stored_ms.get() + interval_ms <= clock::now().steady_ms
    }

    /// Writes the owner's store heartbeat; stops hosting if fenced.
    pub(crate) async fn write_heartbeat(self: Rc<Self>) {
        let requested_ms = clock::now().steady_ms;
        match self.writer.write(&self.node.store, &[], &[], &[]).await {
            WriteOutcome::Stored => self.heartbeat_stored_ms.set(requested_ms),
            WriteOutcome::Fenced => {
                self.node
                    .stop_hosting(&self.pool, "owned by another process");
                self.stop();
            }
            WriteOutcome::Unknown | WriteOutcome::Invalid | WriteOutcome::Blocked(_) => {}
        }
    }

    fn build_transaction(&self, batch: &Batch) -> Transaction {
        let mut transaction = Transaction::default();
        for (id, record) in &batch.records {
            let key = RowKey::new(JOB_TABLE, &self.pool, id.to_string());
            transaction.writes.push((key, encode(record)));
        }
        for (id, progress) in &batch.progress {
            let key = RowKey::new(PROGRESS_TABLE, &self.pool, id.to_string());
            transaction.writes.push((key, encode(progress)));
        }
        for (block, progress) in &batch.blocks {
            let key = RowKey::new(TASK_TABLE, &self.pool, block.to_string());
            transaction.writes.push((key, encode(progress)));
        }
        for block in &batch.obsolete_blocks {
            let key = RowKey::new(TASK_TABLE, &self.pool, block.to_string());
            transaction.removals.push(key);
        }
        for inbox_key in &batch.inbox {
            let key = RowKey::new(INBOX_TABLE, &self.pool, inbox_key.to_string());
            transaction.removals.push(key);
        }
        for id in &batch.expired {
            for table in [JOB_TABLE, PROGRESS_TABLE] {
                let key = RowKey::new(table, &self.pool, id.to_string());
                transaction.removals.push(key);
            }
        }
        if let Some(workers) = &batch.workers {
            let key = RowKey::new(WORKER_TABLE, &self.pool, WORKERS_KEY);
            transaction.writes.push((key, encode(workers)));
        }
        transaction
    }
}

/// Returns the job that a row of the inbox keeps the pool from accepting.
fn withdrawn_job(row: &Row) -> Option<(JobId, Withdrawal)> {
    match InboxKey::parse(&row.key.key)? {
        InboxKey::Cancel(id) => {
            let value = row.value.as_deref().unwrap_or_default();
            Some((id, Withdrawal::of(value)))
        }
        InboxKey::Submit(_) | InboxKey::Withdraw(_) => None,
    }
}

/// Returns the response to the submission of a job that must not be accepted.
fn withdrawn_response(withdrawal: Withdrawal) -> PoolResponse {
    match withdrawal {
        Withdrawal::Cancelled => PoolResponse::UnknownJob,
        // Another pool has the job, or may accept it.
        Withdrawal::Moved => PoolResponse::Uncertain,
    }
}

fn status_label(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Pending => "pending",
        JobStatus::Running => "running",
        JobStatus::Completed => "completed",
        JobStatus::Failed => "failed",
        JobStatus::Cancelled => "cancelled",
    }
}
