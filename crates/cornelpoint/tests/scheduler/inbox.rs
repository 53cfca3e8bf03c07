//! Rows of a pool's inbox: their order relative to requests and restored jobs,
//! and their removal.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cornelpoint::inbox::InboxKey;
use cornelpoint::inbox::Withdrawal;
use cornelpoint::job::JobId;
use cornelpoint::job::JobProgress;
use cornelpoint::job::JobRecord;
use cornelpoint::job::JobSpec;
use cornelpoint::job::JobStatus;
use cornelpoint::scheduler::Batch;
use cornelpoint::scheduler::BatchOutcome;
use cornelpoint::scheduler::CancelAnswer;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::SubmitAnswer;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::fake_store::FakeStore;
use crate::support::QUEUE;
use crate::support::answer_renewals;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::ready_scheduler;
use crate::support::ready_scheduler_with;
use crate::support::starts;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// Inbox of one pool. The transaction that stores a batch also removes the rows
/// that the batch names.
#[derive(Default)]
struct Inbox {
    submissions: BTreeMap<JobId, JobRecord>,
    cancellations: BTreeSet<JobId>,
}

impl Inbox {
    /// Passes all rows to the owner in the order of a full read.
    fn read_all(&self, scheduler: &mut PoolScheduler, now_ms: u64) {
        for &id in &self.cancellations {
            scheduler.cancel_from_inbox(id, at(now_ms));
        }
        for (&id, record) in &self.submissions {
            let spec = JobSpec::try_from(record.job.clone()).expect("a valid job");
            scheduler.submit_from_inbox(id, record.clone(), spec, at(now_ms));
        }
    }

    fn remove_rows(&mut self, batch: &Batch) {
        for key in &batch.inbox {
            match key {
                InboxKey::Submit(id) => drop(self.submissions.remove(id)),
                InboxKey::Cancel(id) | InboxKey::Withdraw(id) => {
                    self.cancellations.remove(id);
                }
            }
        }
    }
}

/// Commits all pending batches.
fn commit(scheduler: &mut PoolScheduler, store: &mut FakeStore, inbox: &mut Inbox, now_ms: u64) {
    for round in 0..8 {
        let now = at(now_ms + round * 50);
        let Some(batch) = scheduler.begin_batch(now) else {
            return;
        };
        assert!(store.apply(scheduler.fencing_token(), &batch));
        inbox.remove_rows(&batch);
        scheduler.batch_replied(BatchOutcome::Stored, now);
    }
}

fn store_of(scheduler: &PoolScheduler) -> FakeStore {
    FakeStore {
        token: scheduler.fencing_token(),
        ..FakeStore::default()
    }
}

/// Accepts job 1 through the owner. While the batch with its record is in
/// flight, another process, whose request to the owner has timed out, stores
/// the job in the inbox. The owner reads that row after the batch.
fn accept_through_owner_and_inbox(
    scheduler: &mut PoolScheduler,
    store: &mut FakeStore,
    inbox: &mut Inbox,
) {
    let (record, spec) = job(vec![step(1, 1000)]);
    let answer = scheduler.submit(job_id(1), record.clone(), spec, at(100));
    assert_eq!(answer, SubmitAnswer::Storing);
    let batch = scheduler.begin_batch(at(100)).expect("a batch is due");
    inbox.submissions.insert(job_id(1), record);
    assert!(store.apply(1, &batch));
    scheduler.batch_replied(BatchOutcome::Stored, at(150));
    inbox.read_all(scheduler, 200);
    commit(scheduler, store, inbox, 200);
}

#[test]
fn the_inbox_row_of_a_job_that_the_owner_has_already_stored_is_removed() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut store = store_of(&scheduler);
    let mut inbox = Inbox::default();
    accept_through_owner_and_inbox(&mut scheduler, &mut store, &mut inbox);
    assert!(inbox.submissions.is_empty());
}

