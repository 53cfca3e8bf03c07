use super::admission_state::AdmissionState;
use super::admission_state::Condition;
use super::admission_state::Pause;
use super::latency_estimate::LatencyEstimate;
use super::limits::EJECTION_RESET_MS;
use super::limits::US_PER_MS;
use super::outcome::Outcome;
use super::outcome_history::LatencyLimits;
use super::outcome_history::OutcomeClass;
use super::outcome_history::OutcomeHistory;
use crate::platform::InstanceState;

/// Health record of one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointRecord {
    pub(super) epoch: u64,
    pub(super) admission: AdmissionState,
    pub(super) suspect: bool,
    pub(super) latency: LatencyEstimate,
    history: OutcomeHistory,
    ejections: u32,
    admitted_ms: u64,
}

impl EndpointRecord {
    pub(super) fn condition(&self) -> Condition {
        self.admission.condition()
    }

    /// Returns whether the endpoint is neither leaving nor down. Shares of a
    /// pool are counted over these endpoints.
    pub(super) fn is_reachable(&self) -> bool {
        matches!(self.condition(), Condition::Admitted | Condition::Ejected)
    }

    /// Applies the state that a list or the endpoint reports for an epoch.
    ///
    /// A newer epoch takes precedence over an older one, and within an epoch
    /// `Leaving` over `Live`, so that reports may arrive in any order.
    pub(super) fn observe(&mut self, epoch: u64, state: InstanceState) {
        if epoch < self.epoch {
            return;
        }
        let is_newer = epoch > self.epoch;
        self.epoch = epoch;
        match state {
            InstanceState::Leaving => self.admission = AdmissionState::Leaving,
            InstanceState::Live if is_newer => self.start_epoch(),
            InstanceState::Live => {}
        }
    }

    fn start_epoch(&mut self) {
        if !matches!(self.admission, AdmissionState::Ejected(_)) {
            self.admission = AdmissionState::Admitted;
        }
    }

    pub(super) fn record_start(&mut self, now_ms: u64) {
        self.history.record_start(now_ms);
    }

    pub(super) fn start_trial(&mut self, now_ms: u64) {
        if let Some(pause) = self.admission.pause_mut() {
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
        self.history.record_end(started_ms);
        match outcome {
            Outcome::Leaving => self.admission = AdmissionState::Leaving,
            Outcome::Refused => self.record_refusal(started_ms, now_ms),
            Outcome::Withdrawn => self.record_withdrawal(started_ms),
            Outcome::Succeeded | Outcome::Failed | Outcome::TimedOut => {
                self.apply(outcome, started_ms, limits, now_ms);
            }
        }
    }

    fn record_refusal(&mut self, started_ms: u64, now_ms: u64) {
        match &mut self.admission {
            AdmissionState::Down(pause) if pause.is_trial(started_ms) => pause.fail_trial(now_ms),
            AdmissionState::Down(_) | AdmissionState::Leaving => {}
            AdmissionState::Admitted | AdmissionState::Ejected(_) => {
                self.admission = AdmissionState::Down(Pause::after_refusal(now_ms));
            }
        }
    }

    fn record_withdrawal(&mut self, started_ms: u64) {
        if let Some(pause) = self.admission.pause_mut()
            && pause.is_trial(started_ms)
        {
            pause.withdraw_trial();
        }
    }

    fn apply(&mut self, outcome: Outcome, started_ms: u64, limits: &LatencyLimits, now_ms: u64) {
        let latency_ms = now_ms.saturating_sub(started_ms);
        let Some(class) = classify(outcome, latency_ms, limits) else {
            self.record_withdrawal(started_ms);
            return;
        };
        if outcome == Outcome::Succeeded {
            self.latency.record(latency_ms * US_PER_MS);
        }
        let is_trial = |pause: &Pause| pause.is_trial(started_ms);
        if self.admission.pause().is_some_and(is_trial) {
            self.end_trial(class, now_ms);
            return;
        }
        self.history.record_outcome(class, now_ms);
        if self.condition() == Condition::Admitted && self.history.has_recovered() {
            self.suspect = false;
        }
    }

    fn end_trial(&mut self, class: OutcomeClass, now_ms: u64) {
        if class == OutcomeClass::Good {
            self.admit(now_ms);
            self.suspect = false;
        } else if let Some(pause) = self.admission.pause_mut() {
            pause.fail_trial(now_ms);
        }
    }

    fn admit(&mut self, now_ms: u64) {
        self.admission = AdmissionState::Admitted;
        self.admitted_ms = now_ms;
        self.history.start_probation(now_ms);
    }

    /// Admits an ejected endpoint although it has not recovered.
    pub(super) fn readmit(&mut self) {
        if self.condition() == Condition::Ejected {
            self.admission = AdmissionState::Admitted;
        }
    }

    pub(super) fn eject(&mut self, now_ms: u64) {
        let resets_count = now_ms.saturating_sub(self.admitted_ms) > EJECTION_RESET_MS;
        if resets_count {
            self.ejections = 0;
        }
        self.admission = AdmissionState::Ejected(Pause::after_ejection(self.ejections, now_ms));
        self.ejections += 1;
    }

    /// Updates the suspicion from the history, and fails a trial that hangs.
    pub(super) fn review(&mut self, limits: &LatencyLimits, now_ms: u64) {
        if self.condition() == Condition::Admitted && self.history.is_bad(limits, now_ms) {
            self.suspect = true;
        }
        let Some(pause) = self.admission.pause_mut() else {
            return;
        };
        let age_ms = |trial| now_ms.saturating_sub(trial);
        if pause
            .trial_started_ms()
            .is_some_and(|trial| limits.is_hanging(age_ms(trial)))
        {
            pause.fail_trial(now_ms);
        }
    }

    /// Clears suspicion and outcomes once the service is no longer at fault.
    pub(super) fn clear_outcomes(&mut self) {
        self.suspect = false;
        self.history.clear_outcomes();
    }

    /// Returns whether the endpoint is suspect or is likely to become so.
    pub(super) fn looks_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        self.suspect || self.history.looks_bad(limits, now_ms)
    }

    pub(super) fn is_bad(&self, limits: &LatencyLimits, now_ms: u64) -> bool {
        self.history.is_bad(limits, now_ms)
    }
}

/// Classifies an outcome. Returns `None` if it says nothing about the endpoint.
/// A time-out says nothing if the deadline was so short that the request did
/// not yet count as slow.
fn classify(outcome: Outcome, latency_ms: u64, limits: &LatencyLimits) -> Option<OutcomeClass> {
    let is_slow = limits.is_slow(latency_ms);
    match outcome {
        Outcome::Succeeded if is_slow => Some(OutcomeClass::Slow),
        Outcome::Succeeded => Some(OutcomeClass::Good),
        Outcome::Failed => Some(OutcomeClass::Failed),
        Outcome::TimedOut if is_slow => Some(OutcomeClass::Failed),
        Outcome::TimedOut | Outcome::Withdrawn | Outcome::Refused | Outcome::Leaving => None,
    }
}
