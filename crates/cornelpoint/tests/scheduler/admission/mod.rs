//! Admission and the order of the queue under replayed surges, without a network.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "sizes, rates and shares of a replay are small and positive"
)]

mod caller_loss;
mod fair_shares;
mod new_owner;
mod preemption;
mod replay;
mod unchanged;
