//! A caller for histories: one request on one connection, strictly read.

mod answer_reader;
mod call;
mod caller_request;

pub use self::call::call;
pub use self::caller_request::CallerRequest;
