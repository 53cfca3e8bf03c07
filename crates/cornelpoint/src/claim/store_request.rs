use crate::platform::Key;
use crate::platform::Transaction;

/// Number of a call of the store; unique to its batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// What is asked of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Run a transaction.
    Transact(Transaction),
    /// Read rows, after a transaction whose outcome was lost.
    Read(Vec<Key>),
}

/// A call of the platform's table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// Number to report the outcome under.
    pub id: StoreRequestId,
    /// The call.
    pub call: StoreCall,
}
