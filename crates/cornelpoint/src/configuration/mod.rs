//! Accepted configurations: services, pools and their endpoints.
//!
//! [`Accept`] writes a configuration to the platform's table, [`diff()`] lists
//! the differences between two configurations, and the `record` module defines
//! the keys and the encoding of the table's rows.

mod accept;
mod accepted;
mod diff;
mod generation;
mod record;

pub use self::accept::Accept;
pub use self::accept::AcceptAction;
pub use self::accept::AcceptContent;
pub use self::accept::AcceptEvent;
pub use self::accept::AcceptOutcome;
pub use self::accept::AcceptRequest;
pub use self::accepted::Configuration;
pub use self::accepted::Endpoint;
pub use self::accepted::Pool;
pub use self::accepted::Service;
pub use self::diff::Change;
pub use self::diff::diff;
pub use self::generation::Generation;
pub use self::record::AcceptToken;
pub use self::record::CONFIGURATION_TABLE;
pub use self::record::Head;
pub use self::record::HistoryEntry;
pub use self::record::RecordError;
pub use self::record::body_key;
pub use self::record::decode_body;
pub use self::record::head_key;
pub use self::record::history_key;
pub use self::record::history_prefix;