#[test]
fn a_completed_job_does_not_run_again_from_the_inbox_after_its_rows_have_expired() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut store = store_of(&scheduler);
    let mut inbox = Inbox::default();
    accept_through_owner_and_inbox(&mut scheduler, &mut store, &mut inbox);
    let started = starts(&mut scheduler, 300);
    assert_eq!(started.len(), 1);
    let completion = RunCompletion {
        sequence: 1,
        task: started[0].1.parse().expect("a valid task ID"),
        run: started[0].2,
        kind: CompletionKind::Done,
        checkpoint: String::new(),
    };
    let done = WorkerReport {
        born_unix_ms: 5,
        clock_ms: 1800,
        completions: vec![completion],
        ..WorkerReport::default()
    };
    scheduler.renewal_replied(0, Ok(done), at(800));
    commit(&mut scheduler, &mut store, &mut inbox, 800);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
    let expired_ms = 2000 + SchedulerSettings::default().status_kept_ms;
    scheduler.tick(at(expired_ms));
    commit(&mut scheduler, &mut store, &mut inbox, expired_ms);
    assert!(store.records.is_empty() && store.progress.is_empty());

    let mut successor = PoolScheduler::new("quoting", 2, SchedulerSettings::default());
    let queue = queue();
    successor.set_queues(std::iter::once(&queue));
    store.token = 2;
    let now_ms = expired_ms + 5000;
    inbox.read_all(&mut successor, now_ms);
    successor.confirm_ownership(now_ms);
    successor.apply_registry(&[entry("w1", 5)], true, at(now_ms));
    successor.tick(at(now_ms));
    commit(&mut successor, &mut store, &mut inbox, now_ms);
    answer_renewals(&mut successor, now_ms);
    assert_eq!(starts(&mut successor, now_ms + 500), []);
}

#[test]
fn the_inbox_row_of_a_cancellation_that_the_owner_has_already_stored_is_removed() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut store = store_of(&scheduler);
    let mut inbox = Inbox::default();
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit(job_id(1), record, spec, at(100));
    commit(&mut scheduler, &mut store, &mut inbox, 100);
    assert_eq!(scheduler.cancel(job_id(1), at(200)), CancelAnswer::Storing);
    let batch = scheduler.begin_batch(at(200)).expect("a batch is due");
    inbox.cancellations.insert(job_id(1));
    assert!(store.apply(1, &batch));
    scheduler.batch_replied(BatchOutcome::Stored, at(250));
    inbox.read_all(&mut scheduler, 300);
    commit(&mut scheduler, &mut store, &mut inbox, 300);
    assert!(inbox.cancellations.is_empty());
}

#[test]
fn a_cancellation_read_from_the_inbox_applies_to_a_later_request_to_submit() {
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.cancel_from_inbox(job_id(1), at(100));
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit(job_id(1), record, spec, at(110));
    store_batches(&mut scheduler, 110);
    assert_eq!(starts(&mut scheduler, 200), []);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Cancelled));
}

/// Guards against a frozen owner that accepts a job which another process has shown as
/// unknown meanwhile: it has not read its inbox yet, but the store has the row.
#[test]
fn a_withdrawn_job_is_accepted_by_an_owner_that_has_not_read_its_inbox() {
    for (number, withdrawal) in [(1, Withdrawal::Cancelled), (2, Withdrawal::Moved)] {
        let mut scheduler = ready_scheduler(&["w1"]);
        for number in [number, 3] {
            let (record, spec) = job(vec![step(1, 1000)]);
            scheduler.submit(job_id(number), record, spec, at(100));
        }
        let batch = scheduler.begin_batch(at(110)).expect("a batch is due");
        assert_eq!(
            batch.absent,
            [number, 3].map(|number| InboxKey::Cancel(job_id(number)))
        );
        let stored = scheduler.batch_withdrawn(vec![(job_id(number), withdrawal)], at(120));
        assert_eq!(stored.withdrawn, [(job_id(number), withdrawal)]);
        store_batches(&mut scheduler, 130);
        let started = starts(&mut scheduler, 200);
        assert_eq!(started.len(), 1, "{started:?}");
        assert!(started[0].1.starts_with(&job_id(3).to_string()));
        assert_eq!(scheduler.status(job_id(number)), None);
    }
}

