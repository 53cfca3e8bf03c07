use std::collections::BTreeMap;

use crate::job::JobId;
use crate::job::Resources;
use crate::job::StepId;
use crate::job::TaskId;
use crate::quota::TenantIndex;
use crate::quota::TenantUse;
use crate::speculation::WorkerPace;
use crate::worker::Completeness;
use crate::worker::RegistryEntry;

use super::crashes::LostRun;
use super::crashes::ON_START_MS;
use super::settings::SchedulerSettings;
use super::stored_batch::WorkerRecord;

/// Largest rate error of a slow worker clock, in thousandths, as specified by
/// the platform (20).
const MAX_CLOCK_SLOWNESS_PERMILLE: u64 = 20;
/// Longest time in milliseconds between two readings of a worker's clock: the error
/// that it adds to a lease of 4 s is as long as a renewal may take, 1 s.
const MAX_CLOCK_AGE_MS: u64 = 50_000;
/// Margin after the end of a lease for the worker's own delay in ending its
/// runs.
const LEASE_MARGIN_MS: u64 = 100;
/// Longest time for which this process waits for the answer to an order or a renewal,
/// 1.8 s. The platform sets no bound to how late it is carried out.
const ORDER_DELAY_MS: u64 = 2000;
/// Difference by which the clock of a worker that has not restarted may seem to be set
/// back: answers on different connections overtake each other.
const MAX_CLOCK_STEP_BACK_MS: u64 = ORDER_DELAY_MS;

/// How often the delay between unanswered lease renewals doubles at most.
const MAX_RETRY_DOUBLINGS: u32 = 2;

/// State of one incarnation of a worker, as known to the scheduler.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent"
)]
#[derive(Clone, Debug)]
pub(super) struct WorkerState {
    pub(super) entry: RegistryEntry,
    /// Whether the registry lists it. A reading that is not settled doesn't
    /// clear this.
    pub(super) listed: bool,
    pub(super) contact: Contact,
    pub(super) clock: Option<ClockSample>,
    /// Latest end of a lease sent to it, by the worker's clock.
    pub(super) deadline_clock_ms: u64,
    /// Runs that may occupy capacity, with the resources reserved for them.
    pub(super) runs: BTreeMap<(TaskId, u64), Reservation>,
    pub(super) used: Resources,
    pub(super) tasks_of_step: BTreeMap<StepId, u32>,
    /// Completions up to this sequence number are applied in memory.
    pub(super) applied_completion: u64,
    /// Completions up to this sequence number are stored.
    pub(super) stored_completion: u64,
    /// Completions up to this sequence number are acknowledged by a renewal that the
    /// worker has answered.
    pub(super) acknowledged_completion: u64,
    /// The same once the renewal in flight is answered.
    pub(super) acknowledging_completion: u64,
    /// Completions that are applied and not stored, by sequence number: the job, and the
    /// number of changes of jobs up to it.
    pub(super) unstored_completions: BTreeMap<u64, (JobId, u64)>,
    pub(super) renewal: Renewal,
    /// Whether a task that lasts is not at full speed there yet.
    pub(super) warms_up: bool,
    /// Orders to start that have not been answered yet.
    pub(super) starts_in_flight: usize,
    pub(super) penalty_until_ms: u64,
    /// Runs that failed in a row.
    pub(super) consecutive_failures: u32,
    /// How long its runs take in relation to what is usual.
    pub(super) pace: WorkerPace,
    /// Whether the store records that this incarnation may run tasks.
    pub(super) recorded: bool,
    /// Whether its machine is to be vacated.
    pub(super) vacating: bool,
    /// Whether its machine is due for maintenance.
    pub(super) due: bool,
    /// When it was last to be vacated.
    pub(super) vacated_ms: Option<u64>,
    pub(super) paced_ms: u64,
    /// When its latest report was received.
    pub(super) reported_ms: u64,
    /// When its latest report was requested.
    pub(super) report_requested_ms: u64,
    /// Whether its latest report leaves out completions that follow.
    pub(super) more_completions: bool,
    /// Since when its reports have had rows that can't be read.
    pub(super) unreadable_since_ms: Option<u64>,
    /// When the latest lease renewal without an answer was sent.
    pub(super) failed_renewal_sent_ms: u64,
    /// Lease renewals without an answer since the latest report.
    pub(super) failed_renewals: u32,
    /// When its lease was first found expired, with ownership of the pool
    /// confirmed after the expiry.
    pub(super) lease_end_known_ms: Option<u64>,
    /// Runs ordered from the worker's former incarnation that it may have or have had.
    pub(super) uncertain: BTreeMap<(TaskId, u64), LostRun>,
    /// Whether the former incarnation was leaving as planned.
    pub(super) former_was_leaving: bool,
    /// Until when runs may last that were ordered from the worker's former incarnation.
    /// Their deadlines are by its clock, so that only the longest lease bounds them.
    pub(super) former_orders_end_ms: u64,
    /// Runs of tasks that may crash it, with the times of their starts, until it is
    /// heard of long enough after.
    trials: BTreeMap<(TaskId, u64), u64>,
}

