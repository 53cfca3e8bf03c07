//! Submissions and cancellations that a process stores for the owner of a pool
//! that it can't reach.
//!
//! The store takes the transactions of a pool one after another, and the rows
//! of the pool's owner are among them. Each process therefore writes to a
//! pool's inbox one transaction at a time, with all requests that have arrived
//! meanwhile, and rejects requests beyond a bounded number.

mod inbox_key;
mod inbox_queue;
mod owner_contact;
mod withdrawal;

pub use self::inbox_key::InboxKey;
pub use self::inbox_queue::InboxConflict;
pub use self::inbox_queue::InboxOutcome;
pub use self::inbox_queue::InboxQueue;
pub use self::inbox_queue::InboxWriteResult;
pub use self::owner_contact::OwnerContact;
pub use self::withdrawal::Withdrawal;