/// Guards against a frozen owner that starts a job whose cancellation it has not read.
#[test]
fn a_job_starts_though_its_cancellation_may_be_unread() {
    let settings = SchedulerSettings {
        max_pause_ms: Some(2000),
        ..SchedulerSettings::default()
    };
    let mut scheduler = ready_scheduler_with(&["w1"], settings);
    submit(&mut scheduler, 1, vec![step(1, 1000)], 100);
    scheduler.confirm_ownership(5000);
    assert!(!scheduler.knows_cancellations(at(5000)));
    assert_eq!(starts(&mut scheduler, 5000), []);
    scheduler.confirm_inbox(4999);
    assert_eq!(starts(&mut scheduler, 5100), []);
    scheduler.confirm_inbox(5000);
    assert_eq!(starts(&mut scheduler, 5200).len(), 1);
}

/// Guards against rows of withdrawn jobs that are kept for ever.
#[test]
fn rows_of_withdrawn_jobs_are_removed_like_those_of_final_ones() {
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.cancel_from_inbox(job_id(1), at(100));
    let kept_ms = SchedulerSettings::default().status_kept_ms;
    scheduler.tick(at(100 + kept_ms));
    assert!(scheduler.begin_batch(at(100 + kept_ms)).is_none());
    scheduler.tick(at(101 + kept_ms));
    let batch = scheduler
        .begin_batch(at(200 + kept_ms))
        .expect("a batch is due");
    assert_eq!(batch.inbox, [InboxKey::Cancel(job_id(1))]);
}

#[test]
fn a_cancellation_read_from_the_inbox_applies_to_a_job_that_is_restored_later() {
    let mut scheduler = ready_scheduler(&["w1"]);
    scheduler.cancel_from_inbox(job_id(1), at(100));
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.restore(job_id(1), record, spec, None, at(110));
    store_batches(&mut scheduler, 110);
    assert_eq!(starts(&mut scheduler, 200), []);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Cancelled));
}

#[test]
fn a_job_restored_after_its_inbox_row_keeps_its_stored_status() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit_from_inbox(job_id(1), record.clone(), spec.clone(), at(100));
    let progress = JobProgress {
        status: JobStatus::Completed,
        final_unix_ms: at(50).unix_ms,
        ..JobProgress::default()
    };
    scheduler.restore(job_id(1), record, spec, Some(&progress), at(110));
    store_batches(&mut scheduler, 110);
    assert_eq!(starts(&mut scheduler, 200), []);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Completed));
}

/// The store allows 100 entries in a transaction; the owner's conditions and its
/// heartbeat take three.
#[test]
fn a_batch_of_cancelled_jobs_from_the_inbox_fits_a_transaction() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let mut inbox = Inbox::default();
    for number in 0..60 {
        let (record, _) = job(vec![step(1, 1000)]);
        inbox.submissions.insert(job_id(number), record);
        inbox.cancellations.insert(job_id(number));
    }
    inbox.read_all(&mut scheduler, 100);
    let mut stored = 0;
    while let Some(batch) = scheduler.begin_batch(at(100 + stored as u64)) {
        let rows = batch.records.len() + batch.progress.len() + batch.inbox.len();
        assert!(rows <= 97, "{rows} rows");
        stored += batch.records.len();
        scheduler.batch_replied(BatchOutcome::Stored, at(100 + stored as u64));
    }
    assert_eq!(stored, 60);
}

/// Other processes have confirmed these jobs to their callers.
#[test]
fn jobs_read_from_the_inbox_count_as_waiting_before_the_owner_has_stored_them() {
    let mut scheduler = ready_scheduler(&["w1"]);
    let (record, spec) = job(vec![step(1, 1000)]);
    scheduler.submit_from_inbox(job_id(1), record, spec, at(100));
    assert_eq!(scheduler.waiting(QUEUE), 1);
    assert_eq!(scheduler.status(job_id(1)), Some(JobStatus::Pending));
}