/// What is reserved for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reservation {
    pub(super) need: Resources,
    /// Tenant of the run's job; `None` where limits of tenants aren't in force.
    pub(super) tenant: Option<TenantIndex>,
    /// Whether its task lasts until it is cancelled.
    pub(super) lasts: bool,
}

/// Whether a worker responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contact {
    /// Not contacted under this fencing token yet.
    Unknown,
    /// Answered the latest lease renewal.
    Responsive,
    /// Has not answered since this time.
    Unresponsive { since_ms: u64 },
}

/// State of a worker's next lease renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Renewal {
    /// To be sent at this time.
    Due { at_ms: u64 },
    /// Sent at this time and not answered yet.
    InFlight { sent_ms: u64 },
}

/// A reading of a worker's clock, taken at or before the local time
/// `received_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClockSample {
    pub(super) clock_ms: u64,
    pub(super) received_ms: u64,
}

impl WorkerState {
    pub(super) fn new(entry: RegistryEntry) -> Self {
        Self {
            entry,
            listed: true,
            contact: Contact::Unknown,
            clock: None,
            deadline_clock_ms: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            tasks_of_step: BTreeMap::new(),
            applied_completion: 0,
            stored_completion: 0,
            acknowledged_completion: 0,
            acknowledging_completion: 0,
            unstored_completions: BTreeMap::new(),
            renewal: Renewal::Due { at_ms: 0 },
            warms_up: false,
            starts_in_flight: 0,
            penalty_until_ms: 0,
            consecutive_failures: 0,
            pace: WorkerPace::default(),
            recorded: false,
            vacating: false,
            due: false,
            vacated_ms: None,
            paced_ms: 0,
            reported_ms: 0,
            report_requested_ms: 0,
            more_completions: false,
            unreadable_since_ms: None,
            failed_renewal_sent_ms: 0,
            failed_renewals: 0,
            lease_end_known_ms: None,
            uncertain: BTreeMap::new(),
            former_was_leaving: false,
            former_orders_end_ms: 0,
            trials: BTreeMap::new(),
        }
    }

    /// Returns the labels that name its rack. The first label names its kind.
    pub(super) fn racks(&self) -> impl Iterator<Item = &str> {
        self.entry.labels.iter().skip(1).map(String::as_str)
    }

    /// Returns the record of this incarnation to be stored.
    pub(super) fn record(&self) -> WorkerRecord {
        WorkerRecord {
            id: self.entry.id.clone(),
            born_unix_ms: self.entry.born_unix_ms,
            machine: self.entry.machine.clone(),
        }
    }

    /// Returns the least that the worker's clock can show at a local time, from its
    /// latest reading.
    fn earliest_clock_at(&self, now_ms: u64) -> Option<u64> {
        let sample = self.clock?;
        let age_ms = now_ms.saturating_sub(sample.received_ms);
        let passed_ms = age_ms * (1000 - MAX_CLOCK_SLOWNESS_PERMILLE) / 1000;
        Some(sample.clock_ms + passed_ms)
    }

