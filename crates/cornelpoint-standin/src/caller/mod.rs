//! HTTP caller that records its calls in a history: one request per connection,
//! with strict parsing of the answer.

mod answer_reader;
mod call;
mod caller_request;

pub use self::call::call;
pub use self::caller_request::CallerRequest;
