//! Handlers of HTTP requests from callers, the load balancer and peers.

mod callers;
mod inbox_writer;
mod job_place;
mod jobs;
mod keys;
mod peers;
mod uncertain_jobs;

pub(crate) use self::callers::handle_balancer;
pub(crate) use self::callers::handle_caller;
pub(crate) use self::inbox_writer::InboxWriter;
pub(crate) use self::peers::CONFIGURATION_PATH;
pub(crate) use self::peers::handle_peer;
pub(crate) use self::uncertain_jobs::UncertainJobs;
