use cornelpoint::claim::HeldClaim;
use cornelpoint::request::Refusal;

use super::complete_answer::CompleteAnswer;

/// What a gateway does with a request that carries a key.
#[derive(Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Send the request; nobody else does.
    Granted(HeldClaim),
    /// Pass on the answer of an earlier try.
    Answered(CompleteAnswer),
    /// Refuse: [`Refusal::ClaimUnavailable`] and [`Refusal::KeyReused`] when
    /// this try did not run, [`Refusal::ClaimUnresolved`] when an earlier one
    /// may have.
    Refused(Refusal),
}
