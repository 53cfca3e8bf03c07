//! Carries out what a pool's scheduler decides, while this process owns it.

mod commits;
mod host;
mod orders;
mod questions;
mod takeover;
mod worker_link;

pub(crate) use self::host::PoolHost;
