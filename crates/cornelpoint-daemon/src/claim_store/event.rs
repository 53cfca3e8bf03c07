use std::sync::mpsc::SyncSender;

use cornelpoint::claim::ClaimRequest;
use cornelpoint::claim::HeldClaim;
use cornelpoint::claim::SendPermit;
use cornelpoint::claim::Settlement;
use cornelpoint::claim::StoreRequestId;
use cornelpoint::claim::StoredAnswer;
use cornelpoint::platform::Row;
use cornelpoint::platform::TransactionOutcome;
use cornelpoint::request::Refusal;

use super::claim_store_dump::ClaimStoreDump;
use super::complete_answer::CompleteAnswer;

/// Result of a claim, before a large answer is fetched from the object store.
#[derive(Debug)]
pub(super) enum ClaimResult {
    Granted(HeldClaim),
    Answered(StoredAnswer),
    Refused(Refusal),
}

/// Outcome of a call to the table service.
#[derive(Debug)]
pub(super) enum TableReply {
    Transacted(TransactionOutcome),
    Rows(Vec<Row>),
    OutcomeUnknown,
    NotSent,
}

/// Outcome of a call of the read thread.
#[derive(Debug)]
pub(super) enum ReadReply {
    /// Rows of other claims; `None` if the read failed.
    Claims(Option<Vec<Row>>),
    /// Rows of an old table; `None` if the scan failed.
    OldRows(Option<Vec<Row>>),
}

/// An event that another thread sends to the decision thread.
#[derive(Debug)]
pub(super) enum Event {
    Claim(ClaimRequest, SyncSender<ClaimResult>),
    Release(HeldClaim),
    Answered(SendPermit, CompleteAnswer),
    Unresolved(SendPermit),
    /// A large answer was stored in the object store, or could not be.
    Stored(SendPermit, Settlement),
    Table(StoreRequestId, TableReply),
    Read(ReadReply),
    Dump(SyncSender<ClaimStoreDump>),
    /// Stop once no write is pending, and at this time at the latest, in
    /// milliseconds since the Unix epoch.
    Stop(u64),
}
