use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

use cornelpoint::catalog::Catalog;
use cornelpoint::inbox::InboxKey;
use cornelpoint::ownership::OwnershipSettings;
use cornelpoint::ownership::Recipients;
use cornelpoint::scheduler::IncarnationIndex;
use cornelpoint::scheduler::Instant;
use cornelpoint::scheduler::PoolScheduler;
use cornelpoint::scheduler::SchedulerEvent;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::pass_delays::PassDelays;
use super::takeover::set_limits;
use super::worker_link::WorkerLink;
use crate::clock;
use crate::message::OwnedPool;
use crate::message::PoolResponse;
use crate::node::Node;
use crate::store::ShardWriter;

/// Shortest time between two passes.
const MIN_PASS_INTERVAL_MS: u64 = 3;
/// Longest time between two passes.
const MAX_PASS_INTERVAL_MS: u64 = 1000;

/// Runs the scheduler of a pool that this process owns.
pub(crate) struct PoolHost {
    pub(super) node: Rc<Node>,
    pub(crate) pool: String,
    pub(crate) fencing_token: u64,
    pub(super) writer: Rc<ShardWriter>,
    pub(super) scheduler: RefCell<PoolScheduler>,
    pub(super) links: RefCell<HashMap<IncarnationIndex, Rc<WorkerLink>>>,
    /// Callers that wait for the store, by what they asked for.
    pub(super) waiters: RefCell<HashMap<InboxKey, Vec<oneshot::Sender<PoolResponse>>>>,
    /// When the last read that returned all rows of the inbox was sent, by the
    /// monotonic clock.
    pub(super) inbox_read_ms: Cell<u64>,
    /// Memory that the smallest submission needs which was left in the inbox; `None` if
    /// all rows have been applied.
    pub(super) deferred_bytes: Cell<Option<usize>>,
    /// Whether the cancellations in the inbox are being read beside its feed.
    pub(super) reads_cancellations: Cell<bool>,
    /// Vacated workers as of the last pass; a change is reported to the fleet's
    /// owner.
    vacated: RefCell<BTreeSet<String>>,
    pub(super) log: Logger,
    pub(super) stopped: Cell<bool>,
    /// When the last committed write was sent, by the monotonic clock. Each write
    /// renews the store heartbeat.
    pub(super) heartbeat_stored_ms: Cell<u64>,
    wake: Notify,
}

