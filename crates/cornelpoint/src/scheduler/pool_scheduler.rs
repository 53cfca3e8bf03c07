use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::admission::Admission;
use crate::admission::PoolView;
use crate::catalog::Advice;
use crate::catalog::Queue;
use crate::inbox::InboxKey;
use crate::job::JobId;
use crate::job::JobRecord;
use crate::job::JobStatus;
use crate::job::Resources;
use crate::job::StepId;
use crate::job::TaskId;
use crate::quota::PoolDemand;
use crate::quota::PoolQuota;
use crate::quota::QuotaCall;
use crate::quota::QuotaReply;
use crate::quota::QuotaRow;
use crate::quota::TenantDemand;
use crate::quota::TenantIndex;
use crate::quota::TenantUse;
use crate::speculation::Copies;
use crate::speculation::LearnedDurations;
use crate::tenant::Tenants;

use super::action::Action;
use super::action::IncarnationIndex;
use super::batch::BatchInFlight;
use super::batch::FULL_BATCH_BYTES;
use super::batch::MAX_BATCH_ROWS;
use super::held_workers::HeldWorkers;
use super::instant::Instant;
use super::job_entry::JobEntry;
use super::lacking_workers::LackingWorkers;
use super::memory_limits::MemoryLimits;
use super::placement::ReadyKey;
use super::ready_step::ReadyStep;
use super::scheduler_event::SchedulerEvent;
use super::settings::SchedulerSettings;
use super::silences::Silences;
use super::stored_batch::WorkerRecord;
use super::tickets::DEFAULT_ADVICE_CALLS;
use super::tickets::Tickets;
use super::unstored_jobs::UnstoredJobs;
use super::withdrawn_jobs::WithdrawnJobs;
use super::worker_quorum::FencedWorkers;
use super::worker_quorum::StoredRows;
use super::worker_set::WorkerSet;
use super::worker_state::Renewal;
use super::worker_state::WorkerState;

/// Run numbers reserved for one term of ownership, so that a successor's
/// numbers exceed those of a predecessor whose last starts it can't know.
const RUNS_PER_TERM: u64 = 100_000;
/// Shortest time until a call for the tenants' limits is considered again while steps wait
/// for them.
const QUOTA_POLL_MS: u64 = 20;
/// Interval at which occurrences that are due, but wait for memory, are considered again.
const OCCURRENCE_POLL_MS: u64 = 100;
/// Interval at which the confirmation of ownership is checked.
const CONFIRMATION_POLL_MS: u64 = 100;

