use super::answer_body::AnswerBody;
use super::call_groups::Call;
use super::call_groups::Group;
use super::completion::Outcome;
use super::limits::Limits;
use super::violation::Violation;
use crate::endpoint::EchoAnswer;
use crate::endpoint::body_hash;
use crate::endpoint::pattern;

/// HTTP status of a successful run.
const STATUS_OK: u16 = 200;

/// Reports calls that were answered although no run started before the answer.
pub(super) fn without_run(group: &Group<'_>, limits: Limits) -> Vec<Violation> {
    group
        .calls
        .iter()
        .filter(|call| is_answered(call) && !has_run(call, group, limits))
        .map(|call| Violation::AnsweredWithoutRun { call: call.id })
        .collect()
}

fn is_answered(call: &Call<'_>) -> bool {
    matches!(call.outcome(), Some(Outcome::Answered { .. }))
}

fn has_run(call: &Call<'_>, group: &Group<'_>, limits: Limits) -> bool {
    let ended_ms = call.completion.map_or(0, |completion| completion.ended_ms);
    group
        .runs
        .iter()
        .any(|run| run.started_ms <= ended_ms + limits.clock_error_ms)
}

/// Reports calls whose answer belongs to another request or is incomplete.
pub(super) fn wrong_answers(group: &Group<'_>) -> Vec<Violation> {
    group
        .calls
        .iter()
        .filter(|call| is_wrong(call, group))
        .map(|call| Violation::WrongAnswer { call: call.id })
        .collect()
}

fn is_wrong(call: &Call<'_>, group: &Group<'_>) -> bool {
    let Some(Outcome::Answered { status, body }) = call.outcome() else {
        return false;
    };
    match (body, call.invocation.size_bytes) {
        (AnswerBody::Echo(echo), None) => !is_own(echo, call, group),
        (AnswerBody::Bytes { size_bytes: 0, .. }, _) => call.invocation.method.as_str() != "HEAD",
        (AnswerBody::Bytes { hash, .. }, Some(size_bytes)) => {
            let own = pattern(&call.invocation.request, size_bytes);
            *hash != body_hash(&own)
        }
        (AnswerBody::Echo(_), Some(_)) => true,
        (AnswerBody::Bytes { .. }, None) => *status == STATUS_OK,
    }
}

fn is_own(echo: &EchoAnswer, call: &Call<'_>, group: &Group<'_>) -> bool {
    let same_request = call.invocation.method.as_str() == echo.method
        && call.invocation.body_hash == echo.body_hash
        && echo.request.as_ref() == Some(&call.invocation.request);
    let ran = group
        .runs
        .iter()
        .any(|run| run.instance == echo.instance && run.run_number == echo.run_number);
    same_request && ran
}

/// Reports a request with an idempotency key whose calls got different answers.
pub(super) fn answers_differ(name: &str, group: &Group<'_>) -> Option<Violation> {
    let mut answers = group
        .calls
        .iter()
        .filter(|c| is_keyed(c))
        .filter_map(answer);
    let first = answers.next()?;
    answers
        .any(|other| other != first)
        .then(|| Violation::AnswersDiffer {
            request: name.to_owned(),
        })
}

fn is_keyed(call: &Call<'_>) -> bool {
    call.invocation.idempotency_key.is_some() && !call.invocation.method.is_idempotent()
}

fn answer<'a>(call: &Call<'a>) -> Option<&'a AnswerBody> {
    match &call.completion?.outcome {
        Outcome::Answered { body, .. } => Some(body),
        Outcome::Refused { .. } | Outcome::Lost { .. } => None,
    }
}
