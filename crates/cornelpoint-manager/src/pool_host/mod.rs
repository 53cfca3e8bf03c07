//! Carries out the decisions of a pool's scheduler while this process owns the
//! pool.

mod commits;
mod copies;
mod host;
mod inbox;
mod orders;
mod pass_delays;
mod quota;
mod registry_view;
mod requests;
mod takeover;
mod worker_link;

pub(crate) use self::host::PoolHost;
