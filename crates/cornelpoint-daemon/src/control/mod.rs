//! HTTP interface between the system's processes and to operators.
//!
//! Messages between processes are `MessagePack` with named fields; operators'
//! messages and dumps are JSON.

mod control_client;
mod control_error;
mod control_request;
mod control_server;
mod reply;

pub use self::control_client::ControlClient;
pub use self::control_error::ControlError;
pub use self::control_request::ControlRequest;
pub use self::control_server::ControlServer;
pub use self::control_server::ControlSettings;
pub use self::reply::json_body;
pub use self::reply::json_reply;
pub use self::reply::msgpack_body;
pub use self::reply::msgpack_reply;
pub use self::reply::text_reply;
