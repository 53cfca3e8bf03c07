//! Leases of endpoint slots from holders to gateways.
//!
//! Each pool and availability zone has one keeper that acts as its
//! [`Holder`], and each gateway has one [`Borrower`] for it. A gateway reuses
//! a lent slot for successive requests and returns it when it is idle.
//! Invariants:
//!
//! - A [`SlotRequest`] states all slots in which the gateway may be running
//!   requests, and a [`SlotReply`] states all new limits. Neither is a delta,
//!   so the next message makes up for a lost one.
//! - The gateway's lease starts when it sends the request and the holder's
//!   when it replies, so the lease expires at the gateway first.
//! - The holder reclaims a slot of an expired lease only after the longest
//!   request deadline has also passed, because a request that was started
//!   just before expiry may still be running.
//! - After a limit is lowered, the holder lends the slots to other gateways
//!   only once the gateway has confirmed the lower limit.

mod account;
mod allotment;
mod borrowed_slots;
mod borrower;
mod borrower_dump;
mod borrower_settings;
mod endpoint_state;
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
