use crate::admission::QueuedStep;
use crate::admission::WaitingWork;
use crate::admission::density;
use crate::admission::order_by_loss;
use crate::job::IndexSet;
use crate::job::JobId;
use crate::job::Resources;
use crate::job::Step;
use crate::job::StepId;
use crate::job::TaskId;
use crate::quota::PoolDemand;
use crate::quota::TenantIndex;
use crate::quota::WaitReason;

use super::action::Action;
use super::action::IncarnationIndex;
use super::instant::Instant;
use super::pool_scheduler::PoolScheduler;
use super::ready_step::PlacementPass;
use super::ready_step::ReadyStep;
use super::scheduler_event::SchedulerEvent;
use super::step_entry::StepEntry;
use super::task_entry::Phase;
use super::task_entry::Run;
use super::worker_set::WorkerSet;
use super::worker_state::Reservation;

/// Time for which a step waits for its tenant's limit before this is logged, and interval
/// of the log lines.
const TENANT_WAIT_LOG_MS: u64 = 1000;

/// Placement order of the steps that wait for workers: long-running steps
/// first, then by priority, then by earliest objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyKey {
    pub(super) is_batch: bool,
    pub(super) priority: u32,
    pub(super) due_ms: u64,
    /// Latest start with which the step's occurrence can be done in time.
    pub(super) latest_start_ms: u64,
    pub(super) step: StepId,
}

/// A step that some worker may have room for.
struct PlaceableStep {
    key: ReadyKey,
    tenant: Option<TenantIndex>,
    unplaceable: bool,
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "steps and tasks are bounded when a job is checked"
)]
pub(super) fn task_id(job: JobId, occurrence: u32, step: usize, index: usize) -> TaskId {
    let step = StepId {
        job,
        occurrence,
        step: step as u16,
    };
    step.task(index as u32)
}

impl PoolScheduler {
    /// Opens the steps of an occurrence whose dependencies are done.
    pub(super) fn open_steps(&mut self, id: JobId, occurrence: u32, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let count = job.spec.steps.len();
        let mut opened = Vec::new();
        for step_index in 0..count {
            let step = task_id(id, occurrence, step_index, 0).step.step;
            let open = job.may_open(occurrence, step);
            let Some(steps) = job.occurrences.get_mut(&occurrence) else {
                return;
            };
            if !open || steps[step_index].open {
                continue;
            }
            steps[step_index].open = true;
            let idle = steps[step_index].idle();
            if !idle.is_empty() && !job.status.is_final() {
                opened.push((task_id(id, occurrence, step_index, 0).step, idle));
            }
        }
        for (step, idle) in opened {
            if let Some(ready) = self.ready_step(step, now) {
                ready.tasks = idle;
                self.placement_needed = true;
            }
        }
    }

    pub(super) fn ready_key(&self, step: StepId) -> Option<ReadyKey> {
        let job = self.jobs.get(&step.job)?;
        let long_running = job.step(step.step).long_running;
        Some(ReadyKey {
            is_batch: !long_running,
            priority: job.record.priority,
            due_ms: job.due_ms(step.occurrence),
            latest_start_ms: job.latest_start_ms(step.occurrence, usize::from(step.step)),
            step,
        })
    }

    /// Queues a task for placement if it has to run and has no run.
    pub(super) fn make_ready(&mut self, id: TaskId, now: Instant) {
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        let open = job
            .occurrences
            .get(&id.step.occurrence)
            .is_some_and(|steps| steps[usize::from(id.step.step)].open);
        if job.status.is_final() || !open || !job.is_idle(id) {
            return;
        }
        if let Some(step) = self.ready_step(id.step, now) {
            step.tasks.insert(id.index);
            step.unplaceable = false;
            self.placement_needed = true;
        }
    }

    /// Returns a step's entry in the placement queue, which is added if it has none.
    fn ready_step(&mut self, id: StepId, now: Instant) -> Option<&mut ReadyStep> {
        let key = self.ready_key(id)?;
        let job = self.jobs.get(&id.job)?;
        let need = job.step(id.step).reserved();
        let tenant = job.tenant;
        Some(self.ready.entry(key).or_insert_with(|| ReadyStep {
            tasks: IndexSet::default(),
            need,
            tenant,
            unplaceable: false,
            since_ms: now.steady_ms,
        }))
    }

    /// Considers a waiting step for all workers again.
    pub(super) fn reconsider(&mut self, step: StepId) {
        let key = self.ready_key(step);
        if let Some(step) = key.and_then(|key| self.ready.get_mut(&key)) {
            step.unplaceable = false;
            self.placement_needed = true;
        }
    }

