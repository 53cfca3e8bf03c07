use super::budget::RetryBudget;
use super::decision::Decision;
use super::send_result::SendResult;
use crate::request::Refusal;

/// Most sends that may have run, for one request.
const MAX_SENDS: u32 = 3;
/// Most tries of one request, those that did not run included.
const MAX_TRIES: u32 = 6;

/// The tries of one request and the rule for the next.
///
/// A request that may have run is sent again only if it is idempotent, and
/// only from the retry budget. A request that did not run is tried elsewhere
/// without cost to the budget, since nothing was done twice. Once any try may
/// have run, every refusal says so.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline_ms: u64,
    tries: u32,
    sends: u32,
    answered: bool,
    unknown: Option<Refusal>,
}

impl Attempts {
    /// A request that has not been tried.
    ///
    /// ```
    /// use cornelpoint::request::Refusal;
    /// use cornelpoint::retry::Attempts;
    /// use cornelpoint::retry::Decision;
    /// use cornelpoint::retry::RetryBudget;
    /// use cornelpoint::retry::SendResult;
    ///
    /// let mut budget = RetryBudget::new(20, 10);
    /// let mut order = Attempts::new(false, 5000);
    /// let decision = order.decide(SendResult::NotStarted, 100, &mut budget);
    /// assert_eq!(decision, Decision::RetryElsewhere);
    /// let decision = order.decide(SendResult::Broken, 200, &mut budget);
    /// assert_eq!(decision, Decision::RefuseUnknown(Refusal::AnswerCut));
    /// ```
    #[must_use]
    pub fn new(idempotent: bool, deadline_ms: u64) -> Self {
        Self {
            idempotent,
            deadline_ms,
            tries: 0,
            sends: 0,
            answered: false,
            unknown: None,
        }
    }

    /// Tries made so far.
    #[must_use]
    pub fn attempts_made(&self) -> u32 {
        self.tries
    }

    /// Counts a try that ended with `result` and says what comes next.
    ///
    /// On [`Decision::RetryElsewhere`] the gateway keeps a whole answer that
    /// `result` brought: a later [`Decision::Answer`] may mean that one.
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

    /// What the caller is told when no endpoint can be found for another try.
    #[must_use]
    pub fn final_decision(&self, now_ms: u64) -> Decision {
        if self.answered {
            return Decision::Answer;
        }
        match self.unknown {
            Some(refusal) => Decision::RefuseUnknown(refusal),
            None if now_ms >= self.deadline_ms => Decision::RefuseNotRun(Refusal::DeadlineTooNear),
            None => Decision::RefuseNotRun(Refusal::NoEndpoint),
        }
    }

    fn record(&mut self, result: SendResult) {
        self.tries += 1;
        if result.may_have_run() {
            self.sends += 1;
        }
        match result {
            SendResult::Answered { .. } => self.answered = true,
            SendResult::Broken => self.unknown = Some(Refusal::AnswerCut),
            SendResult::Late => self.unknown = Some(Refusal::AnswerLate),
            SendResult::NotSent | SendResult::NotStarted => {}
        }
    }

    fn may_retry(&self, result: SendResult, now_ms: u64, budget: &mut RetryBudget) -> bool {
        if now_ms >= self.deadline_ms || self.tries >= MAX_TRIES {
            return false;
        }
        match result {
            SendResult::NotSent | SendResult::NotStarted => true,
            SendResult::Answered { .. } if result.is_final() => false,
            SendResult::Answered { .. } | SendResult::Broken | SendResult::Late => {
                self.idempotent && self.sends < MAX_SENDS && budget.take_retry(now_ms)
            }
        }
    }
}
