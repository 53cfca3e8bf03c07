//! Passes of a scheduler whose workers restart under their identifiers.

use cornelpoint::job::TaskId;
use cornelpoint::scheduler::Action;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::RenewalFailure;
use cornelpoint::scheduler::SchedulerSettings;
use cornelpoint::scheduler::WorkerRecord;
use cornelpoint::worker::ActiveRun;
use cornelpoint::worker::CompletionKind;
use cornelpoint::worker::OrderOutcome;
use cornelpoint::worker::RegistryEntry;
use cornelpoint::worker::RunCompletion;
use cornelpoint::worker::WorkerReport;

use crate::support::POOL;
use crate::support::at;
use crate::support::entry;
use crate::support::job;
use crate::support::job_id;
use crate::support::queue;
use crate::support::step;
use crate::support::store_batches;
use crate::support::submit;

/// Starts of the incarnations of a worker.
pub(crate) const BORN_MS: u64 = 5;
pub(crate) const REBORN_MS: u64 = 900;
pub(crate) const BORN_AGAIN_MS: u64 = 950;
/// Clock of the first incarnations at 0 ms; those of the next begin anew.
pub(crate) const FORMER_CLOCK_MS: u64 = 100_000;
pub(crate) type Order = (IncarnationIndex, TaskId, u64);

/// Orders that a scheduler gave, with their times.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pub(crate) starts: Vec<(u64, Order)>,
    pub(crate) stops: Vec<(u64, Order)>,
    pub(crate) acknowledged: Vec<u64>,
    /// Times of the renewals that grant a lease.
    pub(crate) granted_ms: Vec<u64>,
}

pub(crate) fn report(born_unix_ms: u64, now_ms: u64) -> WorkerReport {
    let clock_ms = if born_unix_ms == BORN_MS {
        FORMER_CLOCK_MS + now_ms
    } else {
        1 + now_ms.saturating_sub(born_unix_ms)
    };
    WorkerReport {
        born_unix_ms,
        clock_ms,
        ..WorkerReport::default()
    }
}

pub(crate) fn active_run((_, task, run): Order) -> ActiveRun {
    ActiveRun {
        task,
        run,
        checkpoint: String::new(),
        speed_percent: 100,
        gauge: 0,
    }
}

pub(crate) fn running(born_unix_ms: u64, now_ms: u64, orders: &[Order]) -> WorkerReport {
    WorkerReport {
        running: orders.iter().copied().map(active_run).collect(),
        ..report(born_unix_ms, now_ms)
    }
}

/// Carries out one pass: renewals get `answer`, orders get no answer yet.
pub(crate) fn pass(
    scheduler: &mut PoolScheduler,
    now_ms: u64,
    answer: &dyn Fn(&str) -> Option<WorkerReport>,
) -> Orders {
    scheduler.tick(at(now_ms));
    store_batches(scheduler, now_ms);
    let mut orders = Orders::default();
    for action in scheduler.take_actions() {
        match action {
            Action::RenewLease {
                incarnation,
                acknowledged,
                deadline_clock_ms,
                ..
            } => {
                let Some((_, id)) = scheduler.worker_address(incarnation) else {
                    continue;
                };
                let outcome = answer(id).ok_or(RenewalFailure::NoAnswer);
                orders.acknowledged.push(acknowledged);
                orders.granted_ms.extend(deadline_clock_ms.map(|_| now_ms));
                scheduler.renewal_replied(incarnation, outcome, at(now_ms + 2));
            }
            Action::Start {
                incarnation,
                task,
                run,
                ..
            } => orders.starts.push((now_ms, (incarnation, task, run))),
            Action::Stop {
                incarnation,
                task,
                run,
            } => orders.stops.push((now_ms, (incarnation, task, run))),
            _ => {}
        }
    }
    orders
}