    /// Returns when a report is needed for its reading of the worker's clock.
    pub(super) fn clock_due_ms(&self) -> u64 {
        self.heard_ms().max(self.reported_ms) + MAX_CLOCK_AGE_MS
    }

    /// Returns when the worker was last heard of; 0 if never.
    pub(super) fn heard_ms(&self) -> u64 {
        self.clock.map_or(0, |sample| sample.received_ms)
    }

    /// Whether the worker is about to leave as planned, or was when it was last heard
    /// of.
    pub(super) fn is_leaving(&self) -> bool {
        let heard_ms = self.heard_ms();
        self.vacating || self.entry.draining || self.vacated_ms.is_some_and(|at| at >= heard_ms)
    }

    /// Records a reading of the worker's clock unless a newer one is known.
    pub(super) fn record_clock(&mut self, clock_ms: u64, received_ms: u64) {
        let is_newer = self
            .clock
            .is_none_or(|sample| sample.received_ms <= received_ms);
        if is_newer && clock_ms > 0 {
            self.clock = Some(ClockSample {
                clock_ms,
                received_ms,
            });
        }
    }

    /// Records the clock in the answer to an order. The worker may have restarted, which
    /// its next report shows.
    pub(super) fn record_order_clock(&mut self, clock_ms: u64, now_ms: u64, max_lease_ms: u64) {
        let restarted = self.clock.is_some_and(|sample| {
            clock_ms > 0 && clock_ms + MAX_CLOCK_STEP_BACK_MS < sample.clock_ms
        });
        if restarted {
            self.expect_former_orders(now_ms, max_lease_ms);
        } else {
            self.record_clock(clock_ms, now_ms);
        }
    }

    /// Records that orders sent until now may be carried out by a later incarnation than
    /// they were meant for. Their deadlines mean nothing to its clock.
    pub(super) fn expect_former_orders(&mut self, now_ms: u64, max_lease_ms: u64) {
        let arrived_ms = now_ms + ORDER_DELAY_MS;
        let end_ms = arrived_ms + longest_ms(max_lease_ms) + LEASE_MARGIN_MS;
        self.former_orders_end_ms = self.former_orders_end_ms.max(end_ms);
    }

    /// Extends the lease from now on and returns its end by the worker's clock,
    /// or `None` if that clock is unknown. A successor waits for `lease_ms` only, so
    /// that the lease must not be longer.
    pub(super) fn extend_lease(&mut self, now_ms: u64, lease_ms: u64) -> Option<u64> {
        let deadline = self.earliest_clock_at(now_ms)? + lease_ms;
        self.deadline_clock_ms = self.deadline_clock_ms.max(deadline);
        Some(deadline)
    }

    /// Returns the delay before the next lease renewal of a worker that did not
    /// answer. While nothing runs there it doubles with each failure: after a wave
    /// of moves or a lost rack, the registry lists many workers that have ended.
    pub(super) fn retry_delay_ms(&self, settings: &SchedulerSettings) -> u64 {
        if !self.runs.is_empty() {
            return settings.renewal_retry_ms;
        }
        let doublings = self
            .failed_renewals
            .saturating_sub(1)
            .min(MAX_RETRY_DOUBLINGS);
        settings.renewal_retry_ms << doublings
    }

    /// Returns the local time by which all runs ordered here have certainly
    /// ended.
    pub(super) fn leases_end_ms(&self) -> u64 {
        let end_ms = self.clock.map_or(0, |sample| {
            let left_ms = self.deadline_clock_ms.saturating_sub(sample.clock_ms);
            sample.received_ms + longest_ms(left_ms) + LEASE_MARGIN_MS
        });
        end_ms.max(self.former_orders_end_ms)
    }

    /// Records what the latest report leaves out.
    pub(super) fn record_completeness(&mut self, completeness: Completeness, now_ms: u64) {
        self.more_completions = completeness == Completeness::MoreCompletions;
        if completeness == Completeness::UnreadableRows {
            self.unreadable_since_ms.get_or_insert(now_ms);
        } else {
            self.unreadable_since_ms = None;
        }
    }

