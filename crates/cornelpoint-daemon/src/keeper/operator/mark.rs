use cornelpoint::name::InstanceId;
use cornelpoint::platform::Row;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::replication::DrainRecord;
use cornelpoint::replication::EndpointMark;
use cornelpoint::replication::MarkCause;
use cornelpoint::replication::Update;
use serde::Deserialize;
use serde::Serialize;

use super::operator::Operator;
use crate::caller_edge::Answer;
use crate::clock::unix_ms;
use crate::control::ControlRequest;
use crate::control::json_body;
use crate::control::json_reply;
use crate::control::text_reply;
use crate::keeper::command::Command;
use crate::platform_client::PlatformError;

/// Operator's request to drain an endpoint or to undrain it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkRequest {
    /// The endpoint.
    pub instance: InstanceId,
    /// Epoch of the mark that the operator saw; when missing, the request applies
    /// whatever the current mark is.
    #[serde(default)]
    pub seen: Option<u64>,
    /// Operator who makes the request.
    #[serde(default)]
    pub who: String,
    /// Reason given by the operator.
    #[serde(default)]
    pub why: String,
}

/// Outcome of a [`MarkRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum MarkReply {
    /// The mark is in force.
    Marked {
        /// The mark.
        mark: EndpointMark,
        /// Whether the mark was stored in the platform's table. A mark that was
        /// not stored is lost when all keepers are replaced before the endpoint
        /// is marked again.
        recorded: bool,
    },
    /// The mark in force is not the one that the operator saw; nothing changed.
    Conflict {
        /// Record of the mark in force, with who set it and why.
        current: DrainRecord,
    },
}

/// Operators' mark of an endpoint as the platform's table stores it.
struct StoredMark {
    row: Option<Row>,
    record: Option<DrainRecord>,
}

/// Handles `POST /operator/drain` and `POST /operator/undrain`. The mark takes
/// effect even when the platform is unavailable.
pub(super) fn answer(operator: &Operator, request: &ControlRequest, accepts_work: bool) -> Answer {
    let request: MarkRequest = match json_body(request) {
        Ok(request) => request,
        Err(error) => return text_reply(400, &error.to_string()),
    };
    let stored = read(operator, &request.instance);
    let instance = request.instance.clone();
    let Some(known) = operator
        .state_handle
        .request(|to| Command::OperatorMark(instance, to))
    else {
        return text_reply(503, "the state does not answer");
    };
    if let Some(current) = conflict(&request, stored.as_ref().ok()) {
        return json_reply(&MarkReply::Conflict { current });
    }
    let record = DrainRecord {
        mark: next_mark(&request, accepts_work, known.as_ref(), stored.as_ref().ok()),
        who: request.who,
        why: request.why,
        set_unix_ms: unix_ms(),
    };
    json_reply(&mark(operator, record, stored.as_ref().ok()))
}

fn mark(operator: &Operator, record: DrainRecord, stored: Option<&StoredMark>) -> MarkReply {
    let written = stored.map(|stored| write(operator, &record, stored));
    if let Some(Ok(Some(current))) = written {
        return MarkReply::Conflict { current };
    }
    operator.state_handle.send(Command::Apply(Update {
        configuration: None,
        marks: vec![record.mark.clone()],
    }));
    MarkReply::Marked {
        mark: record.mark,
        recorded: matches!(written, Some(Ok(None))),
    }
}

fn conflict(request: &MarkRequest, stored: Option<&StoredMark>) -> Option<DrainRecord> {
    let record = stored?.record.as_ref()?;
    let seen = request.seen?;
    (record.mark.epoch != seen).then(|| record.clone())
}

/// Returns a mark with a higher epoch than those known to the keeper and the
/// table.
fn next_mark(
    request: &MarkRequest,
    accepts_work: bool,
    known: Option<&EndpointMark>,
    stored: Option<&StoredMark>,
) -> EndpointMark {
    let known_epoch = known.map_or(0, |mark| mark.epoch);
    let stored = stored.and_then(|stored| stored.record.as_ref());
    let stored_epoch = stored.map_or(0, |record| record.mark.epoch);
    EndpointMark {
        instance: request.instance.clone(),
        epoch: known_epoch.max(stored_epoch) + 1,
        accepts_work,
        cause: MarkCause::Operator,
    }
}

fn read(operator: &Operator, instance: &InstanceId) -> Result<StoredMark, PlatformError> {
    let key = DrainRecord::key(&operator.workspace, instance);
    let row = operator.platform.read(&[key])?.into_iter().next();
    let record = row.as_ref().and_then(|row| DrainRecord::decode(row).ok());
    Ok(StoredMark { row, record })
}

/// Stores the record; returns the stored one after a conflict.
///
/// When the answer is lost, the record is read back to learn whether the write
/// took effect.
fn write(
    operator: &Operator,
    record: &DrainRecord,
    stored: &StoredMark,
) -> Result<Option<DrainRecord>, PlatformError> {
    let transaction = record.transaction(&operator.workspace, stored.row.as_ref());
    match operator.platform.transact(&transaction) {
        Ok(TransactionOutcome::Committed) => Ok(None),
        Ok(TransactionOutcome::Conflict { .. }) => conflicting_record(operator, record),
        Err(error) if error.may_have_taken_effect() => {
            let now = read(operator, &record.mark.instance)?;
            if now.record.as_ref() == Some(record) {
                return Ok(None);
            }
            Err(error)
        }
        Err(error) => Err(error),
    }
}

fn conflicting_record(
    operator: &Operator,
    record: &DrainRecord,
) -> Result<Option<DrainRecord>, PlatformError> {
    let now = read(operator, &record.mark.instance)?;
    Ok(now.record.filter(|other| other != record))
}