/// Carries out passes from one time to another, with ownership confirmed.
pub(crate) fn passes(
    scheduler: &mut PoolScheduler,
    (from_ms, to_ms): (u64, u64),
    answer: &dyn Fn(&str, u64) -> Option<WorkerReport>,
) -> Orders {
    let mut all = Orders::default();
    for now_ms in (from_ms..to_ms).step_by(50) {
        scheduler.confirm_ownership(now_ms);
        let orders = pass(scheduler, now_ms, &|id| answer(id, now_ms));
        all.starts.extend(orders.starts);
        all.stops.extend(orders.stops);
        all.acknowledged.extend(orders.acknowledged);
        all.granted_ms.extend(orders.granted_ms);
    }
    all
}

pub(crate) fn ready(ids: &[&str]) -> PoolScheduler {
    let mut scheduler = PoolScheduler::new(POOL, 1, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    scheduler.confirm_ownership(0);
    scheduler.apply_registry(&listed(ids, BORN_MS), true, at(0));
    passes(&mut scheduler, (0, 200), &|_, now_ms| {
        Some(report(BORN_MS, now_ms))
    });
    scheduler
}

pub(crate) fn listed(ids: &[&str], born_unix_ms: u64) -> Vec<RegistryEntry> {
    ids.iter().map(|id| entry(id, born_unix_ms)).collect()
}

pub(crate) fn worker_of(scheduler: &PoolScheduler, (incarnation, ..): Order) -> String {
    let (_, id) = scheduler.worker_address(incarnation).unwrap();
    id.to_owned()
}

/// Starts the task of a job at a time; the order has no answer yet.
pub(crate) fn start(
    scheduler: &mut PoolScheduler,
    number: u64,
    millicores: u64,
    now_ms: u64,
) -> Order {
    submit(scheduler, number, vec![step(1, millicores)], now_ms);
    scheduler.confirm_ownership(now_ms);
    let orders = pass(scheduler, now_ms, &|_| Some(report(BORN_MS, now_ms)));
    let [(_, order)] = orders.starts.as_slice() else {
        panic!("one start expected, found {orders:?}");
    };
    *order
}

pub(crate) fn confirm(
    scheduler: &mut PoolScheduler,
    (incarnation, task, run): Order,
    clock_ms: u64,
    now_ms: u64,
) {
    let outcome = OrderOutcome::Done { clock_ms };
    scheduler.start_replied(incarnation, task, run, outcome, at(now_ms));
}

pub(crate) fn leave_unanswered(
    scheduler: &mut PoolScheduler,
    (incarnation, task, run): Order,
    now_ms: u64,
) {
    let outcome = OrderOutcome::NoAnswer;
    scheduler.start_replied(incarnation, task, run, outcome, at(now_ms));
}

pub(crate) fn restart_listed(
    scheduler: &mut PoolScheduler,
    order: Order,
    others: &[&str],
    now_ms: u64,
) {
    let (_, id) = scheduler.worker_address(order.0).unwrap();
    let restarted = entry(id, REBORN_MS);
    let others = others.iter().filter(|other| **other != restarted.id);
    let mut entries: Vec<RegistryEntry> = others.map(|id| entry(id, BORN_MS)).collect();
    entries.push(restarted);
    scheduler.apply_registry(&entries, true, at(now_ms));
}

pub(crate) fn completed(order: Order, now_ms: u64) -> WorkerReport {
    let (_, task, run) = order;
    WorkerReport {
        completions: vec![RunCompletion {
            sequence: 1,
            task,
            run,
            kind: CompletionKind::Done,
            checkpoint: String::new(),
        }],
        ..report(BORN_MS, now_ms)
    }
}

pub(crate) fn successor(workers: &[&str]) -> PoolScheduler {
    let (record, spec) = job(vec![step(1, 1000)]);
    let mut scheduler = PoolScheduler::new(POOL, 2, SchedulerSettings::default());
    let queue = queue();
    scheduler.set_queues(std::iter::once(&queue));
    let recorded = |id: &&str| WorkerRecord {
        id: (*id).to_owned(),
        born_unix_ms: BORN_MS,
        machine: Some(format!("machine-{id}")),
    };
    scheduler.set_predecessor(workers.iter().map(recorded).collect(), 9000);
    scheduler.restore(job_id(1), record, spec, None, at(0));
    scheduler
}