    /// Records that a completion has been applied, which made its job change up to a
    /// number of changes.
    pub(super) fn record_completion(&mut self, sequence: u64, job: JobId, changes: u64) {
        if sequence > self.stored_completion {
            let unstored = self.unstored_completions.entry(sequence);
            unstored.or_insert((job, changes));
        }
    }

    /// Records that completions up to a sequence number are stored.
    pub(super) fn completions_stored(&mut self, sequence: u64) {
        self.stored_completion = self.stored_completion.max(sequence);
        let stored = self.stored_completion;
        self.unstored_completions
            .retain(|sequence, _| *sequence > stored);
    }

    /// Returns the sequence number that the next renewal acknowledges; 0 if there is
    /// nothing new. The next incarnation counts from 1 again and would forget
    /// completions that nobody has read.
    pub(super) fn acknowledge(&mut self) -> u64 {
        let is_new = self.stored_completion > self.acknowledged_completion;
        // A worker that did not answer may have restarted.
        if !is_new || self.is_unresponsive() {
            self.acknowledging_completion = self.acknowledged_completion;
            return 0;
        }
        self.acknowledging_completion = self.stored_completion;
        self.stored_completion
    }

    /// Reserves capacity for a run.
    pub(super) fn reserve(
        &mut self,
        task: TaskId,
        run: u64,
        reservation: Reservation,
        tenants: &mut TenantUse,
    ) {
        let Reservation {
            need,
            tenant,
            lasts,
        } = reservation;
        if self.runs.insert((task, run), reservation).is_none() {
            self.used = self.used.plus(need);
            tenants.reserve(tenant, need, lasts);
            *self.tasks_of_step.entry(task.step).or_default() += 1;
        }
    }

    /// Tries a run of a task that may crash the worker.
    pub(super) fn begin_trial(&mut self, task: TaskId, run: u64, started_ms: u64) {
        self.trials.insert((task, run), started_ms);
    }

    /// Whether a task is being tried that may crash the worker.
    pub(super) fn is_on_trial(&self) -> bool {
        !self.trials.is_empty()
    }

    /// Ends the trials that the worker has withstood.
    pub(super) fn end_trials(&mut self) {
        let heard_ms = self.heard_ms();
        self.trials
            .retain(|_, started_ms| heard_ms <= *started_ms + ON_START_MS);
    }

    /// Releases the capacity reserved for a run.
    pub(super) fn release(&mut self, task: TaskId, run: u64, tenants: &mut TenantUse) {
        self.trials.remove(&(task, run));
        self.uncertain.remove(&(task, run));
        let Some(reservation) = self.runs.remove(&(task, run)) else {
            return;
        };
        let Reservation {
            need,
            tenant,
            lasts,
        } = reservation;
        self.used = self.used.minus(need);
        tenants.release(tenant, need, lasts);
        if let Some(count) = self.tasks_of_step.get_mut(&task.step) {
            *count -= 1;
            if *count == 0 {
                self.tasks_of_step.remove(&task.step);
            }
        }
    }

    /// Returns the number of tasks of a step that may run here.
    pub(super) fn tasks_of(&self, step: StepId) -> u32 {
        self.tasks_of_step.get(&step).copied().unwrap_or(0)
    }

    /// Treats a worker as unresponsive: it gets no new tasks until it answers a
    /// lease renewal, which is sent at once.
    pub(super) fn suspect(&mut self, now_ms: u64) {
        if self.contact == Contact::Responsive {
            self.contact = Contact::Unresponsive { since_ms: now_ms };
        }
        self.renew_by(now_ms);
    }

    /// Moves the next lease renewal forward to `at_ms`, unless one is in
    /// flight.
    pub(super) fn renew_by(&mut self, at_ms: u64) {
        match self.renewal {
            Renewal::Due { at_ms: due } => {
                self.renewal = Renewal::Due {
                    at_ms: due.min(at_ms),
                };
            }
            Renewal::InFlight { .. } => {}
        }
    }
}

/// Returns the longest time that an interval of a worker's clock takes.
fn longest_ms(clock_interval_ms: u64) -> u64 {
    clock_interval_ms * 1000 / (1000 - MAX_CLOCK_SLOWNESS_PERMILLE)
}
