//! Clients that hold a process's connections and never end what they send, and what the
//! process holds meanwhile.

mod clients;
mod process_meter;
mod request;

pub use self::clients::Crowd;
pub use self::clients::exchange;
pub use self::process_meter::ProcessMeter;
pub use self::process_meter::Usage;
pub use self::request::chunked;
pub use self::request::cut;
pub use self::request::whole;
