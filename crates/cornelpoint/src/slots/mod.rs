//! Slots of endpoints, lent to gateways under short leases.
//!
//! For each pool and availability zone one keeper is the [`Holder`]; each
//! gateway has one [`Borrower`] for it. A gateway runs request after request
//! in a slot that it was lent and gives it back when idle. The rules:
//!
//! - A [`SlotRequest`] states what the gateway may be running; a
//!   [`SlotReply`] states the new limits. Both are absolute, so a lost
//!   message is repaired by the next one.
//! - A gateway counts its lease from when it sent the request, the holder
//!   from when it answered, so the gateway's ends first.
//! - A slot in a lapsed lease is free again only when the longest deadline
//!   has passed as well, because a request started in the last moment may
//!   still be running.
//! - A limit that goes down is lent on only when the gateway has confirmed it.

mod account;
mod allotment;
mod borrowed;
mod borrower;
mod borrower_dump;
mod borrower_settings;
mod endpoint_use;
mod holder;
mod holder_dump;
mod holder_endpoint;
mod holder_settings;
mod holder_term;
mod idle_window;
mod known_endpoints;
mod ledger;
mod pending_exchange;
mod pool_borrower;
mod running_request;
mod slot_permit;
mod slot_reply;
mod slot_request;

pub use self::borrower::Borrower;
pub use self::borrower_dump::BorrowedEndpoint;
pub use self::borrower_dump::BorrowerDump;
pub use self::borrower_settings::BorrowerSettings;
pub use self::holder::Holder;
pub use self::holder_dump::EndpointDump;
pub use self::holder_dump::GatewayDump;
pub use self::holder_dump::HolderDump;
pub use self::holder_endpoint::HolderEndpoint;
pub use self::holder_settings::HolderSettings;
pub use self::holder_term::holder_term;
pub use self::pool_borrower::PoolBorrower;
pub use self::slot_permit::SlotPermit;
pub use self::slot_reply::LeavingEndpoint;
pub use self::slot_reply::LentSlots;
pub use self::slot_reply::SlotReply;
pub use self::slot_request::HeldSlots;
pub use self::slot_request::SlotRequest;
