//! HTTP/1 on the event loop: a client with pooled connections and a small server.

mod body_reader;
mod call_error;
mod connection_limits;
mod connections;
mod endpoint;
mod peer_check;
mod server;

pub(crate) use self::call_error::CallError;
pub(crate) use self::connection_limits::BodyTimeouts;
pub(crate) use self::connection_limits::Port;
pub(crate) use self::connection_limits::ServerLimits;
pub(crate) use self::endpoint::HttpEndpoint;
pub(crate) use self::endpoint::Response;
pub(crate) use self::peer_check::Admission;
pub(crate) use self::peer_check::CheckedResponse;
pub(crate) use self::peer_check::PeerCheck;
pub(crate) use self::server::Reply;
pub(crate) use self::server::ServerControl;
pub(crate) use self::server::listen;
pub(crate) use self::server::reply;
pub(crate) use self::server::serve;
