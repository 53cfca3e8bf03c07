use cornelpoint::configuration::Accept;
use cornelpoint::configuration::AcceptAction;
use cornelpoint::configuration::AcceptEvent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::platform::Key;
use cornelpoint::platform::Transaction;

use crate::clock::unix_ms;
use crate::platform_client::PlatformClient;

/// Carries an accept out on the platform's table, to its outcome.
pub(super) fn carry_out(platform: &PlatformClient, request: AcceptRequest) -> AcceptOutcome {
    let mut accept = Accept::new(AcceptRequest {
        now_unix_ms: unix_ms(),
        ..request
    });
    let mut action = accept.start();
    loop {
        let event = match action {
            AcceptAction::Read(keys) => read(platform, &keys),
            AcceptAction::Transact(transaction) => transact(platform, &transaction),
            AcceptAction::Finish(outcome) => return outcome,
        };
        action = accept.handle(event);
    }
}

/// HTTP status of an outcome.
pub(super) fn status(outcome: &AcceptOutcome) -> u16 {
    match outcome {
        AcceptOutcome::Accepted { .. } | AcceptOutcome::Unchanged { .. } => 200,
        AcceptOutcome::NoSuchGeneration { .. } => 404,
        AcceptOutcome::Conflict { .. } => 409,
        AcceptOutcome::Malformed { .. } => 500,
        AcceptOutcome::Unavailable => 503,
        AcceptOutcome::Unknown => 504,
    }
}

fn read(platform: &PlatformClient, keys: &[Key]) -> AcceptEvent {
    match platform.read(keys) {
        Ok(rows) => AcceptEvent::Rows(rows),
        Err(_) => AcceptEvent::ReadFailed,
    }
}

fn transact(platform: &PlatformClient, transaction: &Transaction) -> AcceptEvent {
    match platform.transact(transaction) {
        Ok(outcome) => AcceptEvent::Transacted(outcome),
        Err(error) if error.may_have_taken_effect() => AcceptEvent::AnswerLost,
        Err(_) => AcceptEvent::NotTransacted,
    }
}
