use cornelpoint::claim::HeldClaim;
use cornelpoint::request::Refusal;

use super::complete_answer::CompleteAnswer;

/// What a gateway does with a request that carries an idempotency key.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Send the request: the key is claimed for it, and nothing else sends it.
    Granted(HeldClaim),
    /// Return the answer of an earlier attempt.
    Answered(CompleteAnswer),
    /// Refuse: [`Refusal::ClaimUnavailable`] and [`Refusal::KeyReused`] if this
    /// attempt did not run, [`Refusal::ClaimUnresolved`] if an earlier one may
    /// have run.
    Refused(Refusal),
}
