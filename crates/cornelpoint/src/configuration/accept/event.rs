use super::outcome::AcceptOutcome;
use crate::platform::Key;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::platform::TransactionOutcome;

/// What an accept asks its owner to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptAction {
    /// Read rows of the platform's table.
    Read(Vec<Key>),
    /// Make a transaction on the platform's table.
    Transact(Transaction),
    /// Nothing more: this is what became of the accept.
    Finish(AcceptOutcome),
}

/// What became of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptEvent {
    /// The rows that exist of those asked for.
    Rows(Vec<Row>),
    /// The rows could not be read.
    ReadFailed,
    /// The platform answered the transaction.
    Transacted(TransactionOutcome),
    /// The transaction certainly had no effect.
    NotTransacted,
    /// The transaction may have taken effect.
    AnswerLost,
}