    /// Removes a task from the placement queue.
    pub(super) fn remove_ready(&mut self, id: TaskId) {
        let Some(key) = self.ready_key(id.step) else {
            return;
        };
        if let Some(step) = self.ready.get_mut(&key) {
            step.tasks.remove(id.index);
            if step.tasks.is_empty() {
                self.ready.remove(&key);
            }
        }
    }

    /// Removes a job's tasks from the placement queue and returns them.
    pub(super) fn take_ready_of_job(&mut self, id: JobId) -> Vec<(StepId, ReadyStep)> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let steps = job.occurrences.iter().flat_map(|(&occurrence, steps)| {
            (0..steps.len()).map(move |step_index| task_id(id, occurrence, step_index, 0).step)
        });
        let steps: Vec<StepId> = steps.collect();
        let keys = steps.into_iter().filter_map(|step| self.ready_key(step));
        let keys: Vec<ReadyKey> = keys.collect();
        let taken = keys
            .into_iter()
            .filter_map(|key| Some((key.step, self.ready.remove(&key)?)));
        taken.collect()
    }

    /// Removes a job's tasks from the placement queue, and its tickets.
    pub(super) fn remove_ready_of_job(&mut self, id: JobId) {
        self.take_ready_of_job(id);
        self.tickets.retain(|step, _| step.job != id);
    }

    /// Places waiting tasks in order while workers have free capacity.
    ///
    /// A step that can't be placed, for whatever reason, must not hold back others.
    /// What keeps passes short under a backlog is that such a step is compared only
    /// with workers that have changed since.
    pub(super) fn place_ready_steps(&mut self, now: Instant) {
        self.placement_needed = false;
        self.starts_limited = false;
        let mut pass = PlacementPass {
            changed_workers: std::mem::take(&mut self.changed_workers),
            too_large: Vec::new(),
            without_tickets: Vec::new(),
            held_tenants: Vec::new(),
            free_records: self.free_records(),
            unreported: self.unreported_use(),
        };
        self.tenants_wait = false;
        for step in self.placeable_steps(&pass, now) {
            let mut held = pass.held_tenants.iter();
            if held.any(|(held, _)| Some(*held) == step.tenant) {
                if step.unplaceable {
                    self.consider_all_workers(step.key);
                }
                continue;
            }
            self.place_step(step.key, &mut pass, now);
            if self.starts_limited {
                // The steps behind have not been compared with these workers yet.
                self.changed_workers.extend(pass.changed_workers);
                break;
            }
        }
        self.held_tenants = pass.held_tenants;
        self.request_tickets(pass.without_tickets, now);
    }

    /// Returns the steps that some worker may have room for, in placement order.
    fn placeable_steps(&self, pass: &PlacementPass, now: Instant) -> Vec<PlaceableStep> {
        let largest_free = self.largest_free(&WorkerSet::All, now);
        let largest_changed = self.largest_free(&pass.changed_workers, now);
        // Steps that need tickets request them before there is room.
        let needs_tickets = self.queues.values().any(|queue| queue.advice.is_some());
        let placeable = self.ready.iter().filter(|(_, step)| {
            let free = if step.unplaceable {
                largest_changed
            } else {
                largest_free
            };
            needs_tickets || free.is_some_and(|free| free.fits(Resources::default(), step.need))
        });
        let (late, in_time): (Vec<ReadyKey>, Vec<ReadyKey>) = placeable
            .map(|(key, _)| *key)
            .partition(|key| key.is_batch && key.latest_start_ms < now.steady_ms);
        // Jobs that can still meet their objective go first: a late job has
        // little value.
        let (in_time, put_off) = self.split_by_loss(in_time, now);
        let late = put_off.into_iter().chain(late).collect();
        let in_time = self.order_by_share(in_time, now);
        let late = self.order_by_share(late, now);
        let ordered = in_time.into_iter().chain(late).filter_map(|key| {
            let step = self.ready.get(&key)?;
            Some(PlaceableStep {
                key,
                tenant: step.tenant,
                unplaceable: step.unplaceable,
            })
        });
        ordered.collect()
    }

    /// Puts off the steps that lose least where not all can be in time, if callers compete
    /// for too little capacity.
    fn split_by_loss(&self, keys: Vec<ReadyKey>, now: Instant) -> (Vec<ReadyKey>, Vec<ReadyKey>) {
        if !self.settings.weighs_loss {
            return (keys, Vec::new());
        }
        let free_millicores = self.free_millicores(now);
        let (batch, mut kept): (Vec<ReadyKey>, Vec<ReadyKey>) =
            keys.into_iter().partition(|key| key.is_batch);
        let waiting = batch.into_iter().filter_map(|key| {
            let job = self.jobs.get(&key.step.job)?;
            Some(WaitingWork {
                key,
                priority: key.priority,
                work_core_ms: self.waiting_core_ms(&key),
                latest_start_ms: key.latest_start_ms,
                density: density(job.value_milli, job.left_core_ms()),
            })
        });
        let waiting: Vec<WaitingWork<ReadyKey>> = waiting.collect();
        let (in_time, put_off) = order_by_loss(&waiting, free_millicores, now.steady_ms);
        kept.extend(in_time);
        (kept, put_off)
    }

    /// Orders steps by the shares of their tenants, where the configuration has tenants.
    /// Long-running steps, which come first, keep their place.
    fn order_by_share(&self, keys: Vec<ReadyKey>, now: Instant) -> Vec<ReadyKey> {
        let shares = self.admission.shares();
        if !shares.is_active() {
            return keys;
        }
        let (batch, mut ordered): (Vec<ReadyKey>, Vec<ReadyKey>) =
            keys.into_iter().partition(|key| key.is_batch);
        let capacity = self.usable_capacity(now);
        let steps = batch.into_iter().filter_map(|key| {
            let job = self.jobs.get(&key.step.job)?;
            let tasks = self.ready.get(&key)?.tasks.len() as u64;
            Some(QueuedStep {
                key,
                tenant: job.record.tenant.as_deref(),
                class: job.share_class,
                priority: key.priority,
                dominant_core_ms: tasks
                    .saturating_mul(job.dominant_core_ms(key.step.step, capacity)),
            })
        });
        let free_millicores = self.free_millicores(now);
        ordered.extend(shares.order(steps.collect(), free_millicores, now.steady_ms));
        ordered
    }

    fn free_millicores(&self, now: Instant) -> u64 {
        let lasting = self.recent_load.as_ref();
        let lasting_millicores = lasting.map_or(0, |(_, view)| view.lasting_millicores);
        let capacity = self.usable_capacity(now).cpu_millicores;
        capacity.saturating_sub(lasting_millicores).max(1)
    }

    /// Returns the expected work of a step's waiting tasks, in core-milliseconds.
    fn waiting_core_ms(&self, key: &ReadyKey) -> u64 {
        let (Some(step), Some(job)) = (self.ready.get(key), self.jobs.get(&key.step.job)) else {
            return 0;
        };
        let step_ms = job.objective.step_ms(usize::from(key.step.step));
        step.tasks.len() as u64 * step.need.cpu_millicores * step_ms / 1000
    }

    fn starts_in_flight(&self) -> usize {
        let workers = self.incarnations.values();
        workers.map(|worker| worker.starts_in_flight).sum()
    }

    /// Returns the most that any usable worker of a set has free of each resource, or
    /// `None` if there is none.
    fn largest_free(&self, among: &WorkerSet, now: Instant) -> Option<Resources> {
        let workers = self.workers_among(among);
        let usable = workers.filter(|(_, worker)| Self::is_usable(worker, now));
        let free = usable.map(|(_, worker)| worker.entry.capacity.minus(worker.used));
        free.reduce(|largest, free| Resources {
            cpu_millicores: largest.cpu_millicores.max(free.cpu_millicores),
            memory_mb: largest.memory_mb.max(free.memory_mb),
            accelerators: largest.accelerators.max(free.accelerators),
        })
    }

    /// Places the waiting tasks of a step as far as they fit.
    fn place_step(&mut self, key: ReadyKey, pass: &mut PlacementPass, now: Instant) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            self.ready.remove(&key);
            return;
        };
        let blocked = job.inherited && !self.predecessor_incarnations.is_empty();
        if blocked || job.stored_status.is_none() {
            return;
        }
        let Some(ready) = self.ready.get(&key) else {
            return;
        };
        let need = ready.need;
        let unplaceable = ready.unplaceable;
        let step = job.step(key.step.step);
        // More can't be started in one pass, but for tasks that no worker may take.
        let records = job.begun_step(key.step).map_or(0, StepEntry::record_count);
        let most = if step.gang {
            usize::MAX
        } else {
            self.settings.max_starts_in_flight + records + 1
        };
        let tasks = ready.tasks.iter();
        let has_memory = pass.free_records > 0 || step.gang;
        let startable = tasks.filter(|&index| {
            let task = key.step.task(index);
            !self.is_withheld(task, now) && (has_memory || job.task(task).is_some())
        });
        let indexes: Vec<u32> = startable.take(most).collect();
        if indexes.is_empty() {
            return;
        }
        let needs_ticket = self.queue_rules(&job.record).advice.is_some();
        if needs_ticket && !self.has_tickets(key.step, now) {
            pass.without_tickets.push(key.step);
            return;
        }
        if pass.is_too_large(need) {
            self.mark_unplaceable(key);
            return;
        }
        let step = step.clone();
        let has_record = |index: &&u32| job.task(key.step.task(**index)).is_some();
        let new_records = indexes.len() - indexes.iter().filter(has_record).count();
        if step.gang {
            if new_records > pass.free_records {
                return;
            }
            // Its members may need a changed worker together with others.
            self.place_gang(key, &step, &indexes, needs_ticket, pass, now);
            return;
        }
        let all = WorkerSet::All;
        let mut all_placed = true;
        for index in indexes {
            if self.starts_in_flight() >= self.settings.max_starts_in_flight {
                self.starts_limited = true;
                return;
            }
            let is_new = !self.has_record(key.step.task(index));
            if is_new && pass.free_records == 0 {
                // Tasks that have been started before need no further memory.
                continue;
            }
            if !self.tenant_has_room(key, need, 1, pass, now) {
                return;
            }
            let among = if unplaceable {
                &pass.changed_workers
            } else {
                &all
            };
            let task = key.step.task(index);
            let suspect = self.is_suspect(task);
            let chosen = self.choose_worker(key.step, &step, among, needs_ticket, suspect, now);
            let Some(incarnation) = chosen else {
                all_placed = false;
                if suspect {
                    // The other tasks of the step need no worker of their own.
                    continue;
                }
                // A held worker may have room for the step that it is held for.
                let held = !self.held_workers.is_empty();
                if !step.is_restricted() && !needs_ticket && !held {
                    pass.too_large.push(need);
                }
                break;
            };
            self.start(task, &step, incarnation, self.next_run_of(task), now);
            pass.free_records = pass.free_records.saturating_sub(usize::from(is_new));
        }
        if !all_placed {
            self.mark_unplaceable(key);
        }
    }

    fn has_record(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job);
        job.is_some_and(|job| job.task(task).is_some())
    }

    /// Returns the number of tasks that may be started for the first time.
    fn free_records(&self) -> usize {
        let steps = self.active().flat_map(|job| job.occurrences.values());
        let records = steps.flatten().map(StepEntry::record_count);
        self.memory_limits.tasks.saturating_sub(records.sum())
    }

    /// Compares a step with all workers at the next pass. It was not compared with those
    /// that have changed.
    fn consider_all_workers(&mut self, key: ReadyKey) {
        if let Some(step) = self.ready.get_mut(&key) {
            step.unplaceable = false;
        }
    }

    /// Whether the limit of a step's tenant has room for some more of its tasks.
    pub(super) fn tenant_has_room(
        &mut self,
        key: ReadyKey,
        need: Resources,
        tasks: usize,
        pass: &mut PlacementPass,
        now: Instant,
    ) -> bool {
        let (Some(quota), Some(ready)) = (&self.quota, self.ready.get(&key)) else {
            return true;
        };
        let Some(tenant) = ready.tenant else {
            return true;
        };
        let name = self.tenant_use.name(tenant);
        let used = self.tenant_use.used(tenant);
        let need = need.times(tasks as u64);
        let room = quota.room(name, used, pass.unreported, now.steady_ms);
        if room.is_ok_and(|room| room.fits(Resources::default(), need)) {
            return true;
        }
        self.tenants_wait = true;
        let waited_ms = now.steady_ms.saturating_sub(ready.since_ms);
        let log_due = self.is_tenant_wait_due(now);
        if log_due {
            self.tenant_wait_logged_ms = now.steady_ms;
        }
        if log_due && waited_ms >= TENANT_WAIT_LOG_MS {
            self.events.push(SchedulerEvent::TenantWaits {
                tenant: name.to_owned(),
                step: key.step,
                tasks: ready.tasks.len(),
                need,
                waited_ms,
                reason: room.err().unwrap_or(WaitReason::Allotment),
                used,
                allotted: quota.allotment(name).allotted,
                limit: quota.limit(name).unwrap_or_default(),
            });
        }
        // Tasks that last may never make room.
        let beside = self.tenant_use.used_by_lasting(tenant);
        if quota.could_ever_run(name, need.plus(beside)) {
            pass.held_tenants.push((tenant, need));
        }
        self.consider_all_workers(key);
        false
    }

    /// Whether a need fits what the pool may use of a tenant's limit.
    pub(super) fn may_use(
        &self,
        tenant: Option<TenantIndex>,
        need: Resources,
        now: Instant,
    ) -> bool {
        let (Some(quota), Some(tenant)) = (&self.quota, tenant) else {
            return true;
        };
        let name = self.tenant_use.name(tenant);
        let used = self.tenant_use.used(tenant);
        let room = quota.room(name, used, self.unreported_use(), now.steady_ms);
        room.is_ok_and(|room| room.fits(Resources::default(), need))
    }

    /// Whether a step that waits for its tenant's limit is due to be logged.
    pub(super) fn is_tenant_wait_due(&self, now: Instant) -> bool {
        self.tenants_wait && now.steady_ms >= self.tenant_wait_logged_ms + TENANT_WAIT_LOG_MS
    }

    /// Returns the most that runs may hold which a predecessor started on workers that have
    /// not reported yet.
    pub(super) fn unreported_use(&self) -> Resources {
        let Some(quota) = &self.quota else {
            return Resources::default();
        };
        if !quota.is_in_force() {
            return Resources::default();
        }
        let workers = self.predecessor_incarnations.keys().map(|id| {
            let incarnation = self.incarnation_of_id.get(id)?;
            Some(self.incarnations.get(incarnation)?.entry.capacity)
        });
        let sum = workers.reduce(|sum, capacity| Some(sum?.plus(capacity?)));
        sum.unwrap_or(Some(Resources::default()))
            .unwrap_or(PoolDemand::UNKNOWN)
    }

    pub(super) fn mark_unplaceable(&mut self, key: ReadyKey) {
        if let Some(step) = self.ready.get_mut(&key) {
            step.unplaceable = true;
        }
    }

    pub(super) fn next_run_of(&self, task: TaskId) -> u64 {
        let job = self.jobs.get(&task.step.job);
        let last = job
            .and_then(|job| job.task(task))
            .map_or(0, |entry| entry.last_run);
        self.next_run(last)
    }

    pub(super) fn start(
        &mut self,
        task: TaskId,
        step: &Step,
        incarnation: IncarnationIndex,
        run: u64,
        now: Instant,
    ) {
        let lease_ms = self.settings.lease_ms;
        let suspect = self.is_suspect(task);
        let tenant = self.jobs.get(&task.step.job).and_then(|job| job.tenant);
        let reservation = Reservation {
            need: step.reserved(),
            tenant,
            lasts: step.long_running,
        };
        let ticket = self
            .tickets
            .get(&task.step)
            .and_then(|issued| issued.by_incarnation.get(&incarnation).cloned());
        let Some(worker) = self.incarnations.get_mut(&incarnation) else {
            return;
        };
        let Some(deadline_clock_ms) = worker.extend_lease(now.steady_ms, lease_ms) else {
            return;
        };
        worker.reserve(task, run, reservation, &mut self.tenant_use);
        worker.starts_in_flight += 1;
        if suspect {
            worker.begin_trial(task, run, now.steady_ms);
        }
        worker.renew_by(now.steady_ms + self.settings.renewal_wait_ms);
        self.remove_ready(task);
        let recent = self.recent_load.as_ref();
        let capacity = recent.map(|(_, view)| view.capacity).unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let spec = job.spec.spec.clone();
        let dominant_core_ms = job.dominant_core_ms(task.step.step, capacity);
        if !step.long_running {
            self.admission.record_started(
                job.record.tenant.as_deref(),
                dominant_core_ms,
                now.steady_ms,
            );
        }
        let Some(entry) = job.task_mut(task) else {
            return;
        };
        entry.last_run = run;
        entry.runs.push(Run {
            number: run,
            incarnation,
            phase: Phase::Starting,
            started_ms: now.steady_ms,
            reported: false,
            adopted_ms: None,
            overdue: false,
            percent: 0,
            pace: 100,
        });
        let checkpoint = entry.checkpoint.clone();
        self.watch_run(task, run, now);
        self.actions.push(Action::Start {
            incarnation,
            task,
            run,
            spec,
            deadline_clock_ms,
            lease_end_ms: now.steady_ms + lease_ms,
            checkpoint,
            ticket,
        });
    }
}
