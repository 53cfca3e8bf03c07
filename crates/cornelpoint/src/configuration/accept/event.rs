use super::outcome::AcceptOutcome;
use crate::platform::Key;
use crate::platform::Row;
use crate::platform::Transaction;
use crate::platform::TransactionOutcome;

/// Next step of an accept, executed by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptAction {
    /// Read these rows of the platform's table.
    Read(Vec<Key>),
    /// Execute a transaction on the platform's table.
    Transact(Transaction),
    /// Stop: the accept has this outcome.
    Finish(AcceptOutcome),
}

/// Result of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptEvent {
    /// The requested rows that exist.
    Rows(Vec<Row>),
    /// The rows could not be read.
    ReadFailed,
    /// The platform answered the transaction with this outcome.
    Transacted(TransactionOutcome),
    /// The transaction certainly had no effect.
    NotTransacted,
    /// No answer arrived; the transaction may have taken effect.
    AnswerLost,
}
