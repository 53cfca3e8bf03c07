use super::budget::RetryBudget;
use super::decision::Decision;
use super::send_result::SendResult;
use crate::request::Refusal;

/// Maximum number of attempts of one request that may have run.
const MAX_POSSIBLE_RUNS: u32 = 3;
/// Maximum number of attempts of one request, including those that did not run.
const MAX_ATTEMPTS: u32 = 6;

/// The attempts of one request, and the rule for the next.
///
/// A request that may have run is retried only if it is idempotent and the
/// retry budget allows it. A request that did not run is sent to another
/// endpoint without using the budget, because nothing runs twice. Once any
/// attempt may have run, every rejection reports that.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline_ms: u64,
    made: u32,
    possible_runs: u32,
    has_answer: bool,
    unknown_outcome: Option<Refusal>,
}

impl Attempts {
    /// Creates the state of a request without attempts.
    ///
    /// ```
    /// use cornelpoint::request::Refusal;
    /// use cornelpoint::retry::Attempts;
    /// use cornelpoint::retry::Decision;
    /// use cornelpoint::retry::RetryBudget;
    /// use cornelpoint::retry::SendResult;
    ///
    /// let mut budget = RetryBudget::new(20, 10);
    /// let mut attempts = Attempts::new(false, 5000);
    /// let decision = attempts.decide(SendResult::NotStarted, 100, &mut budget);
    /// assert_eq!(decision, Decision::RetryElsewhere);
    /// let decision = attempts.decide(SendResult::Broken, 200, &mut budget);
    /// assert_eq!(decision, Decision::RefuseUnknown(Refusal::AnswerCut));
    /// ```
    #[must_use]
    pub fn new(idempotent: bool, deadline_ms: u64) -> Self {
        Self {
            idempotent,
            deadline_ms,
            made: 0,
            possible_runs: 0,
            has_answer: false,
            unknown_outcome: None,
        }
    }

    /// Returns the number of attempts made so far.
    #[must_use]
    pub fn attempts_made(&self) -> u32 {
        self.made
    }

    /// Records an attempt that ended with `result`, and decides what comes next.
    ///
    /// On [`Decision::RetryElsewhere`] the gateway must keep a complete answer
    /// of this attempt, because a later [`Decision::Answer`] may refer to it.
    pub fn decide(
        &mut self,
        result: SendResult,
        now_ms: u64,
        budget: &mut RetryBudget,
    ) -> Decision {
        self.record(result);
        if self.may_retry(result, now_ms, budget) {
            return Decision::RetryElsewhere;
        }
        self.final_decision(now_ms)
    }

    /// Returns the decision when there is no further attempt, for instance
    /// because no endpoint is available.
    #[must_use]
    pub fn final_decision(&self, now_ms: u64) -> Decision {
        if self.has_answer {
            return Decision::Answer;
        }
        match self.unknown_outcome {
            Some(refusal) => Decision::RefuseUnknown(refusal),
            None if now_ms >= self.deadline_ms => Decision::RefuseNotRun(Refusal::DeadlineTooNear),
            None => Decision::RefuseNotRun(Refusal::NoEndpoint),
        }
    }

    fn record(&mut self, result: SendResult) {
        self.made += 1;
        if result.may_have_run() {
            self.possible_runs += 1;
        }
        match result {
            SendResult::Answered { .. } => self.has_answer = true,
            SendResult::Broken => self.unknown_outcome = Some(Refusal::AnswerCut),
            SendResult::Late => self.unknown_outcome = Some(Refusal::AnswerLate),
            SendResult::NotSent | SendResult::NotStarted => {}
        }
    }

    fn may_retry(&self, result: SendResult, now_ms: u64, budget: &mut RetryBudget) -> bool {
        if now_ms >= self.deadline_ms || self.made >= MAX_ATTEMPTS {
            return false;
        }
        match result {
            SendResult::NotSent | SendResult::NotStarted => true,
            SendResult::Answered { .. } if result.is_final() => false,
            SendResult::Answered { .. } | SendResult::Broken | SendResult::Late => {
                self.idempotent
                    && self.possible_runs < MAX_POSSIBLE_RUNS
                    && budget.take_retry(now_ms)
            }
        }
    }
}
