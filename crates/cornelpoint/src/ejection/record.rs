use super::evidence::Evidence;
use super::evidence::LatencyLimits;
use super::evidence::Mark;
use super::latency_estimate::LatencyEstimate;
use super::limits::FORGIVE_MS;
use super::limits::US_PER_MS;
use super::outcome::Outcome;
use super::standing::Condition;
use super::standing::Pause;
use super::standing::Standing;
use crate::platform::InstanceState;

/// All that is remembered of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointRecord {
    pub(super) epoch: u64,
    pub(super) standing: Standing,
    pub(super) suspect: bool,
    pub(super) latency: LatencyEstimate,
    evidence: Evidence,
    ejections: u32,
    admitted_ms: u64,
}

impl EndpointRecord {
    pub(super) fn condition(&self) -> Condition {
        self.standing.condition()
    }

    /// Whether the endpoint counts among those that take requests.
    pub(super) fn is_reachable(&self) -> bool {
        matches!(self.condition(), Condition::Admitted | Condition::Ejected)
    }

    /// Takes in what a list or the endpoint says of an epoch.
    ///
    /// A newer epoch goes before an older one, and within an epoch `Leaving`
    /// before `Live`, so that news may come in any order.
    pub(super) fn observe(&mut self, epoch: u64, state: InstanceState) {
        if epoch < self.epoch {
            return;
        }
        let is_newer = epoch > self.epoch;
        self.epoch = epoch;
        match state {
            InstanceState::Leaving => self.standing = Standing::Leaving,
            InstanceState::Live if is_newer => self.restart(),
            InstanceState::Live => {}
        }
    }

    fn restart(&mut self) {
        if !matches!(self.standing, Standing::Ejected(_)) {
            self.standing = Standing::Admitted;
        }
    }

    pub(super) fn record_start(&mut self, now_ms: u64) {
        self.evidence.record_start(now_ms);
    }

    pub(super) fn start_trial(&mut self, now_ms: u64) {
        if let Some(pause) = self.standing.pause_mut() {
            pause.start_trial(now_ms);
        }
    }

    pub(super) fn record(
        &mut self,
        outcome: Outcome,
        started_ms: u64,
        limits: &LatencyLimits,
        now_ms: u64,
    ) {
        self.evidence.record_end(started_ms);
        match outcome {
            Outcome::Leaving => self.standing = Standing::Leaving,
            Outcome::Refused => self.refuse(started_ms, now_ms),
            Outcome::Withdrawn => self.withdraw(started_ms),
            Outcome::Succeeded | Outcome::Failed | Outcome::TimedOut => {
                self.judge(outcome, started_ms, limits, now_ms);
            }
        }
    }

    fn refuse(&mut self, started_ms: u64, now_ms: u64) {
        match &mut self.standing {
            Standing::Down(pause) if pause.is_trial(started_ms) => pause.fail_trial(now_ms),
            Standing::Down(_) | Standing::Leaving => {}
            Standing::Admitted | Standing::Ejected(_) => {
                self.standing = Standing::Down(Pause::after_refusal(now_ms));
            }
        }
    }

    fn withdraw(&mut self, started_ms: u64) {
        if let Some(pause) = self.standing.pause_mut()
            && pause.is_trial(started_ms)
        {
            pause.withdraw_trial();
        }
    }

    fn judge(&mut self, outcome: Outcome, started_ms: u64, limits: &LatencyLimits, now_ms: u64) {
        let latency_ms = now_ms.saturating_sub(started_ms);
        let Some(mark) = mark_of(outcome, latency_ms, limits) else {
            self.withdraw(started_ms);
            return;
        };
        if outcome == Outcome::Succeeded {
            self.latency.record(latency_ms * US_PER_MS);
        }
        let is_trial = |pause: &Pause| pause.is_trial(started_ms);
        if self.standing.pause().is_some_and(is_trial) {
            self.end_trial(mark, now_ms);
            return;
        }
        self.evidence.record_mark(mark, now_ms);
        if self.condition() == Condition::Admitted && self.evidence.has_recovered() {
            self.suspect = false;
        }
    }

    fn end_trial(&mut self, mark: Mark, now_ms: u64) {
        if mark == Mark::Good {
            self.admit(now_ms);
            self.suspect = false;
        } else if let Some(pause) = self.standing.pause_mut() {
            pause.fail_trial(now_ms);
        }
    }

    fn admit(&mut self, now_ms: u64) {
        self.standing = Standing::Admitted;
        self.admitted_ms = now_ms;
        self.evidence.start_probation(now_ms);
    }

    /// Sends requests to the endpoint again although it has not recovered.
    pub(super) fn release(&mut self) {
        if self.condition() == Condition::Ejected {
            self.standing = Standing::Admitted;
        }
    }

    pub(super) fn eject(&mut self, now_ms: u64) {
        let is_forgiven = now_ms.saturating_sub(self.admitted_ms) > FORGIVE_MS;
        if is_forgiven {
            self.ejections = 0;
        }
        self.standing = Standing::Ejected(Pause::after_ejection(self.ejections, now_ms));
        self.ejections += 1;
    }

    /// Looks at the requests that run, for those that take too long.
    pub(super) fn review(&mut self, limits: &LatencyLimits, now_ms: u64) {
        if self.condition() == Condition::Admitted && self.evidence.is_bad(limits, now_ms) {
            self.suspect = true;
        }
        let Some(pause) = self.standing.pause_mut() else {
            return;
        };
        let age_ms = |trial| now_ms.saturating_sub(trial);
        if pause
            .trial_ms()
            .is_some_and(|trial| limits.is_hanging(age_ms(trial)))
        {
            pause.fail_trial(now_ms);
        }
    }

    /// Starts anew when the service is at fault no longer.
    pub(super) fn forget(&mut self) {
        self.suspect = false;
        self.evidence.forget();
    }

    /// Whether the endpoint is likely to be as bad as a suspect.
    pub(super) fn looks_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        self.suspect || self.evidence.looks_bad(limits, now_ms)
    }

    pub(super) fn is_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        self.evidence.is_bad(limits, now_ms)
    }
}

/// What an outcome says; nothing for a deadline too short to tell.
fn mark_of(outcome: Outcome, latency_ms: u64, limits: &LatencyLimits) -> Option<Mark> {
    let is_slow = limits.is_slow(latency_ms);
    match outcome {
        Outcome::Succeeded if is_slow => Some(Mark::Slow),
        Outcome::Succeeded => Some(Mark::Good),
        Outcome::Failed => Some(Mark::Failed),
        Outcome::TimedOut if is_slow => Some(Mark::Failed),
        Outcome::TimedOut | Outcome::Withdrawn | Outcome::Refused | Outcome::Leaving => None,
    }
}
