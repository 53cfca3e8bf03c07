use cornelpoint::claim::HeldClaim;
use cornelpoint::claim::SendCheck;
use cornelpoint::claim::SendPermit;

use crate::claim_store::ClaimStore;
use crate::endpoint_client::SendOutcome;

/// The claim of one request, from its grant to its settlement.
#[derive(Debug)]
pub(super) struct RequestClaim {
    store: Option<ClaimStore>,
    state: ClaimState,
}

#[derive(Debug)]
enum ClaimState {
    /// The request needs no claim: it has no key, or its method is idempotent.
    Unkeyed,
    /// The key is claimed, and the request has not run under the claim.
    Held(HeldClaim),
    /// A send is in progress.
    Sending(SendPermit),
    /// The claim is settled or released.
    Ended,
}

impl RequestClaim {
    pub(super) fn unkeyed() -> Self {
        Self {
            store: None,
            state: ClaimState::Unkeyed,
        }
    }

    pub(super) fn held(store: ClaimStore, claim: HeldClaim) -> Self {
        Self {
            store: Some(store),
            state: ClaimState::Held(claim),
        }
    }

    /// Begins a send; returns whether the request may be sent now.
    pub(super) fn begin_send(&mut self) -> bool {
        let state = std::mem::replace(&mut self.state, ClaimState::Ended);
        let (state, may_send) = match (state, &self.store) {
            (ClaimState::Held(claim), Some(store)) => match store.begin_send(claim) {
                SendCheck::Send(permit) => (ClaimState::Sending(permit), true),
                SendCheck::TooLate(claim) => (ClaimState::Held(claim), false),
            },
            (ClaimState::Unkeyed, _) => (ClaimState::Unkeyed, true),
            (state, _) => (state, false),
        };
        self.state = state;
        may_send
    }

    /// Settles the claim according to the outcome of the send.
    pub(super) fn end_send(&mut self, outcome: &SendOutcome) {
        let state = std::mem::replace(&mut self.state, ClaimState::Ended);
        self.state = match (state, &self.store) {
            (ClaimState::Sending(permit), Some(store)) => settle(store, permit, outcome),
            (state, _) => state,
        };
    }

    /// Releases the claim if the request did not run.
    pub(super) fn release(self) {
        if let (ClaimState::Held(claim), Some(store)) = (self.state, self.store) {
            store.release(claim);
        }
    }
}

fn settle(store: &ClaimStore, permit: SendPermit, outcome: &SendOutcome) -> ClaimState {
    match outcome {
        SendOutcome::Answered(answer) => {
            store.store_answer(permit, answer.into());
            ClaimState::Ended
        }
        SendOutcome::NotSent(_) | SendOutcome::NotStarted { .. } => {
            ClaimState::Held(permit.not_run())
        }
        SendOutcome::Broken(_) => {
            store.store_unresolved(permit);
            ClaimState::Ended
        }
    }
}