/// Scheduler of one pool for one term of ownership.
#[expect(
    clippy::struct_excessive_bools,
    reason = "what is due for the next tick is marked by flags"
)]
#[derive(Debug)]
pub struct PoolScheduler {
    pub(super) pool: String,
    pub(super) fencing_token: u64,
    pub(super) settings: SchedulerSettings,
    pub(super) queues: BTreeMap<String, QueueRules>,
    /// All pools of the configuration; empty before one is known.
    pub(super) known_pools: BTreeSet<String>,
    /// Tenants of the configuration; none where callers need no keys.
    pub(super) tenants: Tenants,
    /// What tenants may start; `None` where their limits aren't in force.
    pub(super) quota: Option<PoolQuota>,
    /// What tenants use of the pool; empty where their limits aren't in force.
    pub(super) tenant_use: TenantUse,
    /// Whether steps waited for their tenants' limits at the last pass.
    pub(super) tenants_wait: bool,
    /// Tenants whose limits had no room for a step at the last pass, and what it needs.
    pub(super) held_tenants: Vec<(TenantIndex, Resources)>,
    /// When a step that waits for its tenant's limit was last logged.
    pub(super) tenant_wait_logged_ms: u64,
    pub(super) jobs: HashMap<JobId, JobEntry>,
    pub(super) memory_limits: MemoryLimits,
    /// Estimated memory of all jobs.
    pub(super) held_job_bytes: usize,
    /// Jobs that are not final. Final ones are kept for minutes, so that most jobs
    /// are final.
    pub(super) active_jobs: BTreeSet<JobId>,
    pub(super) incarnations: BTreeMap<IncarnationIndex, WorkerState>,
    pub(super) incarnation_of_id: HashMap<String, IncarnationIndex>,
    pub(super) next_incarnation: IncarnationIndex,
    /// Starts of ended incarnations that the registry may still list, by worker.
    pub(super) ended_incarnations: HashMap<String, u64>,
    pub(super) silences: Silences,
    pub(super) ready: BTreeMap<ReadyKey, ReadyStep>,
    pub(super) tickets: BTreeMap<StepId, Tickets>,
    /// Number of requests for advice that may be made now.
    pub(super) free_advice_calls: usize,
    /// Whether steps wait until more may be made.
    pub(super) waits_for_advice_call: bool,
    /// Future occurrences by due time, in milliseconds since 1970.
    pub(super) scheduled_occurrences: BTreeSet<(u64, JobId, u32)>,
    pub(super) unstored: UnstoredJobs,
    pub(super) batch: Option<BatchInFlight>,
    /// Largest number of jobs in a batch: fewer while it is being found out which job's
    /// rows the store refuses.
    pub(super) max_batch_jobs: usize,
    /// Estimated size of the rows from which a batch takes no further job. Halved by each
    /// batch without an answer, which a slow link may not have carried in time.
    pub(super) full_batch_bytes: usize,
    pub(super) last_batch_ms: u64,
    /// When the first batch began since one was stored.
    pub(super) committing_since_ms: Option<u64>,
    pub(super) urgent: bool,
    pub(super) workers_row_dirty: bool,
    /// Incarnations, by worker, that a predecessor may have used and that have
    /// not reported yet.
    pub(super) predecessor_incarnations: BTreeMap<String, WorkerRecord>,
    /// Those of them that have ended, by worker, and since when that is known.
    pub(super) ended_predecessors: BTreeMap<String, u64>,
    /// When all runs that a predecessor started on unresponsive workers have
    /// ended.
    pub(super) predecessor_leases_end_ms: u64,
    pub(super) fenced_workers: FencedWorkers,
    pub(super) stored_rows: StoredRows,
    /// When to collect the answers of a quorum again; `None` while that isn't needed.
    pub(super) next_collection_ms: Option<u64>,
    pub(super) admission: Admission,
    /// What is usual for tasks.
    pub(super) learned: LearnedDurations,
    pub(super) copies: Copies,
    /// The load as of a time in milliseconds; `None` once workers have changed.
    pub(super) recent_load: Option<(u64, PoolView)>,
    /// Time of the load that is taken out for a decision.
    pub(super) recent_load_ms: u64,
    /// When runs may be stopped again for jobs that go before them.
    pub(super) next_preemption_ms: u64,
    pub(super) actions: Vec<Action>,
    pub(super) events: Vec<SchedulerEvent>,
    pub(super) placement_needed: bool,
    /// Workers that may have room since the last placement pass for tasks that fitted
    /// no worker then.
    pub(super) changed_workers: WorkerSet,
    last_tick_ms: u64,
    /// When a step that waits for workers was last logged.
    pub(super) wait_logged_ms: u64,
    pub(super) lacking_workers: LackingWorkers,
    pub(super) held_workers: HeldWorkers,
    /// Whether tasks wait only until orders to start are answered.
    pub(super) starts_limited: bool,
    pub(super) fenced: bool,
    pub(super) vacating: BTreeSet<String>,
    /// Workers whose machines are due for maintenance.
    pub(super) due: BTreeSet<String>,
    pub(super) retained_final_jobs: Vec<(u64, JobId)>,
    pub(super) withdrawn: WithdrawnJobs,
    /// When the last read was sent that returned all cancellations, by the monotonic clock.
    pub(super) inbox_read_ms: u64,
    /// When the process last resumed after a pause.
    resumed_ms: u64,
    /// Rows read from the owner's inbox whose jobs are not stored yet.
    pub(super) inbox: BTreeSet<InboxKey>,
    /// Rows of the inbox to remove: the store has what they ask for.
    pub(super) settled_inbox: BTreeSet<InboxKey>,
    /// Tasks whose worker's incarnation has ended, and since when that is
    /// known.
    pub(super) orphaned_tasks: Vec<(u64, TaskId)>,
    /// When the store last confirmed ownership: the time of the request, not of
    /// the answer.
    pub(super) ownership_confirmed_ms: u64,
}

/// Settings of a queue that apply to the placement and objectives of its jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueRules {
    pub(super) priority: u32,
    pub(super) max_attempts: u32,
    pub(super) stretch_permille: u64,
    pub(super) objective_ms: u64,
    pub(super) advice: Option<Advice>,
}

