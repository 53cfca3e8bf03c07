use std::collections::HashMap;
use std::collections::VecDeque;

use crate::job::JobId;
use crate::tenant::Tenants;

use super::duration_model::DurationModel;
use super::fair_shares::FairShares;
use super::fair_shares::ShareClass;
use super::job_offer::JobOffer;
use super::job_sizes::JobSizes;
use super::loss_order::density;
use super::pool_view::PoolView;
use super::recent_demand::RecentDemand;
use super::return_book::Promise;
use super::return_book::ReturnBook;
use super::verdict::RefusalReason;
use super::verdict::Verdict;

/// Longest wait for earlier work at the current capacity, in percent of a job's
/// slack. It may exceed the slack because machines of other pools join within
/// three seconds.
const MAX_WAIT_PERCENT_OF_SLACK: u64 = 220;
/// The same where callers compete for too little capacity, for the job that loses least of
/// the recent ones, and for the one that loses most. From 60 to 200 percent, jobs were refused
/// on played days that machines on their way to the pool would have served in time.
const PRESSURE_WAIT_PERCENT_OF_SLACK: (u64, u64) = (120, 260);
/// Number of recent jobs with which the loss of a job is compared.
const COMPARED_JOBS: usize = 64;
/// Shortest time after which a rejected caller may retry.
const MIN_RETRY_AFTER_MS: u64 = 1000;
/// Longest time after which a rejected caller may retry: a surge passes within
/// seconds.
const MAX_RETRY_AFTER_MS: u64 = 8000;
/// Retry-After of a job that is worth nothing by the time that there is capacity.
const TOO_LATE_RETRY_AFTER_MS: u64 = 30_000;
/// Multiple of the objective after which a job is worth nothing.
const WORTHLESS_OBJECTIVES: u64 = 3;
/// Capacity assumed while a pool has no usable worker.
const ASSUMED_CAPACITY_MILLICORES: u64 = 64_000;

/// Decides which jobs a pool takes, and when the callers of the others may retry.
///
/// A surge offers several times the capacity of a pool. A job accepted beyond its objective
/// is of no use and delays all later ones, so a job is admitted only while the accepted
/// work leaves time for its own critical path.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    weighs_loss: bool,
    /// Model of task durations by queue.
    duration_of_queue: HashMap<String, DurationModel>,
    demand: RecentDemand,
    shares: FairShares,
    sizes_of_queue: HashMap<String, JobSizes>,
    /// Priorities and densities of the recent jobs.
    recent_losses: VecDeque<(u32, u64)>,
    returns: ReturnBook,
    last_verdict: Option<Verdict>,
}

impl Admission {
    /// Creates an admission that has learned nothing. `weighs_loss` says whether callers
    /// compete for too little capacity.
    ///
    /// ```
    /// use cornelpoint::admission::Admission;
    /// use cornelpoint::admission::JobOffer;
    /// use cornelpoint::admission::PoolView;
    /// use cornelpoint::job::Resources;
    ///
    /// let mut admission = Admission::new(false);
    /// let offer = JobOffer {
    ///     id: "0000000000000001".parse().unwrap(),
    ///     queue: "quotes",
    ///     tenant: None,
    ///     priority: 0,
    ///     work_core_ms: 4000,
    ///     dominant_core_ms: 4000,
    ///     slack_ms: 1000,
    ///     objective_ms: 2000,
    /// };
    /// let mut view = PoolView {
    ///     capacity: Resources { cpu_millicores: 8000, memory_mb: 1000, accelerators: 0 },
    ///     ..PoolView::default()
    /// };
    /// assert!(admission.decide(&offer, &view, 0, || false).refused.is_none());
    /// view.backlog_core_ms = 32_000;
    /// let verdict = admission.decide(&offer, &view, 0, || false);
    /// assert_eq!((verdict.wait_ms, verdict.retry_after_ms), (4000, 1800));
    /// ```
    #[must_use]
    pub fn new(weighs_loss: bool) -> Self {
        Self {
            weighs_loss,
            shares: FairShares::new(weighs_loss),
            ..Self::default()
        }
    }

    /// Applies the tenants of a configuration.
    pub fn set_tenants(&mut self, tenants: &Tenants) {
        self.shares.set_tenants(tenants);
    }

    /// Returns the shares of the tenants.
    #[must_use]
    pub fn shares(&self) -> &FairShares {
        &self.shares
    }

    /// Returns the promised returns.
    #[must_use]
    pub fn returns(&self) -> &ReturnBook {
        &self.returns
    }

    /// Returns the last decision, for the log.
    #[must_use]
    pub fn last_verdict(&self) -> Option<&Verdict> {
        self.last_verdict.as_ref()
    }

    /// Records how long a task of a queue took, given the caller's estimate.
    pub fn learn_duration(&mut self, queue: &str, estimate_ms: u64, took_ms: u64) {
        if !self.duration_of_queue.contains_key(queue) {
            self.duration_of_queue
                .insert(queue.to_owned(), DurationModel::default());
        }
        if let Some(model) = self.duration_of_queue.get_mut(queue) {
            model.learn(estimate_ms, took_ms);
        }
    }

