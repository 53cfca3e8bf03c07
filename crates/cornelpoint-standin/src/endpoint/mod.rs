//! Stand-in for an endpoint: an HTTP server that runs requests in its slots.
//!
//! It serves HTTP/1.1 with keep-alive, runs a request only after it has read it
//! in full, records each run and counts violations of its limits. It injects
//! faults down to single bytes, see [`EndpointFault`].
//!
//! Its answer is an [`EchoAnswer`]. The query `?size=N` selects a [`pattern`]
//! of N bytes instead, `?work_ms=N` sets the service time, and `?request=TEXT`
//! sets the identity under which the run is recorded.

mod answer;
mod connection;
mod connection_table;
mod control;
mod dump;
mod echo;
mod fault;
mod fault_rules;
mod faulty_write;
mod http_request;
mod listener;
mod request_reader;
mod run_record;
mod service_time;
mod settings;
mod stand_in;
mod state;
mod work;

pub use self::dump::EndpointDump;
pub use self::echo::EchoAnswer;
pub use self::echo::body_hash;
pub use self::echo::pattern;
pub use self::fault::EndpointFault;
pub use self::fault::FaultRule;
pub use self::fault::FaultScope;
pub use self::run_record::RunRecord;
pub use self::service_time::ServiceTime;
pub use self::settings::EndpointSettings;
pub use self::stand_in::EndpointStandIn;

/// Header with the identity of a request, echoed in the answer.
pub const REQUEST_HEADER: &str = "cornelpoint-request";

/// Request header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Answer header with the hash of the complete answer body, in hexadecimal.
pub const BODY_HASH_HEADER: &str = "cornelpoint-body-hash";

/// Answer header of an endpoint that accepts no new requests.
pub const LEAVING_HEADER: &str = "cornelpoint-leaving";
