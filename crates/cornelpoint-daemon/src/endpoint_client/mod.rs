//! The gateway's client for endpoints: sends a request once and reports whether
//! it may have run.
//!
//! Each connection has its own `ureq` agent, which may hold no other connection.
//! The transport records whether a byte of the request may have been sent and
//! whether the endpoint closed the connection, so that neither is guessed from
//! an error.

mod client;
mod client_settings;
mod connection;
mod connection_pool;
mod connection_watch;
mod dialer;
mod endpoint_answer;
mod outgoing_request;
mod request_builder;
mod send_outcome;
mod watched_transport;

pub use self::client::EndpointClient;
pub use self::client_settings::ClientSettings;
pub use self::endpoint_answer::EndpointAnswer;
pub use self::outgoing_request::OutgoingRequest;
pub use self::outgoing_request::Reuse;
pub use self::send_outcome::NotSent;
pub use self::send_outcome::SendOutcome;
