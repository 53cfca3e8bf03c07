//! The gateway's client towards endpoints: sends a request once and says
//! truthfully what became of it.
//!
//! Each connection has an agent of `ureq` of its own, which may hold that one
//! connection and no other. The connection itself is watched: whether a byte
//! of the request can have left, and whether the endpoint ended it, is known
//! from the socket and not guessed from an error.

mod client;
mod client_settings;
mod connection_watch;
mod dialer;
mod endpoint_answer;
mod link;
mod link_pool;
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
