//! The decisions of a gateway: which waiting request goes to which endpoint,
//! and what comes after each send.
//!
//! The dispatcher joins the queues, the lent slots, the endpoints' health and
//! the retry rule. It sends nothing itself: each event yields verdicts, and
//! the gateway's threads act on them.

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