impl PoolHost {
    pub(super) fn new(
        node: &Rc<Node>,
        pool: &str,
        writer: Rc<ShardWriter>,
        scheduler: PoolScheduler,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            pool: pool.to_owned(),
            fencing_token: scheduler.fencing_token(),
            writer,
            scheduler: RefCell::new(scheduler),
            links: RefCell::default(),
            waiters: RefCell::default(),
            inbox_read_ms: Cell::new(0),
            deferred_bytes: Cell::new(None),
            reads_cancellations: Cell::new(false),
            vacated: RefCell::default(),
            log: node.pool_log.clone(),
            stopped: Cell::new(false),
            heartbeat_stored_ms: Cell::new(0),
            wake: Notify::new(),
        }
    }

    /// Applies an update to the scheduler. What follows from it is carried out by
    /// the next pass, together with what follows from other updates.
    pub(super) fn apply<R>(&self, update: impl FnOnce(&mut PoolScheduler, Instant) -> R) -> R {
        let outcome = update(&mut self.scheduler.borrow_mut(), clock::now());
        self.wake.notify_one();
        outcome
    }

    /// Carries out all that is due and starts to commit the next batch, unless
    /// ownership is not confirmed. Returns when the next pass is due by the
    /// monotonic clock.
    fn run_pass(self: &Rc<Self>, now: Instant) -> u64 {
        let mut scheduler = self.scheduler.borrow_mut();
        let mut actions = Vec::new();
        let mut batch = None;
        let mut quota_call = None;
        if self.is_confirmed(now) {
            scheduler.confirm_ownership(self.confirmed_ms());
            if let Some(confirmed_ms) = self.configuration_confirmed_ms() {
                scheduler.confirm_configuration(confirmed_ms);
            }
            scheduler.set_free_advice_calls(self.node.advice.free(&self.pool));
            scheduler.tick(now);
            actions = scheduler.take_actions();
            batch = scheduler.begin_batch(now);
            quota_call = scheduler.due_quota_call(now);
        }
        let needs_cancellations = self.is_confirmed(now) && !scheduler.knows_cancellations(now);
        let events = scheduler.take_events();
        let fenced = scheduler.is_fenced();
        let vacated = scheduler.vacated();
        let waits_for_advice = self.is_confirmed(now) && scheduler.waits_for_advice_call();
        let advice_ms = self.node.advice.next_free_ms();
        let next_ms = [
            scheduler.next_tick_ms(now),
            scheduler.next_batch_ms(),
            advice_ms.filter(|_| waits_for_advice),
        ];
        drop(scheduler);
        for event in events {
            self.log_event(event);
        }
        if fenced {
            warn!(self.log, "Fenced by a higher token."; "pool" => &self.pool,
                "fencing_token" => self.fencing_token);
            self.node
                .stop_hosting(&self.pool, "fenced by a higher token");
            self.stop();
            return u64::MAX;
        }
        if *self.vacated.borrow() != vacated {
            *self.vacated.borrow_mut() = vacated;
            self.node.request_heartbeat(Recipients::FleetOwner);
        }
        for action in actions {
            self.execute(action);
        }
        // After the calls of this pass, which end the pool's turn.
        self.node.advice.set_waiting(&self.pool, waits_for_advice);
        if let Some(next) = self.node.advice.next_pool()
            && next != self.pool
            && let Some(host) = self.node.host(&next)
        {
            host.wake();
        }
        if needs_cancellations && !self.reads_cancellations.replace(true) {
            spawn_local(Rc::clone(self).read_cancellations());
        }
        if let Some(call) = quota_call {
            self.execute_quota_call(call);
        }
        if let Some(batch) = batch {
            spawn_local(Rc::clone(self).commit(batch));
        }
        next_ms.into_iter().flatten().min().unwrap_or(u64::MAX)
    }

    fn log_event(&self, event: SchedulerEvent) {
        match event {
            SchedulerEvent::RunLost {
                task,
                run,
                worker,
                loss,
                confirmed,
                heard_for_ms,
                leaving,
            } => info!(self.log, "Run lost."; "task" => %task, "run" => run,
                "worker" => worker, "how" => ?loss, "confirmed" => confirmed,
                "heard_for_ms" => heard_for_ms, "leaving" => leaving,
                "fencing_token" => self.fencing_token),
            SchedulerEvent::WorkerEnded {
                worker,
                born_unix_ms,
                evidence,
                runs,
            } => info!(self.log, "Worker ended."; "worker" => worker,
                "born_unix_ms" => born_unix_ms, "evidence" => ?evidence, "runs" => runs,
                "fencing_token" => self.fencing_token),
            SchedulerEvent::RunsPreempted {
                step,
                tasks,
                waited_ms,
                stopped,
            } => info!(self.log, "Runs stopped for tasks of priority 0."; "step" => %step,
                "tasks" => tasks, "waited_ms" => waited_ms, "stopped" => ?stopped,
                "fencing_token" => self.fencing_token),
            SchedulerEvent::UnexpectedRun {
                task,
                run,
                worker,
                others,
            } => warn!(self.log, "Worker reports an unexpected run."; "task" => %task,
                "run" => run, "worker" => worker, "others" => others,
                "fencing_token" => self.fencing_token),
            SchedulerEvent::TaskGivenUp {
                task,
                crashes,
                on_start,
                silent,
            } => warn!(self.log, "Task given up: it crashes its workers.";
                "task" => %task, "crashes" => crashes, "on_start" => on_start,
                "silent" => silent, "fencing_token" => self.fencing_token),
            SchedulerEvent::TaskWithheld {
                task,
                crashes,
                on_start,
                silent,
                for_ms,
            } => warn!(self.log, "Task withheld: workers fell silent on its start.";
                "task" => %task, "crashes" => crashes, "on_start" => on_start,
                "silent" => silent, "for_ms" => for_ms,
                "fencing_token" => self.fencing_token),
            SchedulerEvent::PredecessorFenced {
                recorded,
                fenced,
                wait_ms,
            } => info!(self.log, "Predecessor fenced by a quorum of workers.";
                "pool" => &self.pool, "recorded" => recorded, "fenced" => fenced,
                "wait_ms" => wait_ms, "fencing_token" => self.fencing_token),
            event @ (SchedulerEvent::CopyStarted { .. } | SchedulerEvent::CopyEnded { .. }) => {
                self.log_copy(event);
            }
            SchedulerEvent::StepWaits {
                step,
                tasks,
                need,
                waited_ms,
                unplaceable,
                waits_for_predecessor,
                obstacles,
            } => info!(self.log, "A step that lasts waits for workers."; "step" => %step,
                "pool" => &self.pool, "tasks" => tasks, "need" => ?need,
                "waited_ms" => waited_ms, "unplaceable" => unplaceable,
                "waits_for_predecessor" => waits_for_predecessor,
                "obstacles" => ?obstacles, "fencing_token" => self.fencing_token),
            event @ SchedulerEvent::TenantWaits { .. } => self.log_tenant_wait(event),
            SchedulerEvent::JobUnstorable {
                job,
                bytes,
                accepted,
            } => error!(self.log,
                "Job can't be stored: the store refuses its rows.";
                "job" => %job, "pool" => &self.pool, "estimated_bytes" => bytes,
                "accepted" => accepted, "fencing_token" => self.fencing_token),
        }
    }

    /// Whether the store has confirmed ownership recently enough to act on it.
    pub(super) fn is_confirmed(&self, now: Instant) -> bool {
        let limit_ms = OwnershipSettings::default().max_unconfirmed_ms;
        now.steady_ms < self.confirmed_ms() + limit_ms
    }

    /// Whether this process may grant leases: it may lately have got a successor that has
    /// not reached all workers.
    pub(super) fn may_grant_leases(&self, now: Instant) -> bool {
        let scheduler = self.scheduler.borrow();
        self.is_confirmed(now) && scheduler.may_grant_leases(self.confirmed_ms(), now)
    }

    /// Returns when the last request by which the store confirmed ownership was
    /// sent, by the monotonic clock.
    fn confirmed_ms(&self) -> u64 {
        self.node
            .confirmed_ms
            .get()
            .max(self.heartbeat_stored_ms.get())
    }

    /// Returns the time since the store last confirmed both that this process
    /// owns the pool and that it has read the whole inbox.
    pub(super) fn view_age_ms(&self) -> u64 {
        let confirmed_ms = self.confirmed_ms().min(self.inbox_read_ms.get());
        clock::now().steady_ms.saturating_sub(confirmed_ms)
    }

    /// Runs a pass whenever one is due, until the host is stopped.
    ///
    /// A pass walks over all workers and much of the backlog. In a surge thousands
    /// of responses a second arrive, so a pass for each of them would take more
    /// processor time than the orders themselves.
    pub(super) async fn run_passes(self: Rc<Self>) {
        let mut delays = PassDelays::default();
        let mut due_ms = u64::MAX;
        while !self.stopped.get() {
            let now = clock::now();
            if let Some(longest_ms) = delays.record(now.steady_ms.saturating_sub(due_ms), now) {
                info!(self.log, "Passes are late."; "pool" => &self.pool,
                    "longest_ms" => longest_ms);
            }
            let earliest_ms = now.steady_ms + MIN_PASS_INTERVAL_MS;
            let latest_ms = now.steady_ms + MAX_PASS_INTERVAL_MS;
            let next_ms = self.run_pass(now).clamp(earliest_ms, latest_ms);
            tokio::select! {
                () = tokio::time::sleep(clock::until(next_ms)) => due_ms = next_ms,
                () = self.wake.notified() => {
                    due_ms = earliest_ms.max(clock::now().steady_ms);
                    tokio::time::sleep(clock::until(earliest_ms)).await;
                }
            }
        }
    }

    /// Has a pass run soon.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Stops the host; no more orders are sent and no more rows are stored.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
        self.node.advice.set_waiting(&self.pool, false);
        self.wake.notify_one();
        for (_, waiters) in self.waiters.borrow_mut().drain() {
            for waiter in waiters {
                // Sending fails only if the caller no longer waits.
                let _ = waiter.send(PoolResponse::Uncertain);
            }
        }
    }

    /// Whether most workers that run tasks are unresponsive.
    pub(crate) fn has_lost_most_workers(&self) -> bool {
        self.scheduler.borrow().has_lost_most_workers()
    }

    /// Applies the queues and pools of a configuration.
    pub(crate) fn set_catalog(&self, catalog: &Catalog) {
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_queues(catalog.queues.iter());
        scheduler.set_pools(catalog.pools.keys().map(String::as_str));
        scheduler.set_tenants(catalog.tenants.as_ref());
        set_limits(&mut scheduler, catalog);
        drop(scheduler);
        self.set_memory_limits(catalog);
    }

    /// Updates what the pool's jobs may hold.
    pub(crate) fn set_memory_limits(&self, catalog: &Catalog) {
        let limits = self.node.memory_limits(catalog);
        self.scheduler.borrow_mut().set_memory_limits(limits);
    }

    /// Returns the pool's status for the heartbeat to peers.
    pub(crate) fn owned_pool(&self) -> OwnedPool {
        let scheduler = self.scheduler.borrow();
        let queues = self.node.catalog().map(|catalog| {
            let queues = catalog
                .queues
                .iter()
                .filter(|queue| queue.pool == self.pool);
            queues.map(|queue| queue.name.clone()).collect::<Vec<_>>()
        });
        let queues = queues.unwrap_or_default().into_iter();
        let mut waiting: BTreeMap<String, usize> = queues.map(|queue| (queue, 0)).collect();
        // Also of queues that the configuration no longer has.
        waiting.extend(scheduler.waiting_by_queue());
        OwnedPool {
            fencing_token: self.fencing_token,
            waiting,
            view_age_ms: self.view_age_ms(),
            report: scheduler.report(clock::now()),
        }
    }

    /// Vacates workers for moves and maintenance of their machines; `due` are those
    /// whose maintenance is to come.
    pub(crate) fn vacate(self: &Rc<Self>, workers: &BTreeSet<String>, due: &BTreeSet<String>) {
        self.apply(|scheduler, now| {
            scheduler.set_due(due);
            scheduler.vacate(workers, now);
        });
    }
}
