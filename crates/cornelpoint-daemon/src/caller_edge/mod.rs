//! HTTP/1.1 server for callers, with bounded resource use.
//!
//! One thread accepts connections, each connection has its own thread, and one
//! thread rejects connections over the limit. The number of threads, the sizes of
//! headers and bodies, and all waiting times are limited, so that a slow or
//! hostile caller uses a bounded amount of resources. What all connections hold together is
//! bounded by `cornelpoint::connection_budget`.
//! `docs/design/edges.md` records why this is not done through `rouille`.

mod answer;
mod body;
mod buffered_stream;

mod caller_handler;
mod chunked_decoder;
mod connection;
mod drain_outcome;
mod edge_error;
mod edge_settings;
mod framing;
mod head_parser;
mod header;
mod open_connections;
mod reject_connections;
mod rejection;
mod request_head;
mod request_room;
mod server;
mod target;

pub use self::answer::Answer;

pub use self::caller_handler::BodyLimit;
pub use self::caller_handler::CallerHandler;
pub use self::caller_handler::CallerRequest;
pub use self::drain_outcome::DrainOutcome;
pub use self::edge_error::EdgeError;
pub use self::edge_settings::EdgeSettings;
pub use self::header::Header;
pub use self::request_head::RequestHead;
pub use self::request_room::RequestRoom;
pub use self::server::CallerEdge;
