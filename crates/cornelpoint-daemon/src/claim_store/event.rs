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

/// How a claim was decided, before a large answer is fetched.
#[derive(Debug)]
pub(super) enum Decided {
    Granted(HeldClaim),
    Answered(StoredAnswer),
    Refused(Refusal),
}

/// What became of a call of the table.
#[derive(Debug)]
pub(super) enum TableReply {
    Transacted(TransactionOutcome),
    Rows(Vec<Row>),
    Lost,
    NotSent,
}

/// What became of a call of the reading thread.
#[derive(Debug)]
pub(super) enum ReadReply {
    /// Rows of other claims; none when the read failed.
    Claims(Option<Vec<Row>>),
    /// Rows of an old table; none when the scan failed.
    OldRows(Option<Vec<Row>>),
}

/// What the thread that decides is told.
#[derive(Debug)]
pub(super) enum Event {
    Claim(ClaimRequest, SyncSender<Decided>),
    Release(HeldClaim),
    Answered(SendPermit, CompleteAnswer),
    Unresolved(SendPermit),
    /// The object store has a large answer, or will not have it.
    Stored(SendPermit, Settlement),
    Table(StoreRequestId, TableReply),
    Read(ReadReply),
    Dump(SyncSender<ClaimStoreDump>),
    /// End once nothing is left to write, or at this time.
    Stop(u64),
}
