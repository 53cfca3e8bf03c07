//! The decisions of a gateway: which waiting request is sent to which
//! endpoint, and what follows each send.
//!
//! The dispatcher combines the request queues, the slots lent to the gateway,
//! the health of the endpoints and the retry rules. It does no I/O: each event
//! yields actions, which the gateway's threads carry out.

mod assigning;
mod assignment;
mod dispatcher;
mod dispatcher_dump;
mod exchange;
mod lane;
mod new_request;
mod request_state;
mod route;
mod send_report;

pub use self::assignment::Assignment;
pub use self::assignment::DispatchAction;
pub use self::assignment::RequestAction;
pub use self::dispatcher::Dispatcher;
pub use self::dispatcher::DispatcherSettings;
pub use self::dispatcher_dump::DispatcherDump;
pub use self::dispatcher_dump::LaneDump;
pub use self::dispatcher_dump::RouteDump;
pub use self::dispatcher_dump::ZoneDump;
pub use self::exchange::Exchange;
pub use self::exchange::ExchangeResult;
pub use self::new_request::NewRequest;
pub use self::send_report::SendReport;
