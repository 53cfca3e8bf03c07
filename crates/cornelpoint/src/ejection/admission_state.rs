use serde::Deserialize;
use serde::Serialize;

use super::limits::DOWN_PAUSE_MS;
use super::limits::EJECTION_PAUSE_MS;
use super::limits::MAX_DOWN_PAUSE_MS;
use super::limits::MAX_EJECTION_PAUSE_MS;
use super::verdict::Verdict;

/// Condition of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Condition {
    /// It receives requests.
    Admitted,
    /// It is avoided because of its outcomes.
    Ejected,
    /// It refuses connections.
    Down,
    /// It is leaving; only a newer epoch ends this.
    Leaving,
}

/// Condition of an endpoint, with its pause while it is ejected or down.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum AdmissionState {
    /// It receives requests.
    #[default]
    Admitted,
    /// It is avoided because of its outcomes.
    Ejected(Pause),
    /// It refuses connections.
    Down(Pause),
    /// It is leaving.
    Leaving,
}

impl AdmissionState {
    pub(super) fn condition(&self) -> Condition {
        match self {
            Self::Admitted => Condition::Admitted,
            Self::Ejected(_) => Condition::Ejected,
            Self::Down(_) => Condition::Down,
            Self::Leaving => Condition::Leaving,
        }
    }

    pub(super) fn verdict(&self, now_ms: u64) -> Verdict {
        match self {
            Self::Admitted => Verdict::Take,
            Self::Ejected(pause) | Self::Down(pause) => pause.verdict(now_ms),
            Self::Leaving => Verdict::Avoid,
        }
    }

    pub(super) fn pause(&self) -> Option<&Pause> {
        match self {
            Self::Ejected(pause) | Self::Down(pause) => Some(pause),
            Self::Admitted | Self::Leaving => None,
        }
    }

    pub(super) fn pause_mut(&mut self) -> Option<&mut Pause> {
        match self {
            Self::Ejected(pause) | Self::Down(pause) => Some(pause),
            Self::Admitted | Self::Leaving => None,
        }
    }
}

/// Why an endpoint is avoided for a time.
#[derive(Clone, Copy, Debug)]
enum PauseCause {
    /// Its outcomes are bad.
    Ejection,
    /// It refused a connection.
    Refusal,
}

impl PauseCause {
    fn max_length_ms(self) -> u64 {
        match self {
            Self::Ejection => MAX_EJECTION_PAUSE_MS,
            Self::Refusal => MAX_DOWN_PAUSE_MS,
        }
    }
}

/// Time during which an endpoint is avoided, and the trial that may end it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pause {
    cause: PauseCause,
    length_ms: u64,
    until_ms: u64,
    trial_started_ms: Option<u64>,
}

impl Pause {
    /// Starts a pause after bad outcomes. It doubles with each ejection in a
    /// row.
    pub(super) fn after_ejection(ejections: u32, now_ms: u64) -> Self {
        let doubled = EJECTION_PAUSE_MS << ejections.min(8);
        Self::new(PauseCause::Ejection, doubled, now_ms)
    }

    /// Starts a pause after a refused connection.
    pub(super) fn after_refusal(now_ms: u64) -> Self {
        Self::new(PauseCause::Refusal, DOWN_PAUSE_MS, now_ms)
    }

    fn new(cause: PauseCause, length_ms: u64, now_ms: u64) -> Self {
        let length_ms = length_ms.min(cause.max_length_ms());
        Self {
            cause,
            length_ms,
            until_ms: now_ms + length_ms,
            trial_started_ms: None,
        }
    }

    fn verdict(&self, now_ms: u64) -> Verdict {
        if self.trial_started_ms.is_none() && now_ms >= self.until_ms {
            Verdict::Trial
        } else {
            Verdict::Avoid
        }
    }

    pub(super) fn start_trial(&mut self, now_ms: u64) {
        self.trial_started_ms = Some(now_ms);
    }

    pub(super) fn fail_trial(&mut self, now_ms: u64) {
        *self = Self::new(self.cause, self.length_ms * 2, now_ms);
    }

    pub(super) fn withdraw_trial(&mut self) {
        self.trial_started_ms = None;
    }

    /// Returns the start time of the running trial, if there is one.
    pub(super) fn trial_started_ms(&self) -> Option<u64> {
        self.trial_started_ms
    }

    /// Returns whether a request that started at `started_ms` is the running
    /// trial.
    pub(super) fn is_trial(&self, started_ms: u64) -> bool {
        self.trial_started_ms
            .is_some_and(|trial| started_ms >= trial)
    }
}