    /// Returns the expected duration of a task, given the caller's estimate.
    #[must_use]
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        let model = self.duration_of_queue.get(queue);
        model.map_or(estimate_ms, |model| model.expected_ms(estimate_ms))
    }

    /// Returns when a job was first refused, if that is still on record.
    #[must_use]
    pub fn first_rejected_ms(&self, id: JobId) -> Option<u64> {
        let promised = self.returns.get(id).map(|promise| promise.first_ms);
        promised.or_else(|| self.demand.first_rejected_ms(id))
    }

    /// Records the work of a submitted job, unless it has been refused before.
    pub fn record_offered(&mut self, id: JobId, work_core_ms: u64, now_ms: u64) {
        if self.first_rejected_ms(id).is_none() {
            self.demand.record_offered(work_core_ms, now_ms);
        }
    }

    /// Records refused work, which shows how much more capacity the pool could use.
    pub fn record_rejected(&mut self, id: JobId, work_core_ms: u64, now_ms: u64) {
        self.demand.record_rejected(id, work_core_ms, now_ms);
    }

    /// Returns the CPU needed to keep up with the work that is being submitted, in
    /// thousandths of a core.
    #[must_use]
    pub fn offered_millicores(&self, now_ms: u64) -> u64 {
        self.demand.offered_millicores(now_ms)
    }

    /// Returns the work refused lately, in core-milliseconds.
    #[must_use]
    pub fn rejected_core_ms(&self, now_ms: u64) -> u64 {
        self.demand.rejected_core_ms(now_ms)
    }

    /// Records that tasks start, with their expected work by the dominant resource.
    pub fn record_started(&mut self, tenant: Option<&str>, dominant_core_ms: u64, now_ms: u64) {
        if self.shares.is_active() {
            self.shares.record_started(tenant, dominant_core_ms, now_ms);
        }
    }

    /// Returns the value of a job of a queue if it is in time, relative to a mean job of the
    /// queue, in thousandths; `u64::MAX` if it must not wait, since too few jobs of its size
    /// are admitted.
    #[must_use]
    pub fn value_milli(&self, queue: &str, work_core_ms: u64) -> u64 {
        let Some(sizes) = self.sizes_of_queue.get(queue) else {
            return 1000;
        };
        if sizes.is_starving(work_core_ms) {
            return u64::MAX;
        }
        sizes.value_milli(work_core_ms)
    }

    /// Decides whether a job is admitted. `has_idle_room` says whether its first tasks fit
    /// beside all that waits; it is called only where the decision depends on it.
    pub fn decide(
        &mut self,
        offer: &JobOffer<'_>,
        view: &PoolView,
        now_ms: u64,
        has_idle_room: impl FnOnce() -> bool,
    ) -> Verdict {
        let first_ms = self.first_rejected_ms(offer.id).unwrap_or(now_ms);
        let class = self.class(offer, now_ms);
        let density = self.note_density(offer, first_ms == now_ms);
        let is_on_time = self.weighs_loss && self.returns.is_on_time(offer.id, now_ms);
        let free_millicores = self.free_millicores(view);
        let mut ahead_core_ms = if self.shares.is_active() {
            self.shares.work_before(offer.tenant, class, view, now_ms)
        } else {
            view.backlog_core_ms
        };
        if self.weighs_loss && !is_on_time {
            self.returns.drop_missed(now_ms);
            ahead_core_ms += self.returns.kept_core_ms(now_ms);
        }
        let wait_ms = ahead_core_ms * 1000 / free_millicores;
        let slack_ms = offer.slack_ms.saturating_sub(now_ms - first_ms);
        let percent = self.wait_percent(offer.priority, density, is_on_time);
        let allowed_ms = slack_ms * percent / 100;
        // A retry that is too late for the job's objective only gets capacity
        // that no other job needs.
        let in_time = slack_ms > 0 && wait_ms <= allowed_ms;
        let mut verdict = Verdict {
            refused: None,
            retry_after_ms: 0,
            wait_ms,
            allowed_ms,
            class,
        };
        if !in_time && !has_idle_room() {
            let beyond_share = self.shares.is_active()
                && (class == ShareClass::Excess || self.shares.is_beyond_share(offer.tenant, view));
            verdict.refused = Some(if beyond_share {
                RefusalReason::BeyondShare
            } else {
                RefusalReason::NoCapacity
            });
            verdict.retry_after_ms = wait_ms
                .saturating_sub(allowed_ms)
                .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
            self.promise_return(offer, &mut verdict, view, first_ms, now_ms);
        }
        if let Some(sizes) = self.sizes_of_queue.get_mut(offer.queue) {
            sizes.record_decision(offer.work_core_ms, verdict.refused.is_none());
        }
        self.last_verdict = Some(verdict);
        verdict
    }

    /// Gives up the room kept for a job that is now accepted, and what is known of its
    /// earlier attempts.
    pub fn forget_return(&mut self, id: JobId) {
        self.returns.remove(id);
    }

    /// Records a decision that was made without [`Self::decide`], for the log.
    pub fn record_verdict(&mut self, verdict: Verdict) -> Verdict {
        self.last_verdict = Some(verdict);
        verdict
    }

    /// Returns whether a job's tenant is owed capacity for it; a retry keeps its class.
    fn class(&mut self, offer: &JobOffer<'_>, now_ms: u64) -> ShareClass {
        if !self.shares.is_active() {
            return ShareClass::Owed;
        }
        match self.returns.get(offer.id) {
            Some(promise) => promise.class,
            None => self.shares.count_job(offer.tenant, now_ms),
        }
    }

    /// Returns the density of a submitted job, with which later ones are compared.
    fn note_density(&mut self, offer: &JobOffer<'_>, is_first: bool) -> u64 {
        if !self.weighs_loss {
            return 0;
        }
        if is_first {
            if !self.sizes_of_queue.contains_key(offer.queue) {
                self.sizes_of_queue
                    .insert(offer.queue.to_owned(), JobSizes::default());
            }
            if let Some(sizes) = self.sizes_of_queue.get_mut(offer.queue) {
                sizes.record(offer.work_core_ms);
            }
        }
        let work = offer.work_core_ms;
        let density = density(self.value_milli(offer.queue, work), work);
        if is_first {
            self.recent_losses.push_back((offer.priority, density));
            if self.recent_losses.len() > COMPARED_JOBS {
                self.recent_losses.pop_front();
            }
        }
        density
    }

    /// Returns the longest wait for which a job is admitted, in percent of its slack.
    fn wait_percent(&self, priority: u32, density: u64, is_on_time: bool) -> u64 {
        if !self.weighs_loss {
            return MAX_WAIT_PERCENT_OF_SLACK;
        }
        let (least, most) = PRESSURE_WAIT_PERCENT_OF_SLACK;
        if is_on_time {
            return most;
        }
        let recent = self.recent_losses.iter();
        let lesser = recent.filter(|&&(other_priority, other)| {
            other_priority > priority || (other_priority == priority && other < density)
        });
        let lesser = lesser.count() as u64;
        let others = (self.recent_losses.len() as u64).saturating_sub(1);
        let span = most - least;
        least
            + (span * lesser)
                .checked_div(others)
                .unwrap_or(span)
                .min(span)
    }

    fn free_millicores(&self, view: &PoolView) -> u64 {
        let mut capacity = view.capacity.cpu_millicores;
        if self.weighs_loss {
            // Workers that have not reported to a new owner yet serve what it has inherited.
            capacity = capacity.saturating_add(view.joining_millicores);
        }
        if capacity == 0 {
            // Machines are already being moved to a pool that has none.
            capacity = ASSUMED_CAPACITY_MILLICORES;
        }
        capacity.saturating_sub(view.lasting_millicores).max(1)
    }

    /// Tells the caller of a refused job when there will be capacity, and keeps it for the
    /// caller if the job can then be in time.
    fn promise_return(
        &mut self,
        offer: &JobOffer<'_>,
        verdict: &mut Verdict,
        view: &PoolView,
        first_ms: u64,
        now_ms: u64,
    ) {
        let mut promise = Promise {
            first_ms,
            return_ms: now_ms + verdict.retry_after_ms,
            work_core_ms: 0,
            in_time: false,
            class: verdict.class,
        };
        if self.weighs_loss {
            let free_millicores = self.free_millicores(view);
            self.returns.remove(offer.id);
            let left_ms = (first_ms + offer.slack_ms).saturating_sub(now_ms);
            let in_time_core_ms = verdict.wait_ms.saturating_mul(free_millicores) / 1000;
            let in_time = self
                .returns
                .first_free_s(in_time_core_ms, free_millicores, now_ms);
            let in_time = in_time.filter(|second| second * 1000 < left_ms);
            let drained_core_ms = view.backlog_core_ms + view.late_core_ms;
            let drained = || {
                self.returns
                    .first_free_s(drained_core_ms, free_millicores, now_ms)
            };
            let critical_path_ms = offer.objective_ms.saturating_sub(offer.slack_ms);
            let worthless_ms = first_ms + offer.objective_ms * WORTHLESS_OBJECTIVES;
            match in_time.or_else(drained) {
                Some(second) if now_ms + second * 1000 + critical_path_ms < worthless_ms => {
                    verdict.retry_after_ms = second * 1000;
                    promise.work_core_ms = offer.dominant_core_ms;
                    promise.in_time = in_time.is_some();
                }
                _ => {
                    verdict.refused = Some(RefusalReason::TooLate);
                    verdict.retry_after_ms = TOO_LATE_RETRY_AFTER_MS;
                }
            }
            promise.return_ms = now_ms + verdict.retry_after_ms;
        }
        if self.weighs_loss || self.shares.is_active() {
            self.returns.promise(offer.id, promise, now_ms);
        }
    }
}
