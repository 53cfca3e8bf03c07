//! Rows of the platform's table that hold configurations.
//!
//! | row | content |
//! |---|---|
//! | `head/WORKSPACE` | [`Head`]: the newest generation |
//! | `body/WORKSPACE/GENERATION` | the configuration of a generation |
//! | `history/WORKSPACE/GENERATION` | [`HistoryEntry`]: who accepted it, when and why |
//!
//! Rows are `MessagePack` with named fields. Generations in row names are padded
//! to 20 digits, so that rows sort by generation.

mod body;
mod head;
mod history_entry;
mod key;
mod record_error;
mod token;

pub(super) use self::body::content_hash;
pub use self::body::decode_body;
pub(super) use self::body::encode_body;
pub use self::head::Head;
pub use self::history_entry::HistoryEntry;
pub use self::key::CONFIGURATION_TABLE;
pub use self::key::body_key;
pub use self::key::head_key;
pub use self::key::history_key;
pub use self::key::history_prefix;
pub use self::record_error::RecordError;
pub(super) use self::record_error::encode;
pub use self::token::AcceptToken;
