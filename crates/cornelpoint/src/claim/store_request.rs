use crate::platform::Key;
use crate::platform::Transaction;

/// Identifier of a store call, unique within its batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRequestId(pub u64);

/// A call to the platform's table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Runs a transaction.
    Transact(Transaction),
    /// Reads rows, after a transaction whose outcome is unknown.
    Read(Vec<Key>),
}

/// A store call that the batcher's owner must make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// Identifier with which the outcome is reported.
    pub id: StoreRequestId,
    /// The call.
    pub call: StoreCall,
}
