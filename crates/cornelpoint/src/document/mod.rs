//! Reads JSON with comments into checked types and collects all findings.
//!
//! [`Document::parse`] returns a tree of [`Node`]s with their places in the
//! file. [`Document::read`] passes an [`ObjectReader`] to a function; the
//! reader's getters check type and range, and record a
//! [`crate::finding::Finding`] for each value that is wrong, missing or unknown.

#[expect(clippy::module_inception, reason = "the type gives the part its name")]
mod document;
mod node;
mod object_reader;
mod parse;
mod source;
mod suggestion;
mod value_reader;

pub use self::document::Document;
pub use self::node::Field;
pub use self::node::Node;
pub use self::node::Value;
pub use self::object_reader::ObjectReader;
pub use self::source::Source;
pub use self::suggestion::nearest;
pub use self::value_reader::NAME_EXPECTED;
pub use self::value_reader::ValueReader;
