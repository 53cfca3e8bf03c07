//! Copies of late runs, and what each failure leaves behind.

use cornelpoint::job::JobStatus;
use cornelpoint::job::RawStep;
use cornelpoint::job::Resources;
use cornelpoint::job::StepId;
use cornelpoint::job::TaskId;
use cornelpoint::quota::QuotaCall;
use cornelpoint::quota::QuotaReply;
use cornelpoint::quota::QuotaRow;
use cornelpoint::quota::QuotaTable;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerEvent;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::speculation::CopyOutcome;
use cornelpoint::tenant::RawTenant;
use cornelpoint::tenant::Tenants;
use cornelpoint::worker::CompletionKind;

use crate::copy_pool::CopyPool;
use crate::support::POOL;
use crate::support::at;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::step;

/// Job of which one task is late.
const LATE: u64 = 50;
const USUAL_MS: u64 = 500;
const SLOW_MS: u64 = 9000;

fn speculative() -> RawStep {
    RawStep {
        speculative: true,
        ..step(1, 1000)
    }
}

fn late_task() -> TaskId {
    let step = StepId {
        job: job_id(LATE),
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

/// Returns a pool that has learned what is usual.
fn learned_pool() -> CopyPool {
    let mut pool = CopyPool::new(3);
    for number in 0..6 {
        pool.accept(number, vec![step(8, 1000)]);
        pool.advance_by(2 * USUAL_MS, USUAL_MS);
    }
    pool
}

/// Returns a pool in which the run of this step and its copy, if there is one, would last.
fn pool_with_late_run(raw: RawStep) -> CopyPool {
    let mut pool = learned_pool();
    pool.accept(LATE, vec![raw]);
    pool.advance_by(3 * USUAL_MS, SLOW_MS);
    pool
}

/// Returns a pool in which a tenant with this limit has a late run.
fn pool_with_late_run_of_tenant(cpu_millicores: u64) -> CopyPool {
    let mut pool = learned_pool();
    let tenants = Tenants::check(vec![Some(RawTenant {
        name: "north".to_owned(),
        keys: Vec::new(),
        weight_milli: 1000,
        limit: Resources {
            cpu_millicores,
            ..Resources::default()
        },
    })]);
    pool.scheduler.enforce_limits(u64::MAX / 2);
    pool.scheduler
        .set_limits(1, Some(&tenants), std::iter::once(POOL));
    pool.scheduler.confirm_configuration(1);
    let mut version = 0;
    for _ in 0..4 {
        // Each write waits for the interval after the one before.
        pool.advance_by(USUAL_MS, USUAL_MS);
        while let Some(call) = pool.scheduler.due_quota_call(at(pool.now_ms)) {
            let reply = match call {
                QuotaCall::Read => QuotaReply::Row(QuotaRow {
                    version,
                    table: Some(QuotaTable::default()),
                }),
                QuotaCall::Write(_) => {
                    version += 1;
                    QuotaReply::Committed { version }
                }
            };
            pool.scheduler.quota_replied(reply, at(pool.now_ms));
        }
    }
    pool.accept_for(Some("north"), LATE, vec![speculative()]);
    pool.advance_by(3 * USUAL_MS, SLOW_MS);
    pool
}

/// Guards against a copy that brings a tenant above its limit: copies are started beside the
/// placement of waiting steps.
#[test]
fn a_copy_stays_within_its_tenants_limit() {
    let runs = |limit| {
        pool_with_late_run_of_tenant(limit)
            .runs_of(late_task())
            .len()
    };
    assert_eq!(runs(2000), 1, "half of the limit is allotted at rest");
    assert_eq!(runs(4000), 2);
}

fn pool_with_copy() -> CopyPool {
    let pool = pool_with_late_run(speculative());
    assert_eq!(pool.runs_of(late_task()).len(), 2);
    pool
}

/// Ends a run at the next tick.
fn end(pool: &mut CopyPool, index: usize, kind: CompletionKind) {
    let mut runs = pool.active.iter_mut();
    let run = runs.by_ref().filter(|run| run.task == late_task());
    let run = run.into_iter().nth(index).expect("a run");
    run.ends_ms = 0;
    run.kind = kind;
}

fn is_copy(event: &SchedulerEvent) -> bool {
    matches!(event, SchedulerEvent::CopyStarted { .. })
}

fn outcomes(pool: &CopyPool) -> Vec<CopyOutcome> {
    let ended = pool.events.iter().filter_map(|event| match event {
        SchedulerEvent::CopyEnded { outcome, .. } => Some(*outcome),
        _ => None,
    });
    ended.collect()
}

/// Checks that the job is done, and that no run of its task is left or was started beside
/// the first two.
fn assert_done_once(pool: &mut CopyPool, outcome: CopyOutcome) {
    pool.advance_by(12_000, SLOW_MS);
    let status = pool.scheduler.status(job_id(LATE));
    assert_eq!(status, Some(JobStatus::Completed));
    assert_eq!(pool.runs_of(late_task()).len(), 0);
    let runs = pool.ended.iter().filter(|(_, run)| run.task == late_task());
    assert!(runs.count() <= 2);
    assert_eq!(outcomes(pool), [outcome]);
}

/// Guards against copies on the same rack, whose workers are slow or lost together, and
/// against runs that go on once the copy is done.
#[test]
fn the_first_of_two_runs_counts_and_the_other_is_stopped() {
    let mut pool = pool_with_copy();
    let runs = pool.runs_of(late_task());
    assert_ne!(runs[0].worker, runs[1].worker);
    end(&mut pool, 1, CompletionKind::Done);
    assert_done_once(&mut pool, CopyOutcome::Won);
    let (_, stopped) = pool.ended.last().expect("two ends");
    assert_eq!(stopped.kind, CompletionKind::Stopped);
    let mut pool = pool_with_copy();
    end(&mut pool, 0, CompletionKind::Done);
    assert_done_once(&mut pool, CopyOutcome::Lost);
}

/// Guards against second runs of tasks that must have one, and against copies in room that
/// others need.
#[test]
fn no_copy_is_made_where_it_is_not_allowed() {
    let copied = speculative();
    let steps = [
        step(1, 1000),
        RawStep {
            gang: true,
            ..copied.clone()
        },
        RawStep {
            fills: true,
            ..copied.clone()
        },
        RawStep {
            long_running: true,
            ..copied.clone()
        },
        RawStep {
            required_label: Some("r1".to_owned()),
            ..copied.clone()
        },
    ];
    for raw in steps {
        let pool = pool_with_late_run(raw);
        assert_eq!(pool.runs_of(late_task()).len(), 1);
    }
    // Not before enough has been learned.
    let mut pool = CopyPool::new(3);
    pool.accept(LATE, vec![speculative()]);
    pool.advance_by(3 * USUAL_MS, SLOW_MS);
    assert_eq!(pool.runs_of(late_task()).len(), 1);
    // Not while a step waits, though it fits no worker.
    let mut pool = learned_pool();
    pool.accept(LATE, vec![speculative()]);
    pool.accept(LATE + 1, vec![step(1, 5000)]);
    pool.advance_by(3 * USUAL_MS, SLOW_MS);
    assert_eq!(pool.runs_of(late_task()).len(), 1);
}

/// Guards against a task that is queued again while one of its runs goes on.
#[test]
fn a_failed_run_leaves_the_other_one() {
    for (failed, outcome) in [(0, CopyOutcome::Won), (1, CopyOutcome::Failed)] {
        let mut pool = pool_with_copy();
        end(&mut pool, failed, CompletionKind::Failed);
        pool.advance_by(200, SLOW_MS);
        assert_eq!(pool.runs_of(late_task()).len(), 1);
        end(&mut pool, 0, CompletionKind::Done);
        assert_done_once(&mut pool, outcome);
    }
}

/// Guards against a task that is counted twice, or started again, when both runs end at the
/// same time.
#[test]
fn two_ends_at_the_same_time_count_once() {
    let mut pool = pool_with_copy();
    end(&mut pool, 0, CompletionKind::Done);
    end(&mut pool, 1, CompletionKind::Done);
    pool.advance(&mut |_, _, _| SLOW_MS);
    let outcome = outcomes(&pool);
    assert_done_once(&mut pool, outcome[0]);
}

/// Guards against a third run after the worker of the late run is lost, and against a copy
/// that waits for the end of that worker's lease.
#[test]
fn a_copy_outlives_the_worker_of_the_late_run() {
    let mut pool = learned_pool();
    pool.accept(LATE, vec![speculative()]);
    pool.advance_by(200, SLOW_MS);
    let worker = pool.runs_of(late_task())[0].worker;
    pool.silent.push(worker);
    pool.advance_by(3 * USUAL_MS, SLOW_MS);
    assert_eq!(pool.runs_of(late_task()).len(), 2);
    end(&mut pool, 1, CompletionKind::Done);
    pool.advance_by(100, SLOW_MS);
    assert_eq!(outcomes(&pool), [CopyOutcome::Won]);
    pool.silent.clear();
    assert_done_once(&mut pool, CopyOutcome::Won);
}

/// Guards against a copy that is forgotten since the answer to its order was lost, and
/// against one that counts for ever though its order was.
#[test]
fn a_copy_whose_order_gets_no_answer_is_settled() {
    for (carried_out, outcome) in [(true, CopyOutcome::Won), (false, CopyOutcome::Failed)] {
        let mut pool = learned_pool();
        pool.accept(LATE, vec![speculative()]);
        pool.advance_by(200, SLOW_MS);
        pool.unanswered = Some(carried_out);
        while !pool.events.iter().any(is_copy) {
            pool.advance_by(20, SLOW_MS);
        }
        pool.unanswered = None;
        if carried_out {
            pool.advance_by(100, SLOW_MS);
            end(&mut pool, 1, CompletionKind::Done);
            assert_done_once(&mut pool, outcome);
        } else {
            pool.advance_by(3000, SLOW_MS);
            assert_eq!(outcomes(&pool), [outcome]);
            pool.advance_by(500, SLOW_MS);
            // Another copy was made.
            assert_eq!(pool.runs_of(late_task()).len(), 2);
        }
    }
}

/// Guards against runs that go on after their job was cancelled.
#[test]
fn a_cancelled_job_stops_both_runs() {
    let mut pool = pool_with_copy();
    pool.scheduler.cancel(job_id(LATE), at(pool.now_ms));
    pool.advance_by(500, SLOW_MS);
    assert_eq!(pool.runs_of(late_task()).len(), 0);
    assert_eq!(outcomes(&pool), [CopyOutcome::Cancelled]);
}

/// Guards against copies that repeat work which is saved, and against a later checkpoint
/// that is replaced by that of the copy.
#[test]
fn a_copy_starts_from_the_latest_checkpoint() {
    let mut pool = learned_pool();
    let raw = RawStep {
        saves_progress: true,
        ..speculative()
    };
    pool.accept(LATE, vec![raw]);
    // Keeps the copy from being made before the checkpoint is reported.
    pool.accept(LATE + 1, vec![step(1, 5000)]);
    pool.advance_by(200, SLOW_MS);
    pool.active[0].checkpoint = "first".to_owned();
    pool.advance_by(3 * USUAL_MS, SLOW_MS);
    pool.scheduler.cancel(job_id(LATE + 1), at(pool.now_ms));
    pool.advance_by(500, SLOW_MS);
    assert_eq!(pool.runs_of(late_task())[1].from, "first");
    pool.active[0].checkpoint = "second".to_owned();
    pool.active[1].checkpoint = "first".to_owned();
    pool.advance_by(1100, SLOW_MS);
    end(&mut pool, 0, CompletionKind::Failed);
    end(&mut pool, 1, CompletionKind::Failed);
    pool.active[1].checkpoint.clear();
    pool.advance_by(200, SLOW_MS);
    assert_eq!(pool.runs_of(late_task())[0].from, "second");
}

/// Guards against a successor that stops one of two runs, or starts a third one.
#[test]
fn a_successor_adopts_both_runs() {
    let mut pool = pool_with_copy();
    let mut successor = PoolScheduler::new(POOL, 2, SchedulerSettings::default());
    successor.set_queues(std::iter::once(&queue()));
    let (record, spec) = job(vec![speculative()]);
    successor.restore(job_id(LATE), record, spec, None, at(pool.now_ms));
    successor.confirm_ownership(pool.now_ms);
    successor.apply_registry(&CopyPool::entries(3), true, at(pool.now_ms));
    pool.scheduler = successor;
    pool.advance_by(2000, SLOW_MS);
    assert_eq!(pool.runs_of(late_task()).len(), 2);
    let is_unexpected =
        |event: &SchedulerEvent| matches!(event, SchedulerEvent::UnexpectedRun { .. });
    assert!(!pool.events.iter().any(is_unexpected));
    end(&mut pool, 1, CompletionKind::Done);
    assert_done_once(&mut pool, CopyOutcome::Won);
}
