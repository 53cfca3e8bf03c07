use std::rc::Rc;
use std::time::Duration;

use cornelpoint::inbox::InboxKey;
use cornelpoint::inbox::Withdrawal;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::scheduler::Instant;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint_platform::store::Row;
use cornelpoint_platform::store::Rows;
use slog::Logger;
use slog::info;
use slog::warn;

use super::host::PoolHost;
use crate::clock;
use crate::store::FeedHealth;
use crate::store::FeedOutcome;
use crate::store::INBOX_TABLE;
use crate::store::PartitionReader;
use crate::store::decode;

/// Delay before a failed store request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Long-poll wait for rows of the inbox. Each response confirms that the owner
/// knows all accepted jobs, and a dead connection is detected within this time
/// plus the call timeout.
const INBOX_WAIT_MS: u64 = 500;

/// Memory of submissions from which a new owner reads the rest of the inbox later.
const MANY_BYTES: usize = 4 << 20;

/// A request that another process has stored for the owner.
struct InboxRequest {
    key: InboxKey,
    /// The job, if it is a submission.
    job: Option<Box<(JobRecord, JobSpec)>>,
    /// Why the pool must not accept the job, otherwise.
    withdrawal: Withdrawal,
}

impl PoolHost {
    /// Follows the inbox: jobs and cancellations that other processes stored while
    /// the owner could not be reached. `version` is that of the rows applied so
    /// far.
    pub(super) async fn follow_inbox(self: Rc<Self>, version: u64) {
        let mut after = Some(version);
        let mut reads = FeedHealth::new(clock::now().steady_ms);
        while !self.stopped.get() {
            let requested_ms = clock::now().steady_ms;
            let deferred_bytes = self.deferred_bytes.get();
            let has_memory = |bytes| self.scheduler.borrow().has_memory_of(bytes);
            if deferred_bytes.is_some_and(has_memory) {
                after = None;
            }
            let Some(version) = after else {
                after = self.read_whole_inbox(&mut reads, requested_ms).await;
                if after.is_none() {
                    self.log_inbox_failure(&mut reads, "full read");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                continue;
            };
            match self
                .node
                .store
                .feed(INBOX_TABLE, version, INBOX_WAIT_MS)
                .await
            {
                FeedOutcome::Changes(rows) => {
                    after = Some(rows.version.max(version));
                    self.inbox_read(&mut reads, &rows, requested_ms, "feed");
                }
                FeedOutcome::HistoryExpired => after = None,
                FeedOutcome::Failed => {
                    self.log_inbox_failure(&mut reads, "feed");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the cancellations in the inbox after a pause: tasks may not be started without
    /// knowing them. Their keys sort before those of submissions.
    pub(super) async fn read_cancellations(self: Rc<Self>) {
        let requested_ms = clock::now().steady_ms;
        let mut reader = PartitionReader::new(INBOX_TABLE, &self.pool);
        while let Some(page) = reader.read_page(&self.node.store).await {
            let mut requests = parse_inbox(&self.log, &self.pool, &page.rows, "resumed", None);
            let has_submissions = requests.iter().any(|request| request.job.is_some());
            // The feed brings these.
            requests.retain(|request| request.job.is_none());
            self.apply(|scheduler, now| apply_inbox(scheduler, requests, now));
            if !page.has_more || has_submissions {
                self.apply(|scheduler, _| scheduler.confirm_inbox(requested_ms));
                self.reads_cancellations.set(false);
                return;
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
        self.reads_cancellations.set(false);
    }

    /// Reads and applies the inbox page by page, up to submissions for which there is no
    /// memory. Returns the version as of the first page; `None` if a read fails.
    async fn read_whole_inbox(
        self: &Rc<Self>,
        reads: &mut FeedHealth,
        requested_ms: u64,
    ) -> Option<u64> {
        let mut reader = PartitionReader::new(INBOX_TABLE, &self.pool);
        self.deferred_bytes.set(None);
        let mut count = 0;
        loop {
            // What the pages behind this one hold is not known yet.
            let page = reader.read_page(&self.node.store).await?;
            count += page.rows.len();
            self.inbox_read(reads, &page, requested_ms, "full read");
            if page.has_more && self.deferred_bytes.get().is_none() {
                continue;
            }
            // Cancellations sort first.
            self.apply(|scheduler, _| scheduler.confirm_inbox(requested_ms));
            info!(self.log, "Inbox read in full."; "pool" => &self.pool,
                "fencing_token" => self.fencing_token, "version" => page.version,
                "rows" => count, "deferred_bytes" => self.deferred_bytes.get(),
                "took_ms" => clock::now().steady_ms - requested_ms);
            return Some(page.version);
        }
    }

    fn inbox_read(
        self: &Rc<Self>,
        reads: &mut FeedHealth,
        rows: &Rows,
        requested_ms: u64,
        read: &str,
    ) {
        let unread_ms = self.log_inbox_success(reads, requested_ms);
        let requests = parse_inbox(&self.log, &self.pool, &rows.rows, read, Some(unread_ms));
        if !requests.is_empty() {
            let deferred = self.apply(|scheduler, now| apply_inbox(scheduler, requests, now));
            self.defer(deferred);
        }
        if !rows.has_more {
            self.apply(|scheduler, _| scheduler.confirm_inbox(requested_ms));
        }
        if !rows.has_more && self.deferred_bytes.get().is_none() {
            // The response may have been delayed; it is at least as new as its
            // request.
            self.inbox_read_ms.set(requested_ms);
        }
    }

    /// Takes note of submissions that were left in the inbox.
    fn defer(&self, bytes: Option<usize>) {
        let Some(bytes) = bytes else { return };
        let before = self.deferred_bytes.get();
        if before.is_none() {
            warn!(self.log, "No memory for jobs in the inbox; they wait there.";
                "pool" => &self.pool, "smallest_bytes" => bytes,
                "fencing_token" => self.fencing_token);
        }
        let bytes = before.map_or(bytes, |before| before.min(bytes));
        self.deferred_bytes.set(Some(bytes));
    }

    /// Logs the first success after failures; returns the time since the
    /// success before was requested.
    fn log_inbox_success(&self, reads: &mut FeedHealth, requested_ms: u64) -> u64 {
        let unread_ms = reads.age_ms(clock::now().steady_ms);
        if reads.succeeded(requested_ms) {
            info!(self.log, "Inbox can be read again."; "pool" => &self.pool,
                "fencing_token" => self.fencing_token,
                "unread_ms" => unread_ms);
        }
        unread_ms
    }

    /// Logs the first failure after a success. A long poll without a response
    /// fails only at its timeout.
    fn log_inbox_failure(&self, reads: &mut FeedHealth, read: &str) {
        if !reads.failed() {
            return;
        }
        warn!(self.log, "Inbox can't be read."; "pool" => &self.pool,
            "fencing_token" => self.fencing_token, "read" => read,
            "error" => self.node.store.last_failure(),
            "unread_ms" => reads.age_ms(clock::now().steady_ms));
    }
}

/// The rows of a pool's inbox that are read before its scheduling starts.
#[derive(Default)]
pub(super) struct InboxRequests {
    requests: Vec<InboxRequest>,
    /// Version as of the first page.
    version: Option<u64>,
    submission_bytes: usize,
}

impl InboxRequests {
    /// Adds the rows of a page.
    pub(super) fn add(&mut self, log: &Logger, page: &Rows) {
        self.version.get_or_insert(page.version);
        let pool = page.rows.first().map_or("", |row| row.key.part.as_str());
        let requests = parse_inbox(log, pool, &page.rows, "takeover", None);
        let submissions = requests.iter().filter_map(|request| request.job.as_ref());
        let bytes = submissions.map(|job| job.1.held_bytes());
        self.submission_bytes += bytes.sum::<usize>();
        self.requests.extend(requests);
    }

    /// Whether the rest is to be read once the pool is scheduled. Cancellations are read by
    /// then: their keys sort first.
    pub(super) fn are_many(&self) -> bool {
        self.submission_bytes >= MANY_BYTES
    }

    pub(super) fn version(&self) -> u64 {
        self.version.unwrap_or(0)
    }

    /// Applies the rows; returns their number, and the memory that the smallest submission
    /// needs which is left in the inbox.
    pub(super) fn apply(self, scheduler: &mut PoolScheduler) -> (usize, Option<usize>) {
        let count = self.requests.len();
        (count, apply_inbox(scheduler, self.requests, clock::now()))
    }
}

/// Applies requests, but for submissions for which there is no memory. Returns what the
/// smallest of these needs.
fn apply_inbox(
    scheduler: &mut PoolScheduler,
    requests: Vec<InboxRequest>,
    now: Instant,
) -> Option<usize> {
    let mut deferred: Option<usize> = None;
    for request in requests {
        match (request.key, request.job) {
            (InboxKey::Cancel(id) | InboxKey::Withdraw(id), _) => {
                scheduler.withdraw_from_inbox(id, request.withdrawal, now);
            }
            (InboxKey::Submit(id), Some(job)) => {
                let (record, spec) = *job;
                let bytes = spec.held_bytes();
                let is_known = scheduler.job_record(id).is_some();
                if is_known || scheduler.has_memory_of(bytes) {
                    scheduler.submit_from_inbox(id, record, spec, now);
                } else {
                    deferred = Some(deferred.map_or(bytes, |least| least.min(bytes)));
                }
            }
            (InboxKey::Submit(_), None) => {}
        }
    }
    deferred
}

/// Parses and logs the rows of a pool's inbox; `unread_ms` is the time since the
/// read before.
fn parse_inbox(
    log: &Logger,
    pool: &str,
    rows: &[Row],
    read: &str,
    unread_ms: Option<u64>,
) -> Vec<InboxRequest> {
    // Records carry the wall clock of the process that stored them.
    let now_unix_ms = clock::now().unix_ms;
    let mut requests = Vec::new();
    for row in rows.iter().filter(|row| row.key.part == pool) {
        let Some(value) = &row.value else { continue };
        let Some(key) = InboxKey::parse(&row.key.key) else {
            warn!(log, "Inbox row with an unknown key."; "key" => &row.key.key);
            continue;
        };
        let mut age_ms = None;
        let job = match key {
            InboxKey::Cancel(_) | InboxKey::Withdraw(_) => None,
            InboxKey::Submit(id) => {
                let record = decode::<JobRecord>(value);
                let spec = record
                    .as_ref()
                    .and_then(|record| JobSpec::try_from(record.job.clone()).ok());
                let Some((record, spec)) = record.zip(spec) else {
                    warn!(log, "Job in the inbox can't be decoded."; "job" => %id);
                    continue;
                };
                age_ms = Some(now_unix_ms.saturating_sub(record.accepted_unix_ms));
                Some(Box::new((record, spec)))
            }
        };
        let (kind, id) = match key {
            InboxKey::Submit(id) => ("submit", id),
            InboxKey::Cancel(id) | InboxKey::Withdraw(id) => ("cancel", id),
        };
        info!(log, "Applying an inbox row."; "kind" => kind, "job" => %id,
            "read" => read, "version" => row.version, "age_ms" => age_ms,
            "unread_ms" => unread_ms);
        let withdrawal = Withdrawal::of(value);
        requests.push(InboxRequest {
            key,
            job,
            withdrawal,
        });
    }
    requests
}
