//! Claims on idempotency keys: a gateway claims the key of a request that must
//! run at most once in the platform's table service before it sends the
//! request.
//!
//! A claim's row records the claimant, the fingerprint of the request and the
//! request's outcome. While a claim is not settled, its request may have run,
//! so no gateway runs it again. Claims, answers and releases are written in
//! batches, many rows in one transaction.

mod answer;
mod answer_waiter;
mod batch;
mod batcher;
mod claim_action;
mod claim_request;
mod claimant;
mod cleaner;
mod fingerprint;
mod held_claim;
mod key;
mod period;
mod queue;
mod rate_limiter;
mod row;
mod row_name;
mod row_update;
mod settings;
mod store_request;
mod update_outcome;

pub use self::answer::AnswerBody;
pub use self::answer::HeaderField;
pub use self::answer::StoredAnswer;
pub use self::answer_waiter::AnswerWaiter;
pub use self::answer_waiter::WaitAction;
pub use self::batcher::ClaimBatcher;
pub use self::claim_action::ClaimAction;
pub use self::claim_request::ClaimId;
pub use self::claim_request::ClaimRequest;
pub use self::claimant::Claimant;
pub use self::cleaner::ClaimCleaner;
pub use self::fingerprint::Fingerprint;
pub use self::held_claim::HeldClaim;
pub use self::held_claim::SendCheck;
pub use self::held_claim::SendPermit;
pub use self::held_claim::Settlement;
pub use self::key::ClaimKey;
pub use self::key::ClaimKeyError;
pub use self::period::Period;
pub use self::row::ClaimRow;
pub use self::row::ClaimRowError;
pub use self::row::ClaimState;
pub use self::row_name::ClaimRowName;
pub use self::settings::ClaimSettings;
pub use self::store_request::StoreCall;
pub use self::store_request::StoreRequest;
pub use self::store_request::StoreRequestId;
