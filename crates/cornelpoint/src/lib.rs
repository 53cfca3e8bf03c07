//! Coordination components for a fleet of instances that serve requests.
//!
//! Every component is a plain state machine that takes events and the current
//! time and returns actions. No component opens a socket, starts a thread,
//! reads a clock or writes a log, so each can be embedded and tested by itself.

pub mod admission;
pub mod advice;
pub mod catalog;
pub mod claim;
pub mod configuration;
pub mod connection_budget;
pub mod deployment;
pub mod dispatch;
pub mod document;
pub mod ejection;
pub mod finding;
pub mod fleet;
pub mod inbox;
pub mod job;
pub mod membership;
pub mod name;
pub mod ownership;
pub mod platform;
pub mod queue;
pub mod quota;
pub mod rendezvous;
pub mod replication;
pub mod request;
pub mod retry;
pub mod scheduler;
pub mod slots;
pub mod speculation;
pub mod template;
pub mod tenant;
pub mod worker;
pub mod workspace;