impl PoolScheduler {
    /// Creates a scheduler without jobs or workers.
    ///
    /// ```
    /// use cornelpoint::scheduler::PoolScheduler;
    /// use cornelpoint::scheduler::SchedulerSettings;
    ///
    /// let scheduler = PoolScheduler::new("quoting", 1, SchedulerSettings::default());
    /// assert_eq!(scheduler.fencing_token(), 1);
    /// ```
    #[must_use]
    pub fn new(pool: &str, fencing_token: u64, settings: SchedulerSettings) -> Self {
        Self {
            pool: pool.to_owned(),
            fencing_token,
            settings,
            queues: BTreeMap::new(),
            known_pools: BTreeSet::new(),
            tenants: Tenants::default(),
            quota: None,
            tenant_use: TenantUse::default(),
            tenants_wait: false,
            held_tenants: Vec::new(),
            tenant_wait_logged_ms: 0,
            jobs: HashMap::new(),
            memory_limits: MemoryLimits::default(),
            held_job_bytes: 0,
            active_jobs: BTreeSet::new(),
            incarnations: BTreeMap::new(),
            incarnation_of_id: HashMap::new(),
            next_incarnation: 0,
            ended_incarnations: HashMap::new(),
            silences: Silences::default(),
            ready: BTreeMap::new(),
            tickets: BTreeMap::new(),
            free_advice_calls: DEFAULT_ADVICE_CALLS,
            waits_for_advice_call: false,
            scheduled_occurrences: BTreeSet::new(),
            unstored: UnstoredJobs::default(),
            batch: None,
            max_batch_jobs: MAX_BATCH_ROWS,
            full_batch_bytes: FULL_BATCH_BYTES,
            last_batch_ms: 0,
            committing_since_ms: None,
            urgent: false,
            workers_row_dirty: false,
            predecessor_incarnations: BTreeMap::new(),
            ended_predecessors: BTreeMap::new(),
            predecessor_leases_end_ms: 0,
            fenced_workers: FencedWorkers::default(),
            stored_rows: StoredRows::default(),
            next_collection_ms: None,
            admission: Admission::new(settings.weighs_loss),
            learned: LearnedDurations::default(),
            copies: Copies::default(),
            recent_load: None,
            recent_load_ms: 0,
            next_preemption_ms: 0,
            actions: Vec::new(),
            events: Vec::new(),
            placement_needed: false,
            changed_workers: WorkerSet::All,
            last_tick_ms: 0,
            wait_logged_ms: 0,
            lacking_workers: LackingWorkers::default(),
            held_workers: HeldWorkers::default(),
            starts_limited: false,
            fenced: false,
            vacating: BTreeSet::new(),
            due: BTreeSet::new(),
            retained_final_jobs: Vec::new(),
            withdrawn: WithdrawnJobs::default(),
            inbox_read_ms: 0,
            resumed_ms: 0,
            inbox: BTreeSet::new(),
            settled_inbox: BTreeSet::new(),
            orphaned_tasks: Vec::new(),
            ownership_confirmed_ms: 0,
        }
    }

