//! The gateway's edge towards callers: HTTP/1.1 with bounded cost.
//!
//! One thread accepts, one thread serves each connection, and one thread turns
//! away what is over the limit. Threads, headers, bodies and waiting times all
//! have limits, so that a slow or hostile caller costs a known amount.
//! `docs/design/edges.md` records why this is not done through `rouille`.

mod answer;
mod body;
mod byte_source;

mod caller_handler;
mod chunked_decoder;
mod connection;
mod connection_table;
mod drain_outcome;
mod edge_error;
mod edge_settings;
mod framing;
mod head_parser;
mod header;
mod rejection;
mod request_head;
mod server;
mod target;
mod turn_away;

pub use self::answer::Answer;

pub use self::caller_handler::BodyLimit;
pub use self::caller_handler::CallerHandler;
pub use self::caller_handler::CallerRequest;
pub use self::drain_outcome::DrainOutcome;
pub use self::edge_error::EdgeError;
pub use self::edge_settings::EdgeSettings;
pub use self::header::Header;
pub use self::request_head::RequestHead;
pub use self::server::CallerEdge;
