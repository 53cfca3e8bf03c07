use std::thread;
use std::time::Duration;

use cornelpoint::configuration::Accept;
use cornelpoint::configuration::AcceptAction;
use cornelpoint::configuration::AcceptEvent;
use cornelpoint::configuration::AcceptOutcome;
use cornelpoint::configuration::AcceptRequest;
use cornelpoint::configuration::Generation;
use cornelpoint::configuration::body_key;
use cornelpoint::configuration::decode_body;
use cornelpoint::platform::Key;
use cornelpoint::platform::Transaction;
use cornelpoint::replication::Update;

use super::operator::Operator;
use crate::caller_edge::Answer;
use crate::clock::unix_ms;
use crate::control::ControlRequest;
use crate::control::json_body;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::keeper::command::Command;

/// Delay before a failed call to the platform is repeated.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Highest generation taken in the `seen` field of a request.
const MAX_GENERATION: Generation = Generation(u64::MAX / 2);

/// Handles `POST /operator/accept`: accepts a configuration and applies it at
/// this keeper, from which it is replicated.
pub(super) fn answer(operator: &Operator, request: &ControlRequest) -> Answer {
    let accept: AcceptRequest = match json_body(request) {
        Ok(accept) => accept,
        Err(error) => return text_reply(400, &error.to_string()),
    };
    if accept.workspace != operator.workspace {
        let text = format!(
            "expected workspace {}, found {}",
            operator.workspace, accept.workspace
        );
        return text_reply(400, &text);
    }
    if accept.seen > MAX_GENERATION {
        let text = format!("expected a generation, found {}", accept.seen);
        return text_reply(400, &text);
    }
    let outcome = run(
        operator,
        AcceptRequest {
            now_unix_ms: unix_ms(),
            ..accept
        },
    );
    json_reply(&outcome)
}

fn run(operator: &Operator, request: AcceptRequest) -> AcceptOutcome {
    let mut accept = Accept::new(request);
    let mut action = accept.start();
    loop {
        let event = match action {
            AcceptAction::Read(keys) => read(operator, &keys),
            AcceptAction::Transact(transaction) => transact(operator, &transaction),
            AcceptAction::Finish(outcome) => {
                apply_accepted(operator, &outcome);
                return outcome;
            }
        };
        if is_failure(&event) {
            thread::sleep(RETRY_DELAY);
        }
        action = accept.handle(event);
    }
}

fn read(operator: &Operator, keys: &[Key]) -> AcceptEvent {
    match operator.platform.read(keys) {
        Ok(rows) => AcceptEvent::Rows(rows),
        Err(_) => AcceptEvent::ReadFailed,
    }
}

fn transact(operator: &Operator, transaction: &Transaction) -> AcceptEvent {
    match operator.platform.transact(transaction) {
        Ok(outcome) => AcceptEvent::Transacted(outcome),
        Err(error) if error.may_have_taken_effect() => AcceptEvent::AnswerLost,
        Err(_) => AcceptEvent::NotTransacted,
    }
}

fn is_failure(event: &AcceptEvent) -> bool {
    match event {
        AcceptEvent::Rows(_) | AcceptEvent::Transacted(_) => false,
        AcceptEvent::ReadFailed | AcceptEvent::NotTransacted | AcceptEvent::AnswerLost => true,
    }
}

/// Applies and replicates an accepted generation at once; when it cannot be read
/// back, the keepers that poll the platform find it.
fn apply_accepted(operator: &Operator, outcome: &AcceptOutcome) {
    let AcceptOutcome::Accepted { generation } = outcome else {
        return;
    };
    let key = body_key(&operator.workspace, *generation);
    let Ok(rows) = operator.platform.read(&[key]) else {
        return;
    };
    let configuration = rows.first().and_then(|row| decode_body(row).ok());
    operator.state_handle.send(Command::Apply(Update {
        configuration,
        marks: Vec::new(),
    }));
}