    /// Returns the fencing token that every order of this term carries.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Whether a worker or the store has rejected the fencing token because
    /// another process owns the pool.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Updates the queue settings in force. Removed queues keep their last
    /// settings for the jobs that came through them.
    pub fn set_queues<'a>(&mut self, queues: impl Iterator<Item = &'a Queue>) {
        for queue in queues.filter(|queue| queue.pool == self.pool) {
            let rules = QueueRules {
                priority: queue.priority,
                max_attempts: queue.max_attempts,
                stretch_permille: queue.stretch_permille,
                objective_ms: queue.objective_ms,
                advice: queue.advice,
            };
            self.queues.insert(queue.name.clone(), rules);
        }
        self.changed_workers = WorkerSet::All;
    }

    /// Sets the number of requests for advice that may be made at the next tick.
    pub fn set_free_advice_calls(&mut self, count: usize) {
        self.free_advice_calls = count;
        self.placement_needed |= count > 0 && self.waits_for_advice_call;
    }

    /// Whether steps wait until more requests for advice may be made.
    #[must_use]
    pub fn waits_for_advice_call(&self) -> bool {
        self.waits_for_advice_call
    }

    /// Records that a read which returned all cancellations in the inbox was sent at
    /// `sent_ms`.
    pub fn confirm_inbox(&mut self, sent_ms: u64) {
        self.inbox_read_ms = self.inbox_read_ms.max(sent_ms);
    }

    /// Whether the cancellations are known that were confirmed while this process was paused.
    #[must_use]
    pub fn knows_cancellations(&self, now: Instant) -> bool {
        self.inbox_read_ms >= self.resumed_ms && !self.was_paused(now)
    }

    /// Whether the process has been paused since the last tick.
    fn was_paused(&self, now: Instant) -> bool {
        let max_pause_ms = self.settings.max_pause_ms;
        max_pause_ms.is_some_and(|max_ms| now.steady_ms > self.last_tick_ms + max_ms)
    }

    /// Updates what the pool's jobs may hold.
    pub fn set_memory_limits(&mut self, limits: MemoryLimits) {
        self.memory_limits = limits;
        self.placement_needed = true;
    }

    /// Whether there is memory for another job that holds `bytes`.
    #[must_use]
    pub fn has_memory_of(&self, bytes: usize) -> bool {
        self.memory_limits.fits_job(self.held_job_bytes, bytes)
    }

    /// Updates the pools of the configuration in force. Registry entries of other pools
    /// come from other programs.
    pub fn set_pools<'a>(&mut self, pools: impl Iterator<Item = &'a str>) {
        self.known_pools = pools.map(str::to_owned).collect();
    }

    /// Updates the tenants of the configuration in force.
    pub fn set_tenants(&mut self, tenants: Option<&Tenants>) {
        self.tenants = tenants.cloned().unwrap_or_default();
        self.admission.set_tenants(&self.tenants);
        self.recent_load = None;
        self.changed_workers = WorkerSet::All;
    }

    /// Keeps tenants within their limits from now on. Has to be called before jobs are
    /// restored or submitted. Tasks of tenants with limits start only while the
    /// configuration was confirmed no longer ago than `max_configuration_age_ms`.
    pub fn enforce_limits(&mut self, max_configuration_age_ms: u64) {
        let quota = PoolQuota::new(&self.pool, self.fencing_token, max_configuration_age_ms);
        self.quota = Some(quota);
    }

    /// Updates the limits of tenants in a configuration, and the pools that may run tasks.
    pub fn set_limits<'a>(
        &mut self,
        configuration: u64,
        tenants: Option<&Tenants>,
        pools: impl Iterator<Item = &'a str>,
    ) {
        if let Some(quota) = &mut self.quota {
            let none = Tenants::default();
            quota.set_limits(configuration, tenants.unwrap_or(&none), pools);
            self.placement_needed = true;
        }
    }

    /// Records that the read of the configuration that last confirmed it was sent at
    /// `sent_ms`.
    pub fn confirm_configuration(&mut self, sent_ms: u64) {
        if let Some(quota) = &mut self.quota
            && quota.configuration_confirmed(sent_ms)
        {
            self.placement_needed |= self.tenants_wait;
        }
    }

    /// Whether an order to start a task may still be sent: the process may have been paused
    /// since it was decided on, and its tenant's limit lowered.
    #[must_use]
    pub fn may_send_start(&self, task: TaskId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return true;
        };
        let (Some(quota), Some(tenant)) = (&self.quota, job.tenant) else {
            return true;
        };
        // The run is reserved already.
        let need = job.step(task.step.step).reserved();
        let others = self.tenant_use.used(tenant).minus(need);
        let name = self.tenant_use.name(tenant);
        let room = quota.room(name, others, self.unreported_use(), now.steady_ms);
        room.is_ok_and(|room| room.fits(Resources::default(), need))
    }

    /// Returns the call to the store that is due for the tenants' limits. What becomes of
    /// it has to be passed to [`Self::quota_replied`].
    pub fn due_quota_call(&mut self, now: Instant) -> Option<QuotaCall> {
        let quota = self.quota.as_ref()?;
        if self.fenced || !quota.is_call_possible(now.steady_ms) {
            return None;
        }
        let demand = self.tenant_demand();
        self.quota.as_mut()?.due_call(&demand, now.steady_ms)
    }

    /// Returns what the tenants use and wait for.
    #[must_use]
    pub fn tenant_demand(&self) -> PoolDemand {
        let mut demand = PoolDemand {
            unreported: self.unreported_use(),
            ..PoolDemand::default()
        };
        let tenants = self.tenant_use.iter();
        let tenants = tenants.map(|(tenant, used)| {
            let demand = TenantDemand {
                used,
                ..TenantDemand::default()
            };
            (tenant, demand)
        });
        let mut tenants: Vec<(&str, TenantDemand)> = tenants.collect();
        for &(tenant, need) in &self.held_tenants {
            if let Some((_, tenant)) = tenants.get_mut(tenant) {
                tenant.blocked = need;
            }
        }
        for step in self.ready.values() {
            let tenant = step.tenant.and_then(|tenant| tenants.get_mut(tenant));
            if let Some((_, tenant)) = tenant {
                let need = step.need.times(step.tasks.len() as u64);
                tenant.waiting = tenant.waiting.plus(need);
            }
        }
        let tenants = tenants.into_iter();
        let tenants = tenants.map(|(tenant, demand)| (tenant.to_owned(), demand));
        demand.tenants = tenants.collect();
        let workers = self.incarnations.values();
        for worker in workers.filter(|worker| worker.listed && !worker.is_unresponsive()) {
            demand.capacity = demand.capacity.plus(worker.entry.capacity);
        }
        demand
    }

    /// Applies what became of a call for the tenants' limits.
    pub fn quota_replied(&mut self, reply: QuotaReply, now: Instant) {
        if let Some(quota) = &mut self.quota {
            quota.replied(reply, now.steady_ms);
            self.placement_needed |= self.tenants_wait;
        }
    }

    /// Applies the shared row of the tenants' limits as read for another purpose.
    pub fn quota_row_read(&mut self, row: QuotaRow) {
        if let Some(quota) = &mut self.quota
            && quota.row_read(row)
        {
            self.placement_needed |= self.tenants_wait;
        }
    }

    /// Returns the quota; `None` where limits of tenants aren't in force.
    #[must_use]
    pub fn quota(&self) -> Option<&PoolQuota> {
        self.quota.as_ref()
    }

    /// Returns the actions that have become necessary since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the events that have occurred since the last call.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the address and identifier of a worker incarnation.
    #[must_use]
    pub fn worker_address(&self, incarnation: IncarnationIndex) -> Option<(&str, &str)> {
        let worker = self.incarnations.get(&incarnation)?;
        Some((&worker.entry.address, &worker.entry.id))
    }

    /// Returns the start of a worker incarnation in milliseconds since 1970, 0 if it is not
    /// known yet.
    #[must_use]
    pub fn worker_born_unix_ms(&self, incarnation: IncarnationIndex) -> Option<u64> {
        Some(self.incarnations.get(&incarnation)?.entry.born_unix_ms)
    }

    /// Processes all that is due: occurrences, expired leases, evacuation,
    /// placement, lease renewals and expired jobs.
    pub fn tick(&mut self, now: Instant) {
        if self.fenced {
            return;
        }
        if self.was_paused(now) {
            self.resumed_ms = now.steady_ms;
        }
        self.open_due_occurrences(now);
        self.release_expired_leases(now);
        self.requeue_orphaned_tasks(now);
        self.evacuate(now);
        self.end_penalties(self.last_tick_ms, now);
        self.release_withheld_tasks(now);
        self.last_tick_ms = now.steady_ms;
        let is_pass_due = self.placement_needed || self.is_tenant_wait_due(now);
        if is_pass_due && self.may_grant_leases(0, now) && self.knows_cancellations(now) {
            self.place_ready_steps(now);
        }
        self.preempt(now);
        if self.may_grant_leases(0, now) {
            self.copy_late_runs(now);
        }
        self.hold_workers(now);
        self.log_waiting_step(now);
        self.check_lacking_workers(now);
        self.send_due_renewals(now);
        self.expire_final_jobs(now);
    }

    /// Returns when [`Self::tick`] will have work to do even if no event
    /// occurs, by the monotonic clock.
    #[must_use]
    pub fn next_tick_ms(&self, now: Instant) -> Option<u64> {
        let renewals = self
            .incarnations
            .values()
            .filter_map(|worker| match worker.renewal {
                Renewal::Due { at_ms } => Some(at_ms),
                Renewal::InFlight { .. } => None,
            });
        let lease_ends = self.incarnations.values().filter_map(|worker| {
            let waits = worker.is_unresponsive() && !worker.runs.is_empty();
            waits.then(|| {
                worker
                    .leases_end_ms()
                    .max(now.steady_ms + CONFIRMATION_POLL_MS)
            })
        });
        let scheduled_occurrences =
            self.scheduled_occurrences
                .first()
                .map(
                    |&(due_unix_ms, _, _)| match due_unix_ms.checked_sub(now.unix_ms) {
                        Some(wait_ms) => now.steady_ms + wait_ms,
                        // It waits until others have ended.
                        None => now.steady_ms + OCCURRENCE_POLL_MS,
                    },
                );
        let predecessor = (!self.predecessor_incarnations.is_empty()).then(|| {
            self.predecessor_leases_end_ms
                .max(now.steady_ms + CONFIRMATION_POLL_MS)
        });
        let unconfirmed = !self.orphaned_tasks.is_empty() || !self.ended_predecessors.is_empty();
        let orphaned_tasks = unconfirmed.then_some(now.steady_ms + CONFIRMATION_POLL_MS);
        let evacuation = self.evacuation_due_ms(now);
        let penalties = self.penalty_due_ms(now);
        let waits = self.quota.as_ref().filter(|_| self.tenants_wait);
        let quota_call = waits.and_then(PoolQuota::due_ms);
        let quota_call = quota_call.map(|due_ms| due_ms.max(now.steady_ms + QUOTA_POLL_MS));
        renewals
            .chain(lease_ends)
            .chain(scheduled_occurrences)
            .chain(predecessor)
            .chain(orphaned_tasks)
            .chain(evacuation)
            .chain(penalties)
            .chain(self.next_collection_ms)
            .chain(self.silences.due_ms())
            .chain(quota_call)
            .chain(self.late_run_due_ms(now))
            .chain(self.held_workers_due_ms(now))
            .min()
    }

    /// Returns a job's status as visible to callers: final only once it is
    /// stored.
    #[must_use]
    pub fn status(&self, job: JobId) -> Option<JobStatus> {
        let entry = self.jobs.get(&job)?;
        let Some(stored) = entry.stored_status else {
            return entry.accepted.then_some(JobStatus::Pending);
        };
        if stored.is_final() {
            return Some(stored);
        }
        if entry.status == JobStatus::Pending {
            return Some(JobStatus::Pending);
        }
        Some(JobStatus::Running)
    }

    /// Returns the record of a job; `None` if the job is unknown.
    #[must_use]
    pub fn job_record(&self, job: JobId) -> Option<&JobRecord> {
        Some(&self.jobs.get(&job)?.record)
    }

    /// Returns the number of accepted jobs of a queue of which no task has
    /// started.
    #[must_use]
    pub fn waiting(&self, queue: &str) -> usize {
        let waiting = self.active().filter(|entry| {
            entry.record.queue == queue && entry.accepted && entry.status == JobStatus::Pending
        });
        waiting.count()
    }

    /// Returns the queues that have such jobs, with their numbers.
    #[must_use]
    pub fn waiting_by_queue(&self) -> BTreeMap<String, usize> {
        let mut waiting: BTreeMap<String, usize> = BTreeMap::new();
        for entry in self.active() {
            if !entry.accepted || entry.status != JobStatus::Pending {
                continue;
            }
            if let Some(count) = waiting.get_mut(&entry.record.queue) {
                *count += 1;
            } else {
                waiting.insert(entry.record.queue.clone(), 1);
            }
        }
        waiting
    }

    /// Returns the jobs that are not final.
    pub(super) fn active(&self) -> impl Iterator<Item = &JobEntry> {
        let active = self.active_jobs.iter();
        active.filter_map(|id| self.jobs.get(id))
    }

    /// Returns the number of the next run after the highest known one.
    pub(super) fn next_run(&self, last_run: u64) -> u64 {
        let base = self.fencing_token.saturating_sub(1) * RUNS_PER_TERM;
        last_run.max(base) + 1
    }

    pub(super) fn queue_rules(&self, record: &JobRecord) -> QueueRules {
        let stored = QueueRules {
            priority: record.priority,
            max_attempts: record.max_attempts,
            stretch_permille: 1000,
            objective_ms: 0,
            advice: record.advice,
        };
        self.queues.get(&record.queue).copied().unwrap_or(stored)
    }
}
